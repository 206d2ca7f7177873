"""Choose a backend server for each attempt from pooled evidence."""

from __future__ import annotations

from collections.abc import Iterable
from random import Random

import attrs

from gentianhitch.proxy.gray_filter import FAILS_WHEN_GRAY
from gentianhitch.proxy.gray_filter import GrayFilter
from gentianhitch.proxy.gray_filter import with_unanswered
from gentianhitch.proxy.latencies import Latencies
from gentianhitch.proxy.model import BackendServer
from gentianhitch.proxy.model import Route

SLOW_SURVIVAL = 0.03
"""An answer slower than all but this share counts as slow."""

LOAD_WEIGHT = 0.25
FULL_WEIGHT = 1.5
FAR_PENALTY = 0.03
COLD_PENALTY = 0.15
NEW_CONNECTION_PENALTY = 0.02
TIE_BREAK = 0.03
REPORT_LIFETIME_S = 1.0
"""What another instance reports of its running requests counts for so long."""

PATH_BROKEN_SHARE = 0.01
"""Part of the paths that are assumed to be broken."""

QUEUE_SHARE = 2.0
"""Requests sent to a server at once, as a multiple of its slots."""


@attrs.define
class _Running:
    """One request that a server has not answered."""

    began_s: float
    route: str
    objective_s: float


@attrs.define
class _Remote:
    """Requests that another instance has running at one server."""

    count: int
    heard_s: float


@attrs.define
class ServerRecord:
    """What is known of one incarnation of a backend server.

    ``pooled`` judges the server by the attempts of all instances, ``path`` the way
    from this instance to it by its own attempts only.
    """

    server: BackendServer
    pooled: GrayFilter
    path: GrayFilter
    running_by_token: dict[int, _Running] = attrs.Factory(dict)
    remote_by_instance: dict[str, _Remote] = attrs.Factory(dict)
    warm_at_s: float = 0.0

    def load(self, now: float) -> int:
        """Return the requests that run there, as far as known."""
        remote = sum(
            each.count
            for each in self.remote_by_instance.values()
            if now - each.heard_s < REPORT_LIFETIME_S
        )
        return len(self.running_by_token) + remote


@attrs.frozen
class Observation:
    """How one attempt ended; ``latency_s`` is None for a failure."""

    server: tuple[str, int]
    route: str
    latency_s: float | None


