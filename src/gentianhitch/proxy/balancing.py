"""Choose a backend server for each attempt from pooled evidence."""

from __future__ import annotations

from collections.abc import Iterable
from enum import IntEnum
from random import Random

import attrs
import xxhash

from gentianhitch.proxy.gray_filter import GRAY_FAILURE_PROBABILITY
from gentianhitch.proxy.gray_filter import GrayFilter
from gentianhitch.proxy.gray_filter import PendingRequest
from gentianhitch.proxy.latencies import LatencyEstimate
from gentianhitch.proxy.model import BackendServer
from gentianhitch.proxy.model import Route

SLOW_SURVIVAL = 0.03
"""An answer slower than all but this share counts as slow."""

LOAD_WEIGHT = 0.15
OVERLOAD_WEIGHT = 0.4
"""A queue as long as the slots costs one service time, a third of the objective."""

IDLE_BONUS_PER_S = 0.1
MAX_IDLE_BONUS = 0.15
"""Above the cost of an unknown server with a new connection; less than a gray one."""

REMOTE_DOMAIN_PENALTY = 0.06
"""Bytes between failure domains are paid for."""

WARMUP_PENALTY = 0.15
NEW_CONNECTION_PENALTY = 0.05
AFFINITY_WEIGHT = 0.04
"""Instances that know the same prefer different servers, by a fixed order of each."""

MAX_JITTER = 0.01
MAX_DIGEST = 2**32 - 1
REPORT_LIFETIME_S = 1.0
"""What another instance reports of its running requests counts for so long."""

BROKEN_PATH_PRIOR = 0.01
"""Part of the paths that are assumed to be broken."""

MAX_QUEUE_FACTOR = 4.0
"""Requests sent to a server at once, as a multiple of its slots."""

QUEUE_FACTOR_STEP = 0.5
"""By how much less of the queue each rank of lower priority may fill."""

MIN_QUEUE_FACTOR = 2.0


@attrs.frozen
class RunningRequest:
    """One request that a server has not answered."""

    route: str
    started_s: float


@attrs.frozen
class _RemoteRequests:
    """Requests that another instance has running at one server."""

    requests: tuple[RunningRequest, ...]
    received_s: float


@attrs.define
class ServerRecord:
    """What is known of one incarnation of a backend server.

    A server may fail one kind of request and answer all others, so it is judged for
    each route, by the attempts of all instances. ``path`` judges the way from this
    instance to it by its own attempts only.
    """

    server: BackendServer
    path_filter: GrayFilter
    filters_by_route: dict[str, GrayFilter] = attrs.Factory(dict)
    running_by_token: dict[int, RunningRequest] = attrs.Factory(dict)
    remote_by_instance: dict[str, _RemoteRequests] = attrs.Factory(dict)
    warm_at_s: float = 0.0
    last_used_s: float = 0.0
    is_replaced: bool = False
    affinity: float = 0.0

    def route_filter(self, route: str, now: float) -> GrayFilter:
        """Return what is known of the server's answers on ``route``."""
        known = self.filters_by_route.get(route)
        if known is None:
            known = self.filters_by_route[route] = GrayFilter(now)
        return known

    def remote_requests(self, now: float) -> list[RunningRequest]:
        """Return the requests of other instances that run there."""
        return [
            request
            for each in self.remote_by_instance.values()
            if now - each.received_s < REPORT_LIFETIME_S
            for request in each.requests
        ]


class AttemptResult(IntEnum):
    """How an attempt ended; DECLINED tells nothing of a server's answers.

    ERROR is a whole answer of the server's own that says that it failed.
    """

    GOOD = 0
    FAILED = 1
    GIVEN_UP = 2
    DECLINED = 3
    ERROR = 4


@attrs.frozen
class Observation:
    """How one attempt ended, and how long after it was sent."""

    server: tuple[str, int]
    route: str
    latency_s: float
    result: AttemptResult


