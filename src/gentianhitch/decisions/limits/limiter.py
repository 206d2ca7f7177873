"""The limiter: spend what this instance holds and borrow what it lacks."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from gentianhitch.addresses import Address
from gentianhitch.decisions.interfaces import Agreement
from gentianhitch.decisions.interfaces import Verdict
from gentianhitch.decisions.limits.borrower import Borrower
from gentianhitch.decisions.limits.budget import Budget
from gentianhitch.decisions.limits.constants import HOLDERS
from gentianhitch.decisions.limits.constants import MAX_WAIT_S
from gentianhitch.decisions.limits.constants import PLAN_S
from gentianhitch.decisions.limits.counters import Cause
from gentianhitch.decisions.limits.counters import LimitCounters
from gentianhitch.decisions.limits.gathering import Gatherer
from gentianhitch.decisions.limits.holdings import Holdings
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
from gentianhitch.decisions.limits.peers import PeerBook
from gentianhitch.decisions.limits.rounds import Rounds
from gentianhitch.decisions.limits.shares import ShareTable
from gentianhitch.decisions.limits.succession import Succession
from gentianhitch.decisions.limits.transfers import Transfers
from gentianhitch.instances.identity import InstanceId
from gentianhitch.instances.transport import Transport


class LocalLimiter:
    """Spend this instance's share of each workspace's rate and burst."""

    def __init__(
        self,
        own_id: InstanceId,
        own_address: Address,
        agreement: Agreement,
        transport: Transport,
        now: float,
        *,
        max_holders: int = HOLDERS,
    ) -> None:
        self.counters = LimitCounters()
        self.holdings = Holdings(own_id, agreement, ShareTable(max_holders), now)
        self.peers = PeerBook()
        self.lender = Lender(self.holdings, self.peers, transport, self.counters)
        self.borrower = Borrower(
            self.holdings, self.peers, transport, own_address, self.counters
        )
        self.gatherer = Gatherer(self.holdings, self.borrower)
        self.transfers = Transfers(
            self.holdings, self.peers, transport, own_address, self.counters
        )
        self.succession = Succession(
            self.holdings, self.peers, self.transfers, transport, own_address
        )
        self.rounds = Rounds(self)
        self._handlers_by_kind: dict[type, Callable[[InstanceId, Any, float], None]] = {
            LoanRequest: self.lender.answer,
            LoanGrant: self._receive_grant,
            LoanReturn: self.lender.take_back,
            LoanRecall: lambda _, recall, now: self.borrower.return_recalled(
                recall, now
            ),
            HeirQuery: lambda _, query, now: self.succession.answer(query, now),
            HeirOffer: self.succession.accept,
            Transfer: self.rounds.receive_transfer,
            TransferAck: lambda sender, ack, _: self.transfers.acknowledge(sender, ack),
            ShareNotice: lambda _, notice, __: self.peers.learn_notice(notice),
        }

    def take(
        self, workspace: str, now: float, *, since: float | None = None
    ) -> Verdict:
        """Take one request's token; WAIT means try again until the wait ends.

        ``since`` is the time of the first try of the same request; it bounds the
        wait and keeps repeated tries out of the demand.
        """
        cause = self._hindrance(workspace, now)
        if cause is not None:
            return self._refuse(workspace, cause)
        budget = self.holdings.budget(workspace, now)
        budget.used = now
        if since is None:
            budget.demand.observe(now)
        if budget.spend(now):
            if since is not None:
                self.gatherer.leave(workspace)
                self.borrower.return_spent(budget, now)
            self.counters.admitted_by_workspace[workspace] += 1
            return Verdict.ADMITTED
        return self._wait(budget, now, since)

    def retry_after_s(self, workspace: str, now: float) -> float:
        """Return the time after which a refused request may be repeated."""
        if self._hindrance(workspace, now) is not None:
            return 1.0
        declared = self.holdings.declared(workspace)
        rate = declared.rate if declared is not None else 0.0
        return max(MAX_WAIT_S, 1.0 / rate) if rate > 0.0 else 1.0

    def receive(self, sender: InstanceId, body: object, now: float) -> None:
        """Handle one message of the limits from another instance."""
        handle = self._handlers_by_kind.get(type(body))
        if handle is not None:
            handle(sender, body, now)

    @property
    def kinds(self) -> tuple[type, ...]:
        """Return the kinds of message that ``receive`` handles."""
        return tuple(self._handlers_by_kind)

    def tick(self, now: float) -> None:
        """Renew loans, follow agreed states and forget what is not used."""
        self.rounds.tick(now)

    def poll(self, now: float) -> None:
        """Go on with requests that wait for tokens."""
        self.borrower.asks.expire(now)
        self.gatherer.poll(now)

    def give_up(self, workspace: str) -> None:
        """Count one waiting request as refused because its time has ended."""
        self.gatherer.leave(workspace)
        self._refuse(workspace, Cause.WAIT_ENDED)

    def begin_leaving(self, now: float) -> None:
        """Stop lending and hand every share over to instances that stay."""
        self.lender.closed = True
        self.succession.leaving = True
        self.succession.tick(now)

    def _receive_grant(self, _: InstanceId, grant: LoanGrant, now: float) -> None:
        for ask, tokens in self.borrower.apply(grant, now):
            if ask.urgent and self.holdings.is_fresh(now):
                self.gatherer.answered(ask, tokens, now)

    def _hindrance(self, workspace: str, now: float) -> Cause | None:
        if not self.holdings.is_fresh(now):
            return Cause.NOT_FRESH
        if self.holdings.declared(workspace) is None:
            return Cause.UNKNOWN_WORKSPACE
        return None

    def _refuse(self, workspace: str, cause: Cause) -> Verdict:
        # A name that no document declares comes from outside and is not counted
        # by itself, or the counters would grow without bound.
        name = "" if cause is Cause.UNKNOWN_WORKSPACE else workspace
        self.counters.refused_by_cause[name, cause] += 1
        return Verdict.REFUSED

    def _wait(self, budget: Budget, now: float, since: float | None) -> Verdict:
        workspace = budget.workspace
        if since is not None and now - since >= MAX_WAIT_S:
            self.give_up(workspace)
            return Verdict.REFUSED
        if since is None:
            self.plan_now(budget, now)
        if self.gatherer.is_exhausted(workspace, now):
            return self._refuse(workspace, Cause.RATE)
        if since is None or not self.gatherer.is_searching(workspace):
            if self.gatherer.begin(budget, now):
                self.lender.recall_own(budget, now)
            self.counters.waited_by_workspace[workspace] += 1
        return Verdict.WAIT

    def plan_now(self, budget: Budget, now: float) -> None:
        """Ask for rate without waiting for the next round, every PLAN_S at most."""
        if now - budget.planned >= PLAN_S:
            budget.planned = now
            demand = budget.demand.rate(now)
            self.borrower.send(self.borrower.planner.plan(budget, demand, now))