class Balancer:
    """Pick servers and learn from attempts, own and reported."""

    def __init__(self, failure_domain: str, random: Random) -> None:
        self._failure_domain = failure_domain
        self._random = random
        self._records_by_key: dict[tuple[str, int], ServerRecord] = {}
        self._by_service: dict[str, list[ServerRecord]] = {}
        self._latencies_by_route: dict[tuple[str, str], Latencies] = {}
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
                record = ServerRecord(
                    server,
                    pooled=GrayFilter(now),
                    path=GrayFilter(now, PATH_BROKEN_SHARE),
                )
                record.warm_at_s = now + server.warmup_s
                self._records_by_key[key] = record
            record.server = server
            self._by_service.setdefault(server.service, []).append(record)

    def choose(
        self,
        service: str,
        now: float,
        *,
        exclude: frozenset[str] = frozenset(),
        connected: frozenset[str] = frozenset(),
    ) -> BackendServer | None:
        """Return the best server of ``service``; None when all are full or gone.

        ``connected`` names the servers to which a connection is ready.
        """
        best, best_cost = None, float("inf")
        for record in self._by_service.get(service, ()):
            server = record.server
            if server.draining or server.id in exclude:
                continue
            cost = self._cost(record, now)
            if server.id not in connected:
                cost += NEW_CONNECTION_PENALTY
            if cost < best_cost:
                best, best_cost = server, cost
        return best

    def gray_probability(self, server: BackendServer, now: float) -> float:
        """Return how likely ``server`` is gray, or the path to it broken."""
        record = self._records_by_key.get(server.key)
        return 1.0 if record is None else self._gray(record, now)

    def latencies(self, service: str, route: Route) -> Latencies:
        """Return the latencies of ``route`` at ``service``."""
        key = (service, route.name)
        known = self._latencies_by_route.get(key)
        if known is None:
            known = Latencies.assume(route.objective_s)
            self._latencies_by_route[key] = known
        return known

    def began(self, server: BackendServer, route: Route, now: float) -> int:
        """Note that a request was sent; return a token for :meth:`ended`."""
        self._next_token += 1
        record = self._records_by_key.get(server.key)
        if record is not None:
            running = _Running(now, route.name, route.objective_s)
            record.running_by_token[self._next_token] = running
        return self._next_token

    def ended(
        self,
        server: BackendServer,
        route: Route,
        token: int,
        *,
        failed: bool | None,
        now: float,
    ) -> None:
        """Learn from an attempt; ``failed`` None tells nothing of the server."""
        record = self._records_by_key.get(server.key)
        running = record.running_by_token.pop(token, None) if record else None
        if record is None or running is None or failed is None:
            return
        latency_s = None if failed else now - running.began_s
        self._learn(record, route.name, latency_s, now, own=True)
        self.observations.append(Observation(server.key, route.name, latency_s))

    def unreachable(self, server: BackendServer, now: float) -> None:
        """Learn that no connection could be had; others may still reach it."""
        record = self._records_by_key.get(server.key)
        if record is not None:
            record.path.failed(now)

    def reported(self, observation: Observation, now: float) -> None:
        """Learn from an attempt of another instance."""
        record = self._records_by_key.get(observation.server)
        if record is not None:
            self._learn(
                record, observation.route, observation.latency_s, now, own=False
            )

    def reported_running(
        self, instance: str, counts_by_server: dict[tuple[str, int], int], now: float
    ) -> None:
        """Take the running requests of another instance, all of them."""
        for key, record in self._records_by_key.items():
            count = counts_by_server.get(key, 0)
            if count:
                record.remote_by_instance[instance] = _Remote(count, now)
            else:
                record.remote_by_instance.pop(instance, None)

    def running(self) -> dict[tuple[str, int], int]:
        """Return the own running requests by server."""
        return {
            key: len(record.running_by_token)
            for key, record in self._records_by_key.items()
            if record.running_by_token
        }

    def _learn(
        self,
        record: ServerRecord,
        route: str,
        latency_s: float | None,
        now: float,
        *,
        own: bool,
    ) -> None:
        filters = (record.pooled, record.path) if own else (record.pooled,)
        if latency_s is None:
            for each in filters:
                each.failed(now)
            return
        known = self._latencies_by_route.get((record.server.service, route))
        slow = False
        if known is not None:
            slow = known.survival(latency_s) < SLOW_SURVIVAL
            known.add(latency_s)
        for each in filters:
            each.succeeded(now, slow=slow)

    def _gray(self, record: ServerRecord, now: float) -> float:
        known = max(record.pooled.probability(now), record.path.probability(now))
        return with_unanswered(known, self._survivals(record, now))

    def _survivals(self, record: ServerRecord, now: float) -> list[float]:
        survivals = []
        for running in record.running_by_token.values():
            known = self._latencies_by_route.get((record.server.service, running.route))
            if known is not None:
                survivals.append(known.survival(now - running.began_s))
        return survivals

    def _cost(self, record: ServerRecord, now: float) -> float:
        server = record.server
        load = (record.load(now) + 1) / server.slots
        if load > QUEUE_SHARE + 1.0 / server.slots:
            return float("inf")
        cost = self._gray(record, now) * FAILS_WHEN_GRAY + LOAD_WEIGHT * load
        cost += FULL_WEIGHT * max(load - 1.0, 0.0)
        cost += TIE_BREAK * self._random.random()
        if server.failure_domain != self._failure_domain:
            cost += FAR_PENALTY
        if now < record.warm_at_s:
            cost += COLD_PENALTY
        return cost
