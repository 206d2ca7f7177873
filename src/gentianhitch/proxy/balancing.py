"""Choose a backend server for each attempt by the attempts of all instances."""

from __future__ import annotations

from collections.abc import Iterable
from random import Random

import xxhash

from gentianhitch.proxy.attempt_cost import attempt_cost
from gentianhitch.proxy.attempt_cost import max_queue_factor
from gentianhitch.proxy.digests import route_digest
from gentianhitch.proxy.digests import server_digest
from gentianhitch.proxy.floor import FLOOR_WINDOW_S
from gentianhitch.proxy.floor import MAX_UNUSED_S
from gentianhitch.proxy.floor import RecentFailures
from gentianhitch.proxy.floor import ServerUse
from gentianhitch.proxy.floor import ServiceUse
from gentianhitch.proxy.floor import is_below_floor
from gentianhitch.proxy.gray_filter import GrayFilter
from gentianhitch.proxy.gray_filter import PendingRequest
from gentianhitch.proxy.latencies import LatencyEstimate
from gentianhitch.proxy.model import BackendServer
from gentianhitch.proxy.model import Route
from gentianhitch.proxy.server_notices import ServerNotices
from gentianhitch.proxy.server_records import FAILURES
from gentianhitch.proxy.server_records import AttemptResult
from gentianhitch.proxy.server_records import Observation
from gentianhitch.proxy.server_records import RemoteRequests
from gentianhitch.proxy.server_records import RunningRequest
from gentianhitch.proxy.server_records import ServerRecord

SLOW_SURVIVAL = 0.03
"""A response slower than all but this share of responses counts as slow."""

MAX_TRIED_PROBABILITY = 0.4
"""A server that is more likely to be gray is tried only while the floor binds."""

TURN_S = 0.25
"""Instances try an unused server in turn: each learns what came of the try before."""

MAX_TURN_S = 2.0

DEFAULT_FLOOR_SHARE = 0.7
"""Share of sound servers that stay in use, for deployments that agree on none."""

MAX_DIGEST = 2**32 - 1
BROKEN_PATH_PRIOR = 0.01
"""Prior probability that the path from this instance to a server is broken."""

PATH = ""
"""Stands for all routes in a filter that judges a network path."""


