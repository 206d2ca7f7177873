"""Learn from the attempts of all instances which backend servers are gray."""

from __future__ import annotations

from collections.abc import Mapping

from gentianhitch.proxy.declines import BELIEVED_PROBABILITY
from gentianhitch.proxy.declines import DISBELIEVED_PROBABILITY
from gentianhitch.proxy.floor import RecentFailures
from gentianhitch.proxy.gray_filter import GrayFilter
from gentianhitch.proxy.gray_filter import PendingRequest
from gentianhitch.proxy.latencies import LatencyEstimate
from gentianhitch.proxy.model import BackendServer
from gentianhitch.proxy.model import Route
from gentianhitch.proxy.server_records import FAILURES
from gentianhitch.proxy.server_records import AttemptResult
from gentianhitch.proxy.server_records import Observation
from gentianhitch.proxy.server_records import RunningRequest
from gentianhitch.proxy.server_records import ServerRecord
from gentianhitch.proxy.server_table import ServerTable

MAX_MERGED_DECLINES = 16
"""More declines of one server in one report don't change what is believed."""

NOT_EXECUTED = frozenset({AttemptResult.DECLINED, AttemptResult.REJECTED})
EXECUTED = frozenset({AttemptResult.GOOD, AttemptResult.ERROR})
"""A failed or cancelled attempt doesn't show whether the server accepted it."""

SLOW_SURVIVAL = 0.03
"""A response slower than all but this share of responses counts as slow."""

PATH = ""
"""Stands for all routes in a filter that judges a network path."""


class ServerEvidence(ServerTable):
    """The evidence of own attempts and those of other instances.

    ``observations`` holds the results of own attempts that are yet to be reported, and
    ``declined_by_server`` the own attempts that were declined: for each, the number of
    other requests that ran at the server when it was sent.
    """

    def __init__(self, name: str) -> None:
        super().__init__(name)
        self._failures_by_service: dict[str, RecentFailures] = {}
        self._latencies_by_route: dict[tuple[str, str], LatencyEstimate] = {}
        self._next_token = 0
        self.observations: list[Observation] = []
        self.declined_by_server: dict[tuple[str, int], list[int]] = {}

    def set_routes(self, routes: frozenset[str]) -> None:
        """Drop the latencies and filters of all other routes."""
        super().set_routes(routes)
        for key in tuple(self._latencies_by_route):
            if key[1] not in routes:
                del self._latencies_by_route[key]
        for record in self._records_by_key.values():
            record.gray_filter.retain_routes(routes)

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
            running = RunningRequest(route.name, now, record.count_running(now))
            record.running_by_token[self._next_token] = running
            record.last_used_s = now
            if server.service in self._warmup_limits:
                record.sends.record_send(now)
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
        if result in NOT_EXECUTED:
            self._count_result(server.service, now, failed=True)
            if result is AttemptResult.DECLINED:
                running_before = running.running_before
                record.declines.record_decline(running_before, server.slots, now)
                self.declined_by_server.setdefault(server.key, []).append(
                    running_before
                )
            return
        latency_s = now - running.started_s
        observation = Observation(server.key, route.name, latency_s, result)
        self._record_result(record, observation, now, own=True)
        self.observations.append(observation)

    def record_unreachable(self, server: BackendServer, now: float) -> None:
        """Record a failed connect; other instances may still reach the server."""
        record = self._records_by_key.get(server.key)
        if record is not None:
            record.path_filter.record_failure(PATH, now)

    def merge_observation(self, observation: Observation, now: float) -> None:
        """Record the result of another instance's attempt that was executed or lost."""
        record = self._records_by_key.get(observation.server)
        if record is not None and observation.result not in NOT_EXECUTED:
            started_s = now - observation.latency_s
            record.last_used_s = max(record.last_used_s, started_s)
            self._record_result(record, observation, now, own=False)

    def merge_declined(
        self, server: tuple[str, int], running_before: list[int], now: float
    ) -> None:
        """Record attempts of another instance that a server declined.

        ``running_before`` has for each attempt the number of other requests there.
        """
        record = self._records_by_key.get(server)
        if record is not None and running_before:
            record.last_used_s = max(record.last_used_s, now)
            for running in running_before[:MAX_MERGED_DECLINES]:
                record.declines.record_decline(running, record.server.slots, now)

    def decline_probability(self, server: BackendServer, now: float) -> float:
        """Return the probability that ``server`` declines the next request."""
        record = self._records_by_key.get(server.key)
        return 1.0 if record is None else record.declines.probability(now)

    def declining_by_service(
        self, before: Mapping[str, frozenset[str]], now: float
    ) -> dict[str, frozenset[str]]:
        """Return the ids of the servers that are believed to decline, by service.

        ``before`` is the previous result: a belief ends at a lower probability than it
        begins.
        """
        declining: dict[str, frozenset[str]] = {}
        for service, records in self._by_service.items():
            believed = before.get(service, frozenset())
            ids = frozenset(
                record.server.id
                for record in records
                if record.declines.probability(now)
                > (
                    DISBELIEVED_PROBABILITY
                    if record.server.id in believed
                    else BELIEVED_PROBABILITY
                )
            )
            if ids:
                declining[service] = ids
        return declining

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
        if result in EXECUTED:
            record.declines.record_accepted(latency_s, now)
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
