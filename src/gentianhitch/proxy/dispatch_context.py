"""What a dispatch shares with others, and whom it reports to."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any
from typing import Protocol

import attrs
from twisted.python.failure import Failure

from gentianhitch.backend_servers.complete_responses import CompleteResponse
from gentianhitch.backend_servers.server_connections import ServerConnections
from gentianhitch.callers.complete_requests import HeaderNames
from gentianhitch.callers.refusals import Cause
from gentianhitch.proxy.balancing import Balancer
from gentianhitch.proxy.declines import RETRIED_DECLINE_COST
from gentianhitch.proxy.model import BackendServer
from gentianhitch.proxy.model import Route
from gentianhitch.proxy.own_limits import OwnLimits
from gentianhitch.proxy.retry_budget import RetryBudget
from gentianhitch.proxy.server_reach import ServerReach

USUAL_QUANTILE = 0.5


class DispatchOwner(Protocol):
    """Receives the result of a dispatch, exactly one, and its log events."""

    def dispatch_succeeded(
        self, response: CompleteResponse, server: BackendServer
    ) -> None:
        """Handle the response to forward to the caller."""
        ...

    def dispatch_failed(self, cause: Cause, *, may_have_run: bool) -> None:
        """Handle a failure: there is no response to forward."""
        ...

    def dispatch_broke(self, failure: Failure, *, may_have_run: bool) -> None:
        """Handle an unexpected error; the dispatch may not have ended."""
        ...

    def log_dispatch_event(
        self, event: str, server: BackendServer, detail: str
    ) -> None:
        """Log one event of an attempt."""
        ...


@attrs.define(eq=False)
class DispatchContext:
    """The parts that all dispatches of one instance share.

    ``has_unlike_priorities`` tells whether routes of unlike priority lead to a service.
    """

    clock: Any
    balancer: Balancer
    connections: ServerConnections
    names: HeaderNames
    create_budget: Callable[[], RetryBudget]
    slack_share: Callable[[], float]
    has_unlike_priorities: Callable[[str], bool] = lambda service: False
    reach: ServerReach = attrs.field()
    limits: OwnLimits = attrs.Factory(OwnLimits)
    _budgets_by_service: dict[str, RetryBudget] = attrs.Factory(dict)

    @reach.default
    def _make_reach(self) -> ServerReach:
        return ServerReach(self.clock, self.balancer, self.connections)

    def choose(
        self,
        service: str,
        route: Route,
        *,
        priority: int,
        exclude: frozenset[str],
        avoid_domains: frozenset[str],
        decline_cost: float,
    ) -> BackendServer | None:
        """Return the server for the next attempt, or None.

        Servers of ``avoid_domains`` are chosen only if there is no other. While the own
        link is suspected, only servers with an open connection are chosen; without one,
        a connect probes the link. ``decline_cost`` is what a decline costs the attempt.
        """
        connected = self.connections.servers_with_idle_connections()
        excluded = self.reach.excluded(service, connected, avoid_domains)

        def choose_without(ids: frozenset[str]) -> BackendServer | None:
            return self.balancer.choose(
                service,
                route,
                self.clock.seconds(),
                priority=priority,
                exclude=ids,
                connected=connected,
                decline_cost=decline_cost,
            )

        server = choose_without(exclude | excluded)
        if server is not None or not excluded:
            return server
        server = choose_without(exclude)
        if self.reach.is_suspected():
            self.reach.probe(server)
            return None
        return server

    def may_connect(self, service: str, route: Route, priority: int) -> bool:
        """Return False while the own link is suspected and no connection is open.

        A connect then probes the link.
        """
        if not self.reach.is_suspected():
            return True
        nobody: frozenset[str] = frozenset()
        server = self.choose(
            service,
            route,
            priority=priority,
            exclude=nobody,
            avoid_domains=nobody,
            decline_cost=RETRIED_DECLINE_COST,
        )
        return server is not None

    def record_response(
        self, server: BackendServer, route: Route, elapsed_s: float
    ) -> None:
        """Record a response that came ``elapsed_s`` after its request was sent.

        Servers work for longer than a connect takes: only the delay beyond the usual
        latency says something about the link.
        """
        latencies = self.balancer.latencies(server.service, route)
        usual_s = latencies.quantile(USUAL_QUANTILE)
        self.reach.record_response(server, elapsed_s - usual_s)

    def budget(self, service: str) -> RetryBudget:
        """Return the retry budget of a service; create it if there is none."""
        budget = self._budgets_by_service.get(service)
        if budget is None:
            budget = self._budgets_by_service[service] = self.create_budget()
        return budget

    def budget_used(self, service: str, now: float, *, priority: int) -> float:
        """Return the share of the budget of ``service`` that is used after one retry.

        It is above 1 if there is none left for requests of ``priority``.
        """
        return self.budget(service).used_share(
            now, self.slack_share(), priority=self._shared_priority(service, priority)
        )

    def try_spend_retry(
        self, service: str, now: float, *, hedge: bool, priority: int
    ) -> bool:
        """Spend one retry of the budget of ``service``; False if there is none left."""
        return self.budget(service).try_spend(
            now,
            self.slack_share(),
            hedge=hedge,
            priority=self._shared_priority(service, priority),
        )

    def _shared_priority(self, service: str, priority: int) -> int | None:
        return priority if self.has_unlike_priorities(service) else None