class Balancer:
    """Pick servers and learn from attempts, own and reported."""

    def __init__(self, name: str, failure_domain: str, random: Random) -> None:
        self._name = name
        self._failure_domain = failure_domain
        self._random = random
        self._records_by_key: dict[tuple[str, int], ServerRecord] = {}
        self._by_service: dict[str, list[ServerRecord]] = {}
        self._latencies_by_route: dict[tuple[str, str], LatencyEstimate] = {}
        self._next_token = 0
        self.observations: list[Observation] = []

    def update(self, servers: Iterable[BackendServer], now: float) -> None:
        """Take the backend servers that are listed now."""
        listed = {server.key: server for server in servers}
        for key in tuple(self._records_by_key):
            if key not in listed:
                del self._records_by_key[key]
        self._by_service = {}
        for key, server in listed.items():
            record = self._records_by_key.get(key)
            if record is None:
                record = ServerRecord(server, GrayFilter(now, BROKEN_PATH_PRIOR))
                record.warm_at_s = now + server.warmup_s
                record.last_used_s = now
                record.affinity = self._affinity(server)
                self._records_by_key[key] = record
            record.server = server
            self._by_service.setdefault(server.service, []).append(record)

    def retain_routes(self, routes: frozenset[str]) -> None:
        """Forget what is known of routes that are gone."""
        for key in tuple(self._latencies_by_route):
            if key[1] not in routes:
                del self._latencies_by_route[key]
        for record in self._records_by_key.values():
            for route in record.filters_by_route.keys() - routes:
                del record.filters_by_route[route]

    def _affinity(self, server: BackendServer) -> float:
        """Return where the server stands in this instance's own order, 0 to 1."""
        digest = xxhash.xxh32_intdigest(f"{self._name} {server.id}".encode())
        return digest / MAX_DIGEST

    def choose(
        self,
        service: str,
        route: Route,
        now: float,
        *,
        priority: int = 0,
        exclude: frozenset[str] = frozenset(),
        connected: frozenset[str] = frozenset(),
    ) -> BackendServer | None:
        """Return the best server for ``route``; None when all are full or gone.

        ``connected`` names the servers to which a connection is ready. Requests of
        lower priority (a higher number) find a server full sooner.
        """
        queue = max(MAX_QUEUE_FACTOR - QUEUE_FACTOR_STEP * priority, MIN_QUEUE_FACTOR)
        best, best_cost = None, float("inf")
        for record in self._by_service.get(service, ()):
            server = record.server
            if server.draining or record.is_replaced or server.id in exclude:
                continue
            cost = self._cost(record, route, queue, now)
            if server.id not in connected:
                cost += NEW_CONNECTION_PENALTY
            if cost < best_cost:
                best, best_cost = server, cost
        return best

    def gray_probability(
        self, server: BackendServer, route: Route, now: float
    ) -> float:
        """Return how likely ``server`` fails ``route``, or the path to it is broken."""
        record = self._records_by_key.get(server.key)
        return (
            1.0
            if record is None
            else self._gray_probability_of(record, route.name, now)
        )

    def latencies(self, service: str, route: Route) -> LatencyEstimate:
        """Return the latencies of ``route`` at ``service``."""
        key = (service, route.name)
        known = self._latencies_by_route.get(key)
        if known is None:
            known = LatencyEstimate.from_objective(route.objective_s)
            self._latencies_by_route[key] = known
        return known

    def record_start(self, server: BackendServer, route: Route, now: float) -> int:
        """Note that a request was sent; return a token for :meth:`ended`."""
        self._next_token += 1
        record = self._records_by_key.get(server.key)
        # Without them, requests that have no answer yet would tell nothing.
        self.latencies(server.service, route)
        if record is not None:
            running = RunningRequest(route.name, now)
            record.running_by_token[self._next_token] = running
            record.last_used_s = now
        return self._next_token

    def record_end(
        self,
        server: BackendServer,
        route: Route,
        token: int,
        result: AttemptResult,
        now: float,
    ) -> None:
        """Learn from an attempt."""
        record = self._records_by_key.get(server.key)
        running = record.running_by_token.pop(token, None) if record else None
        if record is None or running is None or result is AttemptResult.DECLINED:
            return
        latency_s = now - running.started_s
        observation = Observation(server.key, route.name, latency_s, result)
        self._record_result(record, observation, now, own=True)
        self.observations.append(observation)

    def mark_replaced(self, server: BackendServer) -> None:
        """Note that another server has the address; its entry is yet to go."""
        record = self._records_by_key.get(server.key)
        if record is not None:
            record.is_replaced = True

    def record_unreachable(self, server: BackendServer, now: float) -> None:
        """Learn that no connection could be had; others may still reach it."""
        record = self._records_by_key.get(server.key)
        if record is not None:
            record.path_filter.record_failure(now)

    def merge_observation(self, observation: Observation, now: float) -> None:
        """Learn from an attempt of another instance."""
        record = self._records_by_key.get(observation.server)
        if record is not None:
            record.last_used_s = max(record.last_used_s, now - observation.latency_s)
            self._record_result(record, observation, now, own=False)

    def merge_running(
        self,
        instance: str,
        requests_by_server: dict[tuple[str, int], tuple[RunningRequest, ...]],
        now: float,
    ) -> None:
        """Take the running requests of another instance, all of them."""
        for key, record in self._records_by_key.items():
            requests = requests_by_server.get(key)
            if requests:
                record.remote_by_instance[instance] = _RemoteRequests(requests, now)
                record.last_used_s = max(record.last_used_s, now)
            else:
                record.remote_by_instance.pop(instance, None)

    def running_by_server(self) -> dict[tuple[str, int], list[RunningRequest]]:
        """Return the own running requests by server."""
        return {
            key: list(record.running_by_token.values())
            for key, record in self._records_by_key.items()
            if record.running_by_token
        }

    def _record_result(
        self, record: ServerRecord, observation: Observation, now: float, *, own: bool
    ) -> None:
        latency_s = observation.latency_s
        known = self._latencies_by_route.get((record.server.service, observation.route))
        survival = 0.5 if known is None else known.survival(latency_s)
        result = observation.result
        _update_filter(
            record.route_filter(observation.route, now),
            result,
            latency_s,
            survival,
            now,
        )
        if own:
            # An error of the server's own shows that the path works.
            on_path = AttemptResult.GOOD if result is AttemptResult.ERROR else result
            _update_filter(record.path_filter, on_path, latency_s, survival, now)
        if known is not None and observation.result is AttemptResult.GOOD:
            known.add(latency_s)

    def _gray_probability_of(
        self, record: ServerRecord, route: str, now: float
    ) -> float:
        service = record.server.service
        own = record.running_by_token.values()
        same_route = [
            request
            for request in (*own, *record.remote_requests(now))
            if request.route == route
        ]
        pooled = record.route_filter(route, now)
        return max(
            pooled.probability_with_pending(
                self._pending(service, same_route, now), now
            ),
            record.path_filter.probability_with_pending(
                self._pending(service, own, now), now
            ),
        )

    def _pending(
        self, service: str, requests: Iterable[RunningRequest], now: float
    ) -> list[PendingRequest]:
        pending = []
        for request in requests:
            known = self._latencies_by_route.get((service, request.route))
            if known is not None:
                age_s = max(now - request.started_s, 0.0)
                pending.append(PendingRequest(age_s, known.survival(age_s)))
        return pending

    def _cost(
        self, record: ServerRecord, route: Route, queue: float, now: float
    ) -> float:
        server = record.server
        running = len(record.running_by_token) + len(record.remote_requests(now))
        load = (running + 1) / server.slots
        if load > queue + 1.0 / server.slots:
            return float("inf")
        gray = self._gray_probability_of(record, route.name, now)
        cost = gray * GRAY_FAILURE_PROBABILITY + LOAD_WEIGHT * load
        cost += OVERLOAD_WEIGHT * max(load - 1.0, 0.0)
        cost -= min(IDLE_BONUS_PER_S * (now - record.last_used_s), MAX_IDLE_BONUS)
        cost += MAX_JITTER * self._random.random()
        cost -= AFFINITY_WEIGHT * record.affinity
        if server.failure_domain != self._failure_domain:
            cost += REMOTE_DOMAIN_PENALTY
        if now < record.warm_at_s:
            cost += WARMUP_PENALTY
        return cost


def _update_filter(
    gray_filter: GrayFilter,
    result: AttemptResult,
    latency_s: float,
    survival: float,
    now: float,
) -> None:
    """Have a filter learn from an attempt that took longer than ``survival``."""
    if result is AttemptResult.FAILED:
        gray_filter.record_failure(now, latency_s)
    elif result is AttemptResult.ERROR:
        gray_filter.record_error(now, latency_s)
    elif result is AttemptResult.GIVEN_UP:
        gray_filter.record_abandoned(now, PendingRequest(latency_s, survival))
    else:
        gray_filter.record_success(now, latency_s, slow=survival < SLOW_SURVIVAL)
