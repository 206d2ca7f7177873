"""Answer loan requests from the accounts held here."""

from __future__ import annotations

from gentianhitch.addresses import Address
from gentianhitch.decisions.limits.account import Account
from gentianhitch.decisions.limits.budget import Budget
from gentianhitch.decisions.limits.constants import DEMAND_HEADROOM
from gentianhitch.decisions.limits.counters import LimitCounters
from gentianhitch.decisions.limits.holdings import HeldShares
from gentianhitch.decisions.limits.messages import LoanGrant
from gentianhitch.decisions.limits.messages import LoanGrantItem
from gentianhitch.decisions.limits.messages import LoanRecall
from gentianhitch.decisions.limits.messages import LoanRequest
from gentianhitch.decisions.limits.messages import LoanRequestItem
from gentianhitch.decisions.limits.messages import LoanReturn
from gentianhitch.decisions.limits.messages import ShareNotice
from gentianhitch.decisions.limits.peers import PeerDirectory
from gentianhitch.decisions.limits.shares import NO_SHARE
from gentianhitch.instances.identity import InstanceId
from gentianhitch.instances.transport import Transport


class Lender:
    """Lend what this instance does not need itself."""

    def __init__(
        self,
        held_shares: HeldShares,
        peers: PeerDirectory,
        transport: Transport,
        counters: LimitCounters,
    ) -> None:
        self._held_shares = held_shares
        self._peers = peers
        self._transport = transport
        self._counters = counters
        self.is_closed = False

    def handle_request(
        self, borrower: InstanceId, request: LoanRequest, now: float
    ) -> None:
        """Answer each item of a request; one that was answered before gets none."""
        self._peers.record_address(borrower, request.reply_to)
        # Only a lender that is fresh knows that its share is still its own.
        can_lend = self._held_shares.is_fresh(now) and not self.is_closed
        granted = []
        for wanted in request.items:
            self._send_holder(wanted.origin, request.reply_to)
            item = self._grant(
                borrower, wanted, request.sequence, now, can_lend=can_lend
            )
            if item is not None:
                granted.append(item)
        if granted:
            self._transport.send(request.reply_to, LoanGrant(tuple(granted)))

    def handle_return(
        self, borrower: InstanceId, returned: LoanReturn, now: float
    ) -> None:
        """Take unspent tokens of urgent loans back."""
        if not self._held_shares.is_fresh(now):
            return
        for item in returned.items:
            account = self._held_shares.account(item.workspace, item.origin, now)
            if account is not None:
                kept = self._is_covered_since(
                    returned.sequence, account, item.workspace
                )
                tokens = item.tokens if kept else 0.0
                account.accept_returned_tokens(borrower, item.number, tokens, now)

    def recall_loans(self, budget: Budget, now: float) -> None:
        """Recall loans because requests wait at this instance itself."""
        for account in budget.accounts_by_owner.values():
            self._recall(account, budget.workspace, now)

    def _grant(
        self,
        borrower: InstanceId,
        wanted: LoanRequestItem,
        sequence: int,
        now: float,
        *,
        can_lend: bool,
    ) -> LoanGrantItem | None:
        account = None
        if can_lend:
            account = self._held_shares.account(wanted.workspace, wanted.origin, now)
        if account is None or not wanted.base.covers(account.share):
            return LoanGrantItem(wanted.number, NO_SHARE, 0.0, NO_SHARE)
        self._held_shares.budget(wanted.workspace, now).used = now
        if wanted.urgent:
            item = account.lend_tokens(borrower, wanted, now)
            if item is not None and item.tokens < wanted.tokens:
                self._recall(account, wanted.workspace, now)
            return item
        kept = self._is_covered_since(sequence, account, wanted.workspace)
        keep = self._reserved_rate(account, wanted.workspace, now)
        return account.lend_rate(
            borrower, wanted, keep, now, returned=wanted.returned if kept else 0.0
        )

    def _send_holder(self, owner: InstanceId, borrower: Address) -> None:
        holder = self._peers.known_holder(owner)
        if owner not in self._held_shares.shares_by_owner and holder is not None:
            self._transport.send(borrower, ShareNotice(holder, (owner,)))

    def _is_covered_since(
        self, sequence: int, account: Account, workspace: str
    ) -> bool:
        # Under a state that gave less to this owner, what returned tokens stand
        # for may have been earned elsewhere.
        passed = self._held_shares.log.since(sequence)
        if not passed:
            return passed is not None
        share = self._held_shares.share_table.least(passed, workspace, account.owner)
        return share.covers(account.share)

    def _reserved_rate(self, account: Account, workspace: str, now: float) -> float:
        budget = self._held_shares.budget(workspace, now)
        own = budget.total_share().rate
        part = account.share.rate / own if own else 0.0
        return DEMAND_HEADROOM * part * budget.demand.rate_after_silence(now)

    def _recall(self, account: Account, workspace: str, now: float) -> None:
        for borrower in account.borrowers_to_recall(now):
            address = self._peers.address(borrower)
            if address is not None:
                self._counters.events_by_name["recalls"] += 1
                self._transport.send(address, LoanRecall(workspace, account.owner))
