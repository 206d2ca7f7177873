"""Answer loan requests from the accounts held here."""

from __future__ import annotations

from gentianhitch.addresses import Address
from gentianhitch.decisions.limits.account import Account
from gentianhitch.decisions.limits.budget import Budget
from gentianhitch.decisions.limits.constants import HEADROOM
from gentianhitch.decisions.limits.counters import LimitCounters
from gentianhitch.decisions.limits.holdings import Holdings
from gentianhitch.decisions.limits.messages import LoanGrant
from gentianhitch.decisions.limits.messages import LoanGranted
from gentianhitch.decisions.limits.messages import LoanRecall
from gentianhitch.decisions.limits.messages import LoanRequest
from gentianhitch.decisions.limits.messages import LoanReturn
from gentianhitch.decisions.limits.messages import LoanWanted
from gentianhitch.decisions.limits.messages import ShareNotice
from gentianhitch.decisions.limits.peers import PeerBook
from gentianhitch.decisions.limits.shares import NOTHING
from gentianhitch.instances.identity import InstanceId
from gentianhitch.instances.transport import Transport


class Lender:
    """Lend what this instance does not need itself."""

    def __init__(
        self,
        holdings: Holdings,
        peers: PeerBook,
        transport: Transport,
        counters: LimitCounters,
    ) -> None:
        self._holdings = holdings
        self._peers = peers
        self._transport = transport
        self._counters = counters
        self.closed = False

    def answer(self, borrower: InstanceId, request: LoanRequest, now: float) -> None:
        """Answer each item of a request; one that was answered before gets none."""
        self._peers.learn(borrower, request.reply_to)
        # Only a lender that is fresh knows that its share is still its own.
        able = self._holdings.is_fresh(now) and not self.closed
        granted = []
        for wanted in request.items:
            self._redirect(wanted.origin, request.reply_to)
            item = self._grant(borrower, wanted, request.sequence, now, able=able)
            if item is not None:
                granted.append(item)
        if granted:
            self._transport.send(request.reply_to, LoanGrant(tuple(granted)))

    def take_back(self, borrower: InstanceId, returned: LoanReturn, now: float) -> None:
        """Take unspent tokens of urgent loans back."""
        if not self._holdings.is_fresh(now):
            return
        for item in returned.items:
            account = self._holdings.account(item.workspace, item.origin, now)
            if account is not None:
                kept = self._kept_since(returned.sequence, account, item.workspace)
                tokens = item.tokens if kept else 0.0
                account.take_tokens_back(borrower, item.number, tokens, now)

    def recall_own(self, budget: Budget, now: float) -> None:
        """Recall loans because requests wait at this instance itself."""
        for account in budget.accounts_by_origin.values():
            self._recall(account, budget.workspace, now)

    def _grant(
        self,
        borrower: InstanceId,
        wanted: LoanWanted,
        sequence: int,
        now: float,
        *,
        able: bool,
    ) -> LoanGranted | None:
        account = None
        if able:
            account = self._holdings.account(wanted.workspace, wanted.origin, now)
        if account is None or not wanted.base.covers(account.share):
            return LoanGranted(wanted.number, NOTHING, 0.0, NOTHING)
        self._holdings.budget(wanted.workspace, now).used = now
        if wanted.urgent:
            item = account.lend_tokens(borrower, wanted, now)
            if item is not None and item.tokens < wanted.tokens:
                self._recall(account, wanted.workspace, now)
            return item
        kept = self._kept_since(sequence, account, wanted.workspace)
        keep = self._own_rate(account, wanted.workspace, now)
        return account.lend_rate(
            borrower, wanted, keep, now, returned=wanted.returned if kept else 0.0
        )

    def _redirect(self, origin: InstanceId, borrower: Address) -> None:
        holder = self._peers.known_holder(origin)
        if origin not in self._holdings.rights_by_origin and holder is not None:
            self._transport.send(borrower, ShareNotice(holder, (origin,)))

    def _kept_since(self, sequence: int, account: Account, workspace: str) -> bool:
        # Under a state that gave less to this origin, what returned tokens stand
        # for may have been earned elsewhere.
        passed = self._holdings.log.since(sequence)
        if not passed:
            return passed is not None
        share = self._holdings.shares.least(passed, workspace, account.origin)
        return share.covers(account.share)

    def _own_rate(self, account: Account, workspace: str, now: float) -> float:
        budget = self._holdings.budget(workspace, now)
        own = budget.own_share().rate
        part = account.share.rate / own if own else 0.0
        return HEADROOM * part * budget.demand.rate_after_silence(now)

    def _recall(self, account: Account, workspace: str, now: float) -> None:
        for borrower in account.to_recall(now):
            address = self._peers.address(borrower)
            if address is not None:
                self._counters.events_by_name["recalls"] += 1
                self._transport.send(address, LoanRecall(workspace, account.origin))
