"""Grant loans to other instances from the accounts held here."""

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
    """Grant, recall and take back loans of shares held here.

    Once ``is_closed``, all requests are denied.
    """

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
        """Send one grant per item of a request; duplicate items are ignored."""
        self._peers.record_address(borrower, request.reply_to)
        # Without fresh states the share may already belong to another instance.
        can_lend = self._held_shares.is_fresh(now) and not self.is_closed
        grants = []
        for item in request.items:
            self._send_holder(item.origin, request.reply_to)
            grant = self._grant(
                borrower, item, request.sequence, now, can_lend=can_lend
            )
            if grant is not None:
                grants.append(grant)
        if grants:
            self._transport.send(request.reply_to, LoanGrant(tuple(grants)))

    def handle_return(
        self, borrower: InstanceId, returned: LoanReturn, now: float
    ) -> None:
        """Add the unspent tokens of token loans to their accounts."""
        if not self._held_shares.is_fresh(now):
            return
        for item in returned.items:
            account = self._held_shares.account(item.workspace, item.origin, now)
            if account is not None:
                covered = self._is_covered_since(
                    returned.sequence, account, item.workspace
                )
                tokens = item.tokens if covered else 0.0
                account.accept_returned_tokens(borrower, item.number, tokens, now)

    def recall_loans(self, budget: Budget, now: float) -> None:
        """Recall rate loans because local requests are waiting for tokens."""
        for account in budget.accounts_by_owner.values():
            self._recall(account, budget.workspace, now)

    def _grant(
        self,
        borrower: InstanceId,
        item: LoanRequestItem,
        sequence: int,
        now: float,
        *,
        can_lend: bool,
    ) -> LoanGrantItem | None:
        account = None
        if can_lend:
            account = self._held_shares.account(item.workspace, item.origin, now)
        if account is None or not item.base.covers(account.share):
            return LoanGrantItem(item.number, NO_SHARE, 0.0, NO_SHARE)
        self._held_shares.budget(item.workspace, now).last_used = now
        if item.urgent:
            grant = account.lend_tokens(borrower, item, now)
            if grant is not None and grant.tokens < item.tokens:
                self._recall(account, item.workspace, now)
            return grant
        covered = self._is_covered_since(sequence, account, item.workspace)
        reserved_rate = self._reserved_rate(account, item.workspace, now)
        return account.lend_rate(
            borrower,
            item,
            reserved_rate,
            now,
            returned=item.returned if covered else 0.0,
        )

    def _send_holder(self, owner: InstanceId, borrower: Address) -> None:
        holder = self._peers.known_holder(owner)
        if owner not in self._held_shares.shares_by_owner and holder is not None:
            self._transport.send(borrower, ShareNotice(holder, (owner,)))

    def _is_covered_since(
        self, sequence: int, account: Account, workspace: str
    ) -> bool:
        # After a state that assigned a smaller share to this owner, another instance
        # may have earned the equivalent of the returned tokens.
        later_states = self._held_shares.log.after(sequence)
        if not later_states:
            return later_states is not None
        share = self._held_shares.share_table.minimum_share(
            later_states, workspace, account.owner
        )
        return share.covers(account.share)

    def _reserved_rate(self, account: Account, workspace: str, now: float) -> float:
        budget = self._held_shares.budget(workspace, now)
        total_rate = budget.total_share().rate
        part = account.share.rate / total_rate if total_rate else 0.0
        return DEMAND_HEADROOM * part * budget.demand.rate_after_idle(now)

    def _recall(self, account: Account, workspace: str, now: float) -> None:
        for borrower in account.borrowers_to_recall(now):
            address = self._peers.address(borrower)
            if address is not None:
                self._counters.events_by_name["recalls"] += 1
                self._transport.send(address, LoanRecall(workspace, account.owner))