class Balancer:
    """Choose servers by the results of own attempts and those of other instances.

    ``observations`` holds the results of own attempts that are yet to be reported.
    """

    def __init__(
        self,
        name: str,
        failure_domain: str,
        random: Random,
        floor_share: float = DEFAULT_FLOOR_SHARE,
    ) -> None:
        self._name = name
        self._failure_domain = failure_domain
        self._random = random
        self.floor_share = floor_share
        self._failures_by_service: dict[str, RecentFailures] = {}
        self._records_by_key: dict[tuple[str, int], ServerRecord] = {}
        self._by_service: dict[str, list[ServerRecord]] = {}
        self._latencies_by_route: dict[tuple[str, str], LatencyEstimate] = {}
        self._server_keys_by_digest: dict[int, tuple[str, int]] = {}
        self._route_names_by_digest: dict[int, str] = {}
        self._reported_by_instance: dict[str, frozenset[tuple[str, int]]] = {}
        self._next_token = 0
        self._instances: frozenset[str] = frozenset()
        self.observations: list[Observation] = []
        self.notices = ServerNotices()

    def update(self, servers: Iterable[BackendServer], now: float) -> None:
        """Replace the set of candidates by the backend servers in the listing."""
        listed = {server.key: server for server in servers}
        for key in tuple(self._records_by_key):
            if key not in listed:
                del self._records_by_key[key]
        self._by_service = {}
        self._server_keys_by_digest = {server_digest(key): key for key in listed}
        for key, server in listed.items():
            record = self._records_by_key.get(key)
            if record is None:
                record = ServerRecord(
                    server, GrayFilter(now), GrayFilter(now, BROKEN_PATH_PRIOR, 0.0)
                )
                record.warm_at_s = now + server.warmup_s
                record.last_used_s = now
                self._records_by_key[key] = record
                self._set_turn(record)
            record.server = server
            self._by_service.setdefault(server.service, []).append(record)

    def server_key(self, digest: int) -> tuple[str, int] | None:
        """Return the key of the listed server with ``digest``; None if none has it."""
        return self._server_keys_by_digest.get(digest)

    def route_name(self, digest: int) -> str | None:
        """Return the name of the route with ``digest``; None if none has it."""
        return self._route_names_by_digest.get(digest)

    def set_routes(self, routes: frozenset[str]) -> None:
        """Drop the latencies and filters of all other routes."""
        self._route_names_by_digest = {route_digest(name): name for name in routes}
        for key in tuple(self._latencies_by_route):
            if key[1] not in routes:
                del self._latencies_by_route[key]
        for record in self._records_by_key.values():
            record.gray_filter.retain_routes(routes)

    def set_instances(self, names: frozenset[str]) -> None:
        """Set the instances that use the servers with this one."""
        if names != self._instances:
            self._instances = names
            for record in self._records_by_key.values():
                self._set_turn(record)

    def _set_turn(self, record: ServerRecord) -> None:
        """Set this instance's preference for a server, and its turn to try it."""
        own = _order_digest(self._name, record.server)
        record.affinity = own / MAX_DIGEST
        before = sum(
            _order_digest(name, record.server) > own for name in self._instances
        )
        record.turn_s = min(before * TURN_S, MAX_TURN_S)

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
        """Return the server of least cost for ``route``; None if there is no candidate.

        ``connected`` names the servers to which a connection is idle. Requests of lower
        priority (a higher number) have a lower limit of concurrent requests.
        """
        max_queue = max_queue_factor(priority)
        usable = [
            (record, gray)
            for record, gray in self._usable(service, route.name, now)
            if record.server.id not in exclude
        ]
        best, best_cost = None, float("inf")
        for candidates in (self._unused(service, usable, now), usable):
            for record, gray in candidates:
                server = record.server
                cost = attempt_cost(
                    record,
                    gray,
                    max_queue,
                    now,
                    jitter=self._random.random(),
                    is_remote=server.failure_domain != self._failure_domain,
                    is_connected=server.id in connected,
                )
                if cost < best_cost:
                    best, best_cost = record, cost
            if best is not None:
                break
        if best is None:
            return None
        # Nothing else waits for the same unused server while a connection is opened.
        best.last_used_s = max(best.last_used_s, now)
        return best.server

    def _unused(
        self, service: str, usable: list[tuple[ServerRecord, float]], now: float
    ) -> list[tuple[ServerRecord, float]]:
        """Return the servers to try first, with their gray probabilities.

        These are probably sound, and nobody used them of late; while the floor binds,
        also those that are probably gray.
        """
        failures = self._failures_by_service.get(service)
        is_binding = failures is not None and failures.bind_floor(now)
        tries_all = is_binding and is_below_floor(_uses(usable), self.floor_share, now)
        max_gray = 1.0 if tries_all else MAX_TRIED_PROBABILITY
        return [
            (record, gray)
            for record, gray in usable
            if gray <= max_gray
            and now - record.last_failed_s > FLOOR_WINDOW_S
            and now - record.last_used_s > MAX_UNUSED_S + record.turn_s
        ]

    def _usable(
        self, service: str, route: str, now: float
    ) -> list[tuple[ServerRecord, float]]:
        """Return the servers that may get requests, with their gray probabilities."""
        return [
            (record, self._gray_probability_of(record, route, now))
            for record in self._by_service.get(service, ())
            if not record.server.draining
            and not record.is_replaced
            and self.notices.accepts_requests(record.server.key, now)
        ]

    def use_by_service(self, now: float) -> dict[str, ServiceUse]:
        """Return how many servers of each service with recent results are in use."""
        use_by_service = {}
        for service, failures in self._failures_by_service.items():
            if not failures.is_empty(now):
                usable = self._usable(service, PATH, now)
                use_by_service[service] = ServiceUse(
                    len(usable),
                    round(sum(1.0 - gray for _, gray in usable), 1),
                    sum(
                        now - record.last_used_s <= FLOOR_WINDOW_S
                        for record, _ in usable
                    ),
                    round(failures.failed_share(now), 3),
                    is_below_floor(_uses(usable), self.floor_share, now),
                    failures.bind_floor(now),
                )
        return use_by_service

    def gray_probability(
        self, server: BackendServer, route: Route, now: float
    ) -> float:
        """Return the probability that ``server`` is gray for ``route``.

        The greater of two probabilities: that of the server and that of the path to it.
        A server that isn't listed counts as gray.
        """
        record = self._records_by_key.get(server.key)
        return (
            1.0
            if record is None
            else self._gray_probability_of(record, route.name, now)
        )

    def latencies(self, service: str, route: Route) -> LatencyEstimate:
        """Return the latency estimate of ``route`` at ``service``."""
        key = (service, route.name)
        estimate = self._latencies_by_route.get(key)
        if estimate is None:
            estimate = LatencyEstimate.from_objective(route.objective_s)
            self._latencies_by_route[key] = estimate
        return estimate

    def record_start(self, server: BackendServer, route: Route, now: float) -> int:
        """Record that a request was sent; return a token for :meth:`record_end`."""
        self._next_token += 1
        record = self._records_by_key.get(server.key)
        # Creates the estimate; without one, pending requests give no evidence.
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
        """Record the result of an own attempt."""
        record = self._records_by_key.get(server.key)
        running = record.running_by_token.pop(token, None) if record else None
        if record is None or running is None:
            return
        if result is AttemptResult.DECLINED:
            self._count_result(server.service, now, failed=True)
            return
        latency_s = now - running.started_s
        observation = Observation(server.key, route.name, latency_s, result)
        self._record_result(record, observation, now, own=True)
        self.observations.append(observation)

    def record_wait(self, server: BackendServer, wait_s: float, now: float) -> float:
        """Record that a server wants no requests for ``wait_s``; return until when.

        Instances then try it in turn, as any server that nobody uses.
        """
        until_s = self.notices.record_wait(server.key, wait_s, now)
        record = self._records_by_key.get(server.key)
        if record is not None:
            record.last_used_s = max(record.last_used_s, until_s)
        return until_s

    def free_in_s(self, service: str, now: float) -> float | None:
        """Return after how long a server of ``service`` wants requests; None: never."""
        keys = (
            record.server.key
            for record in self._by_service.get(service, ())
            if not record.server.draining and not record.is_replaced
        )
        return self.notices.free_in_s(keys, now)

    def mark_replaced(self, server: BackendServer) -> None:
        """Exclude a server whose address another server has taken over.

        The store may list its entry for some seconds more.
        """
        record = self._records_by_key.get(server.key)
        if record is not None:
            record.is_replaced = True

    def record_unreachable(self, server: BackendServer, now: float) -> None:
        """Record a failed connect; other instances may still reach the server."""
        record = self._records_by_key.get(server.key)
        if record is not None:
            record.path_filter.record_failure(PATH, now)

    def merge_observation(self, observation: Observation, now: float) -> None:
        """Record the result of another instance's attempt."""
        record = self._records_by_key.get(observation.server)
        if record is not None:
            started_s = now - observation.latency_s
            record.last_used_s = max(record.last_used_s, started_s)
            self._record_result(record, observation, now, own=False)

    def merge_running(
        self,
        instance: str,
        requests_by_server: dict[tuple[str, int], tuple[RunningRequest, ...]],
        now: float,
    ) -> None:
        """Replace the running requests of another instance by those of its report."""
        before = self._reported_by_instance.get(instance, frozenset())
        for key in before - requests_by_server.keys():
            record = self._records_by_key.get(key)
            if record is not None:
                record.remote_by_instance.pop(instance, None)
        for key, requests in requests_by_server.items():
            record = self._records_by_key.get(key)
            if record is not None:
                record.remote_by_instance[instance] = RemoteRequests(requests, now)
                starts_s = (request.started_s for request in requests)
                started_s = max(starts_s, default=record.last_used_s)
                record.last_used_s = max(record.last_used_s, started_s)
        self._reported_by_instance[instance] = frozenset(requests_by_server)

    def running_by_server(self) -> dict[tuple[str, int], list[RunningRequest]]:
        """Return the own running requests, by the key of their server."""
        return {
            key: list(record.running_by_token.values())
            for key, record in self._records_by_key.items()
            if record.running_by_token
        }

    def _record_result(
        self, record: ServerRecord, observation: Observation, now: float, *, own: bool
    ) -> None:
        latency_s = observation.latency_s
        estimate = self._latencies_by_route.get(
            (record.server.service, observation.route)
        )
        survival = 0.5 if estimate is None else estimate.survival(latency_s)
        result = observation.result
        service = record.server.service
        failed = result in FAILURES
        self._count_result(service, now, failed=failed)
        if failed:
            record.last_failed_s = max(record.last_failed_s, now - latency_s)
        _update_filter(
            record.gray_filter, observation.route, result, latency_s, survival, now
        )
        if own:
            # A server's own error response shows that the path works.
            path_result = (
                AttemptResult.GOOD if result is AttemptResult.ERROR else result
            )
            _update_filter(
                record.path_filter, PATH, path_result, latency_s, survival, now
            )
        if estimate is not None and observation.result is AttemptResult.GOOD:
            estimate.add(latency_s)

    def _count_result(self, service: str, now: float, *, failed: bool) -> None:
        failures = self._failures_by_service.setdefault(service, RecentFailures())
        failures.record(now, failed=failed)

    def _gray_probability_of(
        self, record: ServerRecord, route: str, now: float
    ) -> float:
        service = record.server.service
        own = record.running_by_token.values()
        pending_by_route: dict[str, list[PendingRequest]] = {}
        for request in (*own, *record.remote_requests(now)):
            pending = self._pending(service, request, now)
            if pending is not None:
                pending_by_route.setdefault(request.route, []).append(pending)
        own_pending = [self._pending(service, request, now) for request in own]
        return max(
            record.gray_filter.probability_with_pending(route, pending_by_route, now),
            record.path_filter.probability_with_pending(
                PATH, {PATH: [each for each in own_pending if each is not None]}, now
            ),
        )

    def _pending(
        self, service: str, request: RunningRequest, now: float
    ) -> PendingRequest | None:
        estimate = self._latencies_by_route.get((service, request.route))
        if estimate is None:
            return None
        age_s = max(now - request.started_s, 0.0)
        return PendingRequest(age_s, estimate.survival(age_s))


def _uses(usable: list[tuple[ServerRecord, float]]) -> list[ServerUse]:
    return [
        ServerUse(record.last_used_s, record.last_failed_s, gray)
        for record, gray in usable
    ]


def _order_digest(instance: str, server: BackendServer) -> int:
    return xxhash.xxh32_intdigest(f"{instance} {server.id}".encode())


def _update_filter(
    gray_filter: GrayFilter,
    route: str,
    result: AttemptResult,
    latency_s: float,
    survival: float,
    now: float,
) -> None:
    """Record an attempt in a filter.

    ``survival`` is the share of responses that take longer than the attempt did.
    """
    if result is AttemptResult.FAILED:
        gray_filter.record_failure(route, now, latency_s)
    elif result is AttemptResult.ERROR:
        gray_filter.record_error(route, now, latency_s)
    elif result is AttemptResult.CANCELLED:
        gray_filter.record_abandoned(route, now, PendingRequest(latency_s, survival))
    else:
        slow = survival < SLOW_SURVIVAL
        gray_filter.record_success(route, now, latency_s, slow=slow)
