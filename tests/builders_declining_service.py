"""Model a service whose servers decline requests, before several instances.

The instances are the real balancers, retry budgets and dispatches on one paused clock;
servers have slots and a queue. Reports between the instances are delivered in memory.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Any

import attrs
from twisted.internet.task import Clock

from gentianhitch.callers.complete_requests import CallerRequest
from gentianhitch.platform.caller_interface import HEADER_NAMES
from gentianhitch.proxy.balancing import Balancer
from gentianhitch.proxy.dispatch import Dispatch
from gentianhitch.proxy.dispatch_context import DispatchContext
from gentianhitch.proxy.model import BackendServer
from gentianhitch.proxy.model import Route
from gentianhitch.proxy.retry_budget import RetryBudget
from tests.builders_dispatch import make_response
from tests.builders_proxy import HOST
from tests.builders_proxy import make_route
from tests.builders_proxy import make_server

DECLINED = (b"X-Gentianhitch-Not-Executed", b"1")
ONE_WAY_S = 0.001
WORK_S = 0.11
REPORT_INTERVAL_S = 0.1
OBJECTIVE_S = 0.5
TIMEOUT_S = 1.0

ORDERS = make_route(
    name="orders",
    idempotent=False,
    priority=1,
    objective_s=OBJECTIVE_S,
    timeout_s=TIMEOUT_S,
)
READS = make_route(
    name="reads", priority=2, objective_s=OBJECTIVE_S, timeout_s=TIMEOUT_S
)


class BalancerWithoutDeclines(Balancer):
    """Choose as before declines were evidence."""

    def choose(self, *args: Any, **changes: Any) -> BackendServer | None:
        return super().choose(*args, **{**changes, "decline_cost": 0.0})

    def merge_declined(self, *args: Any) -> None:
        pass


@attrs.define(eq=False)
class ModelServer:
    """A server with a queue; ``decline_share`` of its requests are declined at once."""

    clock: Clock
    random: Random
    server: BackendServer
    queue_length: int
    decline_share: float = 0.0
    running: int = 0
    queue: list[ModelConnection] = attrs.Factory(list)
    declined_at_s: list[float] = attrs.Factory(list)
    accepted_at_s: list[float] = attrs.Factory(list)

    def arrive(self, connection: ModelConnection) -> None:
        if connection.is_closed:
            return
        now = self.clock.seconds()
        is_full = len(self.queue) >= self.queue_length
        if is_full or self.random.random() < self.decline_share:
            self.declined_at_s.append(now)
            self.clock.callLater(ONE_WAY_S, connection.respond, 503, DECLINED)
            return
        self.accepted_at_s.append(now)
        self.queue.append(connection)
        self._start_next()

    def _start_next(self) -> None:
        while self.queue and self.running < self.server.slots:
            connection = self.queue.pop(0)
            if not connection.is_closed:
                self.running += 1
                work_s = WORK_S * self.random.lognormvariate(-0.08, 0.4)
                self.clock.callLater(work_s, self._finish, connection)

    def _finish(self, connection: ModelConnection) -> None:
        self.running -= 1
        self.clock.callLater(ONE_WAY_S, connection.respond, 200)
        self._start_next()


@attrs.define(eq=False)
class ModelConnection:
    """A connection to a server, used for one request."""

    model: ModelServer
    waiter: Any
    is_closed: bool = False

    def send(self, request_id: bytes, data: bytes, waiter: Any) -> None:
        self.model.clock.callLater(ONE_WAY_S, self.model.arrive, self)

    def close(self) -> None:
        self.is_closed = True

    def respond(self, status: int, *headers: tuple[bytes, bytes]) -> None:
        if not self.is_closed:
            self.waiter.response_received(make_response(status, *headers))


@attrs.define(eq=False)
class Outcome:
    """What became of one request; ``cause`` is empty after a good response."""

    route: Route
    started_s: float
    clock: Clock
    spent: list[float]
    ended_s: float | None = None
    cause: str = ""

    def dispatch_succeeded(self, response: Any, server: BackendServer) -> None:
        self.ended_s = self.clock.seconds()

    def dispatch_failed(self, cause: Any, *, may_have_run: bool) -> None:
        self.ended_s, self.cause = self.clock.seconds(), cause.name

    def dispatch_broke(self, failure: Any, *, may_have_run: bool) -> None:
        failure.raiseException()

    def log_dispatch_event(
        self, event: str, server: BackendServer, detail: str
    ) -> None:
        if event == "retry_budget_spent":
            self.spent.append(self.clock.seconds())


@attrs.define(eq=False)
class ModelInstance:
    """One instance: its balancer and the parts that its dispatches share."""

    balancer: Balancer
    context: DispatchContext


@attrs.define(eq=False, slots=False)
class DecliningService:
    """A service of ``server_count`` servers before ``instance_count`` instances.

    ``makers`` are the classes of the instances' balancers, in turn; ``report_loss`` is
    the share of reports that are lost. Instances with a
    :class:`BalancerWithoutDeclines` neither send nor read declined attempts.
    """

    seed: int
    server_count: int = 30
    slots: int = 2
    queue_length: int = 8
    rate_per_s: float = 171.0
    instance_count: int = 3
    slack: float = 47.0
    report_loss: float = 0.0
    makers: tuple[type[Balancer], ...] = (Balancer,)
    routes: tuple[Route, ...] = (ORDERS, READS)
    has_unlike_priorities: bool = True
    outcomes: list[Outcome] = attrs.Factory(list)
    budget_refusals_at_s: list[float] = attrs.Factory(list)

    def __attrs_post_init__(self) -> None:
        self.clock = Clock()
        self.random = Random(self.seed)
        self.servers = [
            make_server(f"s-{number}", slots=self.slots)
            for number in range(self.server_count)
        ]
        self.models_by_id = {
            server.id: ModelServer(self.clock, self.random, server, self.queue_length)
            for server in self.servers
        }
        self.instances = [self._make_instance(n) for n in range(self.instance_count)]
        self._next_arrival_s = 0.0

    def _make_instance(self, number: int) -> ModelInstance:
        name = f"e-{number}"
        make = self.makers[number % len(self.makers)]
        balancer = make(name, "a", Random(f"{self.seed} {name}"))
        balancer.update(self.servers, 0.0)
        balancer.set_routes(frozenset(route.name for route in self.routes))
        balancer.set_instances(frozenset(f"e-{n}" for n in range(self.instance_count)))
        context = DispatchContext(
            self.clock,
            balancer,
            self,  # type: ignore[arg-type]
            HEADER_NAMES,
            lambda: RetryBudget(0.2, self.slack, 10.0),
            lambda: 0.9 / self.instance_count,
            lambda service: self.has_unlike_priorities,
        )
        return ModelInstance(balancer, context)

    # The connections of all instances.

    def acquire(
        self,
        key: Any,
        address: Any,
        waiter: Any,
        *,
        max_idle_s: float,
        may_open: bool = True,
    ) -> Any:
        waiter.connected(ModelConnection(self.models_by_id[key[0]], waiter))

    def servers_with_idle_connections(self) -> frozenset[str]:
        return frozenset(self.models_by_id)

    # Time.

    def at(self, time_s: float, step: Callable[..., None], *args: Any) -> None:
        self.clock.callLater(time_s - self.clock.seconds(), step, *args)

    def set_decline_share(self, count: int, share: float) -> None:
        """Have the first ``count`` servers decline a share of their requests."""
        for server in self.servers[:count]:
            self.models_by_id[server.id].decline_share = share

    def run(self, until_s: float) -> None:
        """Send requests at random times and exchange reports at regular ones."""
        self._schedule_arrival(until_s)
        steps = round((until_s - self.clock.seconds()) / REPORT_INTERVAL_S)
        for _ in range(steps):
            self._advance(REPORT_INTERVAL_S)
            self._exchange_reports()
        self._advance(TIMEOUT_S)

    def _advance(self, seconds: float) -> None:
        """Advance the clock call by call: each sees the time that it was due at."""
        end_s = self.clock.seconds() + seconds
        while True:
            calls = self.clock.getDelayedCalls()
            due_s = min((call.getTime() for call in calls), default=end_s)
            if due_s >= end_s:
                break
            self.clock.advance(max(due_s - self.clock.seconds(), 0.0))
        self.clock.advance(max(end_s - self.clock.seconds(), 0.0))

    def _schedule_arrival(self, until_s: float) -> None:
        delay_s = self.random.expovariate(self.rate_per_s)
        if self.clock.seconds() + delay_s < until_s:
            self.clock.callLater(delay_s, self._arrive, until_s)

    def _arrive(self, until_s: float) -> None:
        self._schedule_arrival(until_s)
        self.send(self.random.choice(self.instances), self.random.choice(self.routes))

    def send(self, instance: ModelInstance, route: Route) -> Outcome:
        now = self.clock.seconds()
        outcome = Outcome(route, now, self.clock, self.budget_refusals_at_s)
        self.outcomes.append(outcome)
        request = CallerRequest(
            method=b"GET" if route.idempotent else b"POST",
            target=b"/stock/1",
            host=HOST,
            headers=[],
            body=b"",
            keep_alive=True,
            request_id=b"id",
            remaining_s=TIMEOUT_S,
            key=None,
            has_length=False,
        )
        Dispatch(
            instance.context, request, route, "stock", None, now + TIMEOUT_S, outcome
        ).start()
        return outcome

    def send_burst(self, count: int) -> None:
        """Send requests through all instances at once."""
        for number in range(count):
            instance = self.instances[number % len(self.instances)]
            self.send(instance, self.random.choice(self.routes))

    def _exchange_reports(self) -> None:
        now = self.clock.seconds()
        for sender in (instance.balancer for instance in self.instances):
            observations, sender.observations = sender.observations, []
            declined, sender.declined_by_server = sender.declined_by_server, {}
            if isinstance(sender, BalancerWithoutDeclines):
                declined = {}
            running = {
                key: tuple(requests)
                for key, requests in sender.running_by_server().items()
            }
            for receiver in (instance.balancer for instance in self.instances):
                if receiver is sender or self.random.random() < self.report_loss:
                    continue
                receiver.merge_running(sender._name, running, now)
                for observation in observations:
                    receiver.merge_observation(observation, now)
                for server, running_before in declined.items():
                    receiver.merge_declined(server, running_before, now)

    # Results.

    def declined(self, from_s: float = 0.0, to_s: float = float("inf")) -> int:
        """Return how many sends were declined in a time span."""
        return sum(
            from_s <= at_s < to_s
            for model in self.models_by_id.values()
            for at_s in model.declined_at_s
        )

    def sends(self, from_s: float = 0.0, to_s: float = float("inf")) -> int:
        """Return how many sends reached a server in a time span."""
        accepted = sum(
            from_s <= at_s < to_s
            for model in self.models_by_id.values()
            for at_s in model.accepted_at_s
        )
        return accepted + self.declined(from_s, to_s)

    def refused(
        self, from_s: float = 0.0, to_s: float = float("inf"), *routes: Route
    ) -> int:
        """Return how many requests of a time span, on any or some routes, failed."""
        return sum(
            bool(outcome.cause)
            for outcome in self.outcomes
            if from_s <= outcome.started_s < to_s
            and outcome.route in (routes or self.routes)
        )

    def timely_share(self, from_s: float = 0.0, to_s: float = float("inf")) -> float:
        """Return the share of requests answered well within their objective."""
        chosen = [each for each in self.outcomes if from_s <= each.started_s < to_s]
        timely = [
            each
            for each in chosen
            if not each.cause
            and each.ended_s is not None
            and each.ended_s - each.started_s <= OBJECTIVE_S
        ]
        return len(timely) / len(chosen)
