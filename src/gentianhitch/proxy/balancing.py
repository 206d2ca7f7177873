"""Choose a backend server for each attempt by the attempts of all instances."""

from __future__ import annotations

from collections import Counter
from random import Random

from gentianhitch.proxy.attempt_cost import MAX_IDLE_BONUS_PROBABILITY
from gentianhitch.proxy.attempt_cost import REMOTE_DOMAIN_PENALTY
from gentianhitch.proxy.attempt_cost import attempt_cost
from gentianhitch.proxy.attempt_cost import max_queue_factor
from gentianhitch.proxy.competition import Competition
from gentianhitch.proxy.declines import RETRIED_DECLINE_COST
from gentianhitch.proxy.floor import FLOOR_WINDOW_S
from gentianhitch.proxy.floor import MAX_UNUSED_S
from gentianhitch.proxy.floor import ServerUse
from gentianhitch.proxy.floor import ServiceUse
from gentianhitch.proxy.floor import is_below_floor
from gentianhitch.proxy.model import BackendServer
from gentianhitch.proxy.model import Route
from gentianhitch.proxy.server_evidence import PATH
from gentianhitch.proxy.server_evidence import ServerEvidence
from gentianhitch.proxy.server_records import ServerRecord
from gentianhitch.proxy.spill import MAX_PENALTY
from gentianhitch.proxy.spill import DomainLoads

MAX_TRIED_PROBABILITY = 0.4
"""A server that is more likely to be gray is tried only while the floor binds."""

MAX_TRIED_DECLINE_LOSS = 0.2
"""Expected loss by a decline up to which a server that nobody used is tried.

A belief at its highest falls below it 1.9 s after the last decline even for requests
that have no other attempt: within the window of the floor.
"""

DEFAULT_FLOOR_SHARE = 0.7
"""Share of sound servers that stay in use, for deployments that agree on none."""


class Balancer(ServerEvidence):
    """Choose servers by the results of own attempts and those of other instances."""

    def __init__(
        self,
        name: str,
        failure_domain: str,
        random: Random,
        floor_share: float = DEFAULT_FLOOR_SHARE,
        competition: Competition | None = None,
    ) -> None:
        super().__init__(name)
        self._failure_domain = failure_domain
        self._random = random
        self.floor_share = floor_share
        self._competition = competition or Competition()
        self._loads_by_service: dict[str, DomainLoads] = {}

    def choose(
        self,
        service: str,
        route: Route,
        now: float,
        *,
        priority: int = 0,
        exclude: frozenset[str] = frozenset(),
        connected: frozenset[str] = frozenset(),
        decline_cost: float = RETRIED_DECLINE_COST,
    ) -> BackendServer | None:
        """Return the server of least cost for ``route``; None if there is no candidate.

        ``connected`` names the servers to which a connection is idle. Requests of lower
        priority (a higher number) have a lower limit of concurrent requests.
        ``decline_cost`` is what a decline costs this attempt.
        """
        max_queue = max_queue_factor(priority)
        usable = [
            (record, gray)
            for record, gray in self._usable(service, route.name, now)
            if record.server.id not in exclude
        ]
        penalty = self._remote_penalty(service, usable, now)
        best, best_cost = None, float("inf")
        unused = self._unused(service, usable, now, decline_cost)
        for candidates in (unused, usable):
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
                    decline=decline_cost * record.declines.probability(now),
                )
                if server.failure_domain != self._failure_domain:
                    cost += penalty - REMOTE_DOMAIN_PENALTY
                if cost < best_cost:
                    best, best_cost = record, cost
            if best is not None:
                break
        if best is None:
            return None
        # Nothing else waits for the same unused server while a connection is opened.
        best.last_used_s = max(best.last_used_s, now)
        if self.is_cold(best, now):
            best.sends.record_choice(now)
        return best.server

    def spilling_services(self) -> frozenset[str]:
        """Return the services whose requests may leave this failure domain easily."""
        return frozenset(
            service
            for service, loads in self._loads_by_service.items()
            if loads.penalty(self._failure_domain) < MAX_PENALTY
        )

    def _remote_penalty(
        self, service: str, usable: list[tuple[ServerRecord, float]], now: float
    ) -> float:
        """Return the cost of a server of another failure domain."""
        has_sound_local = any(
            max(gray, record.declines.probability(now)) < MAX_IDLE_BONUS_PROBABILITY
            and record.server.failure_domain == self._failure_domain
            for record, gray in usable
        )
        if not has_sound_local or not self._competition.competes(service):
            return REMOTE_DOMAIN_PENALTY
        loads = self._loads_by_service.setdefault(service, DomainLoads())
        if loads.is_due(now):
            loads.update(_loads_by_domain([record for record, _ in usable], now), now)
        return loads.penalty(self._failure_domain)

    def _unused(
        self,
        service: str,
        usable: list[tuple[ServerRecord, float]],
        now: float,
        decline_cost: float,
    ) -> list[tuple[ServerRecord, float]]:
        """Return the servers to try first, with their gray probabilities.

        These are probably sound, and nobody used them of late; while the floor binds,
        also those that are probably gray. A server that probably declines is left to
        the attempts that others may follow.
        """
        failures = self._failures_by_service.get(service)
        is_binding = failures is not None and failures.bind_floor(now)
        tries_all = is_binding and is_below_floor(
            _uses(usable, now), self.floor_share, now
        )
        max_gray = 1.0 if tries_all else MAX_TRIED_PROBABILITY
        return [
            (record, gray)
            for record, gray in usable
            if gray <= max_gray
            and now - record.last_failed_s > FLOOR_WINDOW_S
            and now - record.last_used_s > MAX_UNUSED_S + record.turn_s
            and min(decline_cost, 1.0) * record.declines.probability(now)
            <= MAX_TRIED_DECLINE_LOSS
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
            and not self.is_evacuated(record.server)
            and not self._warmup_wait_s(record, now)
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
                    is_below_floor(_uses(usable, now), self.floor_share, now),
                    failures.bind_floor(now),
                )
        return use_by_service


def _loads_by_domain(records: list[ServerRecord], now: float) -> dict[str, float]:
    """Return the running requests per slot of each failure domain."""
    running: Counter[str] = Counter()
    slots: Counter[str] = Counter()
    for record in records:
        domain = record.server.failure_domain
        running[domain] += len(record.running_by_token)
        running[domain] += len(record.remote_requests(now))
        slots[domain] += record.server.slots
    return {domain: running[domain] / max(slots[domain], 1) for domain in slots}


def _uses(usable: list[tuple[ServerRecord, float]], now: float) -> list[ServerUse]:
    return [
        ServerUse(
            record.last_used_s,
            record.last_failed_s,
            1.0 - (1.0 - gray) * (1.0 - record.declines.probability(now)),
        )
        for record, gray in usable
    ]
