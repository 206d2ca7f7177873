"""The rate limiter of one instance, without I/O of its own."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from gentianhitch.addresses import Address
from gentianhitch.decisions.interfaces import AgreedStates
from gentianhitch.decisions.interfaces import TokenVerdict
from gentianhitch.decisions.limits.borrower import Borrower
from gentianhitch.decisions.limits.budget import Budget
from gentianhitch.decisions.limits.constants import MAX_SHARE_OWNERS
from gentianhitch.decisions.limits.constants import MAX_WAIT_S
from gentianhitch.decisions.limits.constants import MIN_PLAN_INTERVAL_S
from gentianhitch.decisions.limits.counters import Cause
from gentianhitch.decisions.limits.counters import LimitCounters
from gentianhitch.decisions.limits.gathering import TokenFetcher
from gentianhitch.decisions.limits.holdings import HeldShares
from gentianhitch.decisions.limits.lender import Lender
from gentianhitch.decisions.limits.messages import HeirOffer
from gentianhitch.decisions.limits.messages import HeirQuery
from gentianhitch.decisions.limits.messages import LoanGrant
from gentianhitch.decisions.limits.messages import LoanRecall
from gentianhitch.decisions.limits.messages import LoanRequest
from gentianhitch.decisions.limits.messages import LoanReturn
from gentianhitch.decisions.limits.messages import ShareNotice
from gentianhitch.decisions.limits.messages import Transfer
from gentianhitch.decisions.limits.messages import TransferAck
from gentianhitch.decisions.limits.peers import PeerDirectory
from gentianhitch.decisions.limits.rounds import Maintenance
from gentianhitch.decisions.limits.shares import ShareTable
from gentianhitch.decisions.limits.succession import Succession
from gentianhitch.decisions.limits.transfers import Transfers
from gentianhitch.instances.identity import InstanceId
from gentianhitch.instances.transport import Transport


class LocalLimiter:
    """Admit requests with tokens of held shares and of loans from other instances.

    Together, the limiters of all instances keep to the rate and burst of each
    workspace.
    """

    def __init__(
        self,
        own_id: InstanceId,
        own_address: Address,
        agreed_states: AgreedStates,
        transport: Transport,
        now: float,
        *,
        max_owners: int = MAX_SHARE_OWNERS,
    ) -> None:
        self.counters = LimitCounters()
        self.held_shares = HeldShares(
            own_id, agreed_states, ShareTable(max_owners), now
        )
        self.peers = PeerDirectory()
        self.lender = Lender(self.held_shares, self.peers, transport, self.counters)
        self.borrower = Borrower(
            self.held_shares, self.peers, transport, own_address, self.counters
        )
        self.token_fetcher = TokenFetcher(self.held_shares, self.borrower)
        self.transfers = Transfers(
            self.held_shares, self.peers, transport, own_address, self.counters
        )
        self.succession = Succession(
            self.held_shares, self.peers, self.transfers, transport, own_address
        )
        self.maintenance = Maintenance(self)
        self._handlers_by_type: dict[type, Callable[[InstanceId, Any, float], None]] = {
            LoanRequest: self.lender.handle_request,
            LoanGrant: self._receive_grant,
            LoanReturn: self.lender.handle_return,
            LoanRecall: lambda _, recall, now: self.borrower.handle_recall(recall, now),
            HeirQuery: lambda _, query, now: self.succession.handle_query(query, now),
            HeirOffer: self.succession.handle_offer,
            Transfer: self.maintenance.receive_transfer,
            TransferAck: lambda sender, ack, _: self.transfers.acknowledge(sender, ack),
            ShareNotice: lambda _, notice, __: self.peers.handle_notice(notice),
        }

    def take(
        self, workspace: str, now: float, *, since: float | None = None
    ) -> TokenVerdict:
        """Take a token for one request; after WAIT, call again until MAX_WAIT_S.

        ``since`` is the time of the first call for the same request. It limits the
        wait and keeps retries out of the demand estimate.
        """
        cause = self._refusal_cause(workspace, now)
        if cause is not None:
            return self._refuse(workspace, cause)
        budget = self.held_shares.budget(workspace, now)
        budget.last_used = now
        if since is None:
            budget.demand.record_arrival(now)
        if budget.spend(now):
            if since is not None:
                self.token_fetcher.remove_waiting(workspace)
                self.borrower.return_spent_loans(budget, now)
            self.counters.admitted_by_workspace[workspace] += 1
            return TokenVerdict.ADMITTED
        return self._wait(budget, now, since)

    def retry_after_s(self, workspace: str, now: float) -> float:
        """Return the delay in seconds after which to retry a refused request."""
        if self._refusal_cause(workspace, now) is not None:
            return 1.0
        declared = self.held_shares.find_workspace(workspace)
        rate = declared.rate if declared is not None else 0.0
        return max(MAX_WAIT_S, 1.0 / rate) if rate > 0.0 else 1.0

    def receive(self, sender: InstanceId, body: object, now: float) -> None:
        """Handle a message from another instance; ignore other message types."""
        handle = self._handlers_by_type.get(type(body))
        if handle is not None:
            handle(sender, body, now)

    @property
    def message_types(self) -> tuple[type, ...]:
        """The message types that ``receive`` handles."""
        return tuple(self._handlers_by_type)

    def tick(self, now: float) -> None:
        """Renew loans, apply agreed states and evict idle workspaces."""
        self.maintenance.tick(now)

    def poll(self, now: float) -> None:
        """Expire loan requests and continue to fetch tokens for waiting requests."""
        self.borrower.pending.expire(now)
        self.token_fetcher.poll(now)

    def expire_wait(self, workspace: str) -> None:
        """Refuse a waiting request whose wait has timed out."""
        self.token_fetcher.remove_waiting(workspace)
        self._refuse(workspace, Cause.WAIT_ENDED)

    def begin_leaving(self, now: float) -> None:
        """Stop lending and hand all shares over to instances that stay."""
        self.lender.is_closed = True
        self.succession.is_leaving = True
        self.succession.tick(now)

    def _receive_grant(self, _: InstanceId, grant: LoanGrant, now: float) -> None:
        for request, tokens in self.borrower.apply_grant(grant, now):
            if request.urgent and self.held_shares.is_fresh(now):
                self.token_fetcher.handle_grant(request, tokens, now)

    def _refusal_cause(self, workspace: str, now: float) -> Cause | None:
        if not self.held_shares.is_fresh(now):
            return Cause.NOT_FRESH
        if self.held_shares.find_workspace(workspace) is None:
            return Cause.UNKNOWN_WORKSPACE
        return None

    def _refuse(self, workspace: str, cause: Cause) -> TokenVerdict:
        # Undeclared names come from callers. They share one counter, since the number
        # of counters would be unbounded otherwise.
        name = "" if cause is Cause.UNKNOWN_WORKSPACE else workspace
        self.counters.refused_by_cause[name, cause] += 1
        return TokenVerdict.REFUSED

    def _wait(self, budget: Budget, now: float, since: float | None) -> TokenVerdict:
        workspace = budget.workspace
        if since is not None and now - since >= MAX_WAIT_S:
            self.expire_wait(workspace)
            return TokenVerdict.REFUSED
        if since is None:
            self.plan_if_due(budget, now)
        if self.token_fetcher.is_backing_off(workspace, now):
            return self._refuse(workspace, Cause.RATE)
        if since is None or not self.token_fetcher.is_fetching(workspace):
            if self.token_fetcher.add_waiting(budget, now):
                self.lender.recall_loans(budget, now)
            self.counters.waited_by_workspace[workspace] += 1
        return TokenVerdict.WAIT

    def plan_if_due(self, budget: Budget, now: float) -> None:
        """Request rate now unless this was done within MIN_PLAN_INTERVAL_S."""
        if now - budget.last_planned >= MIN_PLAN_INTERVAL_S:
            budget.last_planned = now
            demand = budget.demand.rate(now)
            self.borrower.send_requests(self.borrower.planner.plan(budget, demand, now))
