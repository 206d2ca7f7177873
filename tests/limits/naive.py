from __future__ import annotations

from collections.abc import Iterable

import pytest

from gentianhitch.decisions.interfaces import AgreedState
from gentianhitch.decisions.limits.account import Account
from gentianhitch.decisions.limits.borrower import Borrower
from gentianhitch.decisions.limits.budget import Budget
from gentianhitch.decisions.limits.holdings import HeldShares
from gentianhitch.decisions.limits.loans import Loan
from gentianhitch.decisions.limits.messages import LoanGrant
from gentianhitch.decisions.limits.messages import Transfer
from gentianhitch.decisions.limits.shares import Share
from gentianhitch.decisions.limits.shares import ShareTable
from gentianhitch.decisions.limits.states import StateLog
from gentianhitch.decisions.limits.transfers import Transfers
from gentianhitch.instances.identity import InstanceId


def own_view_only(monkeypatch: pytest.MonkeyPatch) -> None:
    """Trust the newest list alone, whether or not it is in force."""

    def least(
        self: ShareTable, states: Iterable[AgreedState], name: str, owner: InstanceId
    ) -> Share:
        newest = list(states)[-1:]
        return self.share(newest[0], name, owner) if newest else Share(0.0, 0.0)

    monkeypatch.setattr(ShareTable, "least", least)


def new_holder_starts_full(monkeypatch: pytest.MonkeyPatch) -> None:
    open_account = Budget.open_account

    def full(
        self: Budget, owner: InstanceId, share: Share, now: float, tokens: float = 0.0
    ) -> Account:
        return open_account(self, owner, share, now, share.burst)

    monkeypatch.setattr(Budget, "open_account", full)


def loans_without_lease(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Loan, "settle", lambda self, now: self.bucket.refill(now))
    monkeypatch.setattr(Budget, "drop_expired", lambda self, now: None)


def lease_from_receipt(monkeypatch: pytest.MonkeyPatch) -> None:
    """Count the borrower's lease from the receipt of the grant."""
    apply_grant = Borrower.apply_grant

    def late(self: Borrower, grant: LoanGrant, now: float) -> object:
        for item in grant.items:
            if item.number in self.pending._requests_by_number:
                self.pending._requests_by_number[item.number].requested_at = now
        return apply_grant(self, grant, now)

    monkeypatch.setattr(Borrower, "apply_grant", late)


def loans_outlive_share(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Budget, "_end_uncovered_loans", lambda *_: None)
    monkeypatch.setattr(Borrower, "_is_covered", lambda *_: True)


def regardless_of_freshness(monkeypatch: pytest.MonkeyPatch) -> None:
    def is_fresh(self: HeldShares, now: float) -> bool:
        self.log.observe(self._agreement.active(now), now)
        return bool(self.log.active)

    monkeypatch.setattr(HeldShares, "is_fresh", is_fresh)


def missed_states_ignored(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(StateLog, "since", lambda self, sequence: ())


def copies_accepted(monkeypatch: pytest.MonkeyPatch) -> None:
    """Take a transfer over again with every copy that arrives."""

    def receive(
        self: Transfers, sender: InstanceId, transfer: Transfer, now: float
    ) -> bool:
        if transfer.heir.name == self._held_shares.own_id.name:
            self._accept(transfer, now)
        return True

    monkeypatch.setattr(Transfers, "receive", receive)


def sender_keeps_share(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(HeldShares, "release", lambda *_: None)


NAIVE_WAYS = (
    own_view_only,
    new_holder_starts_full,
    loans_without_lease,
    lease_from_receipt,
    loans_outlive_share,
    regardless_of_freshness,
    missed_states_ignored,
    copies_accepted,
    sender_keeps_share,
)
