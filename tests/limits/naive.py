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


def trust_newest_state(monkeypatch: pytest.MonkeyPatch) -> None:
    """Use the share under the newest state only, in force or not."""

    def minimum_share(
        self: ShareTable, states: Iterable[AgreedState], name: str, owner: InstanceId
    ) -> Share:
        newest = list(states)[-1:]
        return self.share(newest[0], name, owner) if newest else Share(0.0, 0.0)

    monkeypatch.setattr(ShareTable, "minimum_share", minimum_share)


def new_account_starts_full(monkeypatch: pytest.MonkeyPatch) -> None:
    """Open the account of a new share owner with a full bucket."""
    open_account = Budget.open_account

    def full(
        self: Budget, owner: InstanceId, share: Share, now: float, tokens: float = 0.0
    ) -> Account:
        return open_account(self, owner, share, now, share.burst)

    monkeypatch.setattr(Budget, "open_account", full)


def loans_never_expire(monkeypatch: pytest.MonkeyPatch) -> None:
    """Keep borrowed loans after the end of their lease."""
    monkeypatch.setattr(Loan, "settle", lambda self, now: self.bucket.refill(now))
    monkeypatch.setattr(Budget, "drop_expired", lambda self, now: None)


def lease_starts_at_receipt(monkeypatch: pytest.MonkeyPatch) -> None:
    """Start the borrower's lease when the grant arrives, not with the request."""
    apply_grant = Borrower.apply_grant

    def late(self: Borrower, grant: LoanGrant, now: float) -> object:
        for item in grant.items:
            if item.number in self.pending._requests_by_number:
                self.pending._requests_by_number[item.number].requested_at = now
        return apply_grant(self, grant, now)

    monkeypatch.setattr(Borrower, "apply_grant", late)


def loans_outlive_share(monkeypatch: pytest.MonkeyPatch) -> None:
    """Keep loans after the lender's share has become smaller."""
    monkeypatch.setattr(Budget, "_end_uncovered_loans", lambda *_: None)
    monkeypatch.setattr(Borrower, "_is_covered", lambda *_: True)


def ignore_freshness(monkeypatch: pytest.MonkeyPatch) -> None:
    """Spend and lend without fresh evidence of the agreed states."""

    def is_fresh(self: HeldShares, now: float) -> bool:
        self.log.update(self._agreed_states.active(now), now)
        return bool(self.log.active)

    monkeypatch.setattr(HeldShares, "is_fresh", is_fresh)


def ignore_missed_states(monkeypatch: pytest.MonkeyPatch) -> None:
    """Treat states that are missing from the log as if there were none."""
    monkeypatch.setattr(StateLog, "after", lambda self, sequence: ())


def accept_duplicate_transfers(monkeypatch: pytest.MonkeyPatch) -> None:
    """Accept a share again with every duplicate of its transfer."""

    def receive(
        self: Transfers, sender: InstanceId, transfer: Transfer, now: float
    ) -> bool:
        if transfer.heir.name == self._held_shares.own_id.name:
            self._accept(transfer, now)
        return True

    monkeypatch.setattr(Transfers, "receive", receive)


def sender_keeps_share(monkeypatch: pytest.MonkeyPatch) -> None:
    """Go on spending a share after its transfer was sent."""
    monkeypatch.setattr(HeldShares, "release", lambda *_: None)


NAIVE_VARIANTS = (
    trust_newest_state,
    new_account_starts_full,
    loans_never_expire,
    lease_starts_at_receipt,
    loans_outlive_share,
    ignore_freshness,
    ignore_missed_states,
    accept_duplicate_transfers,
    sender_keeps_share,
)
