"""Exchange results of attempts and admissions with the other serving instances."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from collections.abc import Iterable
from typing import Any

import msgspec
from twisted.python.failure import Failure

from gentianhitch.instances.datagrams import AGE_STEP_S
from gentianhitch.instances.datagrams import AttemptSample
from gentianhitch.instances.datagrams import Datagrams
from gentianhitch.instances.datagrams import LoadReport
from gentianhitch.instances.datagrams import RunningRequests
from gentianhitch.proxy.admission_windows import WorkspaceTotal
from gentianhitch.proxy.balancing import Balancer
from gentianhitch.proxy.clock_offsets import ClockOffsets
from gentianhitch.proxy.digests import route_digest
from gentianhitch.proxy.digests import server_digest
from gentianhitch.proxy.full_instances import FullInstances
from gentianhitch.proxy.model import Peer
from gentianhitch.proxy.own_limits import FULL_PERCENT
from gentianhitch.proxy.quotas import REPORT_TIMEOUT_S
from gentianhitch.proxy.quotas import AdmissionReport
from gentianhitch.proxy.quotas import Quotas
from gentianhitch.proxy.report_routes import ReportRoutes
from gentianhitch.proxy.server_evidence import MAX_MERGED_DECLINES
from gentianhitch.proxy.server_records import Observation
from gentianhitch.proxy.server_records import RunningRequest
from gentianhitch.repeating import Repeating

MIN_REPORT_INTERVAL_S = 0.1
"""A tenth of the report timeout, after which an instance counts as unreachable."""

MAX_REPORT_INTERVAL_S = 0.4
MAX_RECEIVED_PER_S = 125.0
"""Reports from all others that one instance handles without much processor time."""

BUSY_WINDOW_S = 2.0
MAX_RECEIPT_TIMES = 32
"""Receipt times stored per sender; more than its reports in ``BUSY_WINDOW_S``."""

MIN_BUSY_REPORTS = 5
"""Only an instance that serves callers sends so many reports in ``BUSY_WINDOW_S``."""


def report_interval(sharers: int) -> float:
    """Return the seconds between two reports of each of ``sharers`` instances."""
    return min(
        max(sharers / MAX_RECEIVED_PER_S, MIN_REPORT_INTERVAL_S), MAX_REPORT_INTERVAL_S
    )


class Reports:
    """Send reports to the serving instances and merge those received.

    ``on_leaving`` is called with a server and the instance that it told first that it
    leaves. ``fullness`` returns that of this instance in percent.
    """

    def __init__(
        self,
        clock: Any,
        name: str,
        failure_domain: str,
        incarnation: int,
        datagrams: Datagrams,
        balancer: Balancer,
        quotas: Quotas,
        receivers: Callable[[], Iterable[Peer]],
        on_error: Callable[[Failure], None],
        on_leaving: Callable[[str, str], None] = lambda server, sender: None,
        fullness: Callable[[], int] = lambda: 0,
        full_instances: FullInstances | None = None,
    ) -> None:
        self._clock = clock
        self._name = name
        self._incarnation = incarnation
        self._datagrams = datagrams
        self._balancer = balancer
        self._quotas = quotas
        self._receivers = receivers
        self._on_leaving = on_leaving
        self._fullness = fullness
        self._full_instances = full_instances or FullInstances()
        self._failure_domain = failure_domain
        self._routes = ReportRoutes(name, failure_domain)
        self._receipt_times_by_name: dict[str, deque[float]] = {}
        self._offsets = ClockOffsets()
        self._sent_s = float("-inf")
        self._loop = Repeating(clock, MIN_REPORT_INTERVAL_S, self._tick, on_error)

    def start(self) -> None:
        """Start sending, after one interval."""
        self._loop.start(now=False)

    def stop(self) -> None:
        """Stop sending; reports of others are still merged."""
        self._loop.stop()

    def busy_senders(self) -> frozenset[str]:
        """Return the names of instances with frequent reports in the last 2 s."""
        since = self._clock.seconds() - BUSY_WINDOW_S
        for times in self._receipt_times_by_name.values():
            while times and times[0] < since:
                times.popleft()
        return frozenset(
            name
            for name, times in self._receipt_times_by_name.items()
            if len(times) >= MIN_BUSY_REPORTS
        )

    def _tick(self) -> None:
        now = self._clock.seconds()
        interval_s = report_interval(len(self._quotas.sharers))
        # Timers fire at multiples of the least interval.
        if now - self._sent_s >= interval_s - MIN_REPORT_INTERVAL_S / 2:
            self._sent_s = now
            self._send(now)

    def _send(self, now: float) -> None:
        observations, self._balancer.observations = self._balancer.observations, []
        declined = self._balancer.declined_by_server
        self._balancer.declined_by_server = {}
        admissions = self._quotas.report(now)
        fullness = self._fullness()
        is_full = fullness >= FULL_PERCENT
        # Others expect regular reports only from the instances in the directory.
        leaving = self._balancer.notices.leaving_to_report(now)
        has_news = observations or declined or leaving or is_full
        if not (has_news or self._name in self._quotas.sharers):
            return
        report = LoadReport(
            self._name,
            self._incarnation,
            now,
            admissions.is_complete,
            {
                name: (total.count, total.before_window, total.window_count)
                for name, total in admissions.totals_by_workspace.items()
            },
            _encode_running(self._balancer.running_by_server(), now),
            [_encode(observation) for observation in observations],
            leaving=[server_digest(key) for key in leaving],
            declined_by_server={
                server_digest(key): running[:MAX_MERGED_DECLINES]
                for key, running in declined.items()
            },
            fullness=fullness,
        )
        targets = self._routes.select(self._receivers(), self._heard_senders(now))
        self._datagrams.send(
            report, *(peer.datagram_address for peer in targets.direct)
        )
        if targets.forwarding:
            to_forward = msgspec.structs.replace(report, is_to_forward=True)
            self._datagrams.send(
                to_forward, *(peer.datagram_address for peer in targets.forwarding)
            )

    def _heard_senders(self, now: float) -> frozenset[str]:
        return frozenset(
            name
            for name, times in self._receipt_times_by_name.items()
            if times and now - times[-1] <= REPORT_TIMEOUT_S
        )

    def _forward(self, report: LoadReport) -> None:
        """Send another domain's report on within the own failure domain."""
        receivers = [
            peer.datagram_address
            for peer in self._receivers()
            if peer.failure_domain == self._failure_domain and peer.name != self._name
        ]
        final = msgspec.structs.replace(report, is_to_forward=False)
        self._datagrams.send(final, *receivers)

    def receive(self, report: LoadReport) -> None:
        """Merge the report of another instance, and forward it if it says so."""
        if report.is_to_forward:
            self._forward(report)
        now = self._clock.seconds()
        times = self._receipt_times_by_name.setdefault(
            report.sender, deque(maxlen=MAX_RECEIPT_TIMES)
        )
        times.append(now)
        # A report may have waited in the socket while this process was suspended.
        sent_s = self._offsets.to_local_time(
            report.sender, report.incarnation, report.sent_s, now
        )
        self._full_instances.record_report(report.sender, report.fullness, sent_s)
        totals = {
            name: WorkspaceTotal(*counts)
            for name, counts in report.totals_by_workspace.items()
        }
        admissions = AdmissionReport(totals, report.is_complete)
        self._quotas.merge_report(
            report.sender, report.incarnation, admissions, sent_s, now
        )
        self._balancer.merge_running(
            report.sender,
            self._decode_running(report.running, sent_s),
            sent_s,
        )
        self._merge_leaving(report, now)
        for seen in report.samples:
            observation = self._decode(seen)
            if observation is not None:
                self._balancer.merge_observation(observation, now)
        for digest, running_before in report.declined_by_server.items():
            key = self._balancer.server_key(digest)
            if key is not None:
                self._balancer.merge_declined(key, running_before, now)

    def _merge_leaving(self, report: LoadReport, now: float) -> None:
        notices = self._balancer.notices
        for digest in report.leaving:
            key = self._balancer.server_key(digest)
            if key is not None and notices.record_leaving(key, now, own=False):
                self._on_leaving(key[0], report.sender)

    def _decode(self, seen: AttemptSample) -> Observation | None:
        """Return the observation; None for an unknown server or route."""
        server = self._balancer.server_key(seen.server)
        route = self._balancer.route_name(seen.route)
        if server is None or route is None:
            return None
        return Observation(server, route, seen.latency_ms / 1000, seen.result)

    def _decode_running(
        self, running: list[RunningRequests], now: float
    ) -> dict[tuple[str, int], tuple[RunningRequest, ...]]:
        decoded: dict[tuple[str, int], tuple[RunningRequest, ...]] = {}
        for entry in running:
            key = self._balancer.server_key(entry.server)
            route = self._balancer.route_name(entry.route)
            if key is not None and route is not None:
                decoded[key] = decoded.get(key, ()) + tuple(
                    RunningRequest(route, now - age * AGE_STEP_S) for age in entry.ages
                )
        return decoded


def _encode(observation: Observation) -> AttemptSample:
    return AttemptSample(
        server_digest(observation.server),
        route_digest(observation.route),
        int(observation.latency_s * 1000),
        observation.result,
    )


def _encode_running(
    running: dict[tuple[str, int], list[RunningRequest]], now: float
) -> list[RunningRequests]:
    encoded: dict[tuple[int, int], list[int]] = {}
    for key, requests in running.items():
        for request in requests:
            ages = encoded.setdefault(
                (server_digest(key), route_digest(request.route)), []
            )
            ages.append(int((now - request.started_s) / AGE_STEP_S))
    return [RunningRequests(*digests, ages) for digests, ages in encoded.items()]
