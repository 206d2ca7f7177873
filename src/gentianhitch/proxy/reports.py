"""Exchange results of attempts and admissions with the other serving instances."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from collections.abc import Iterable
from typing import Any

from twisted.python.failure import Failure

from gentianhitch.instances.datagrams import AttemptSample
from gentianhitch.instances.datagrams import Datagrams
from gentianhitch.instances.datagrams import LoadReport
from gentianhitch.instances.datagrams import RunningRequests
from gentianhitch.proxy.admission_windows import WorkspaceTotal
from gentianhitch.proxy.balancing import Balancer
from gentianhitch.proxy.balancing import Observation
from gentianhitch.proxy.balancing import RunningRequest
from gentianhitch.proxy.clock_offsets import ClockOffsets
from gentianhitch.proxy.model import Peer
from gentianhitch.proxy.quotas import AdmissionReport
from gentianhitch.proxy.quotas import Quotas
from gentianhitch.repeating import Repeating

REPORT_INTERVAL_S = 0.2
"""A fifth of the report timeout, after which an instance counts as unreachable."""

BUSY_WINDOW_S = 2.0
MAX_RECEIPT_TIMES = 16
"""Receipt times stored per sender; more than its reports in ``BUSY_WINDOW_S``."""

MIN_BUSY_REPORTS = 5
"""Only an instance that serves callers sends so many reports in ``BUSY_WINDOW_S``."""


class Reports:
    """Send reports to the serving instances and merge those received."""

    def __init__(
        self,
        clock: Any,
        name: str,
        incarnation: int,
        datagrams: Datagrams,
        balancer: Balancer,
        quotas: Quotas,
        receivers: Callable[[], Iterable[Peer]],
        on_error: Callable[[Failure], None],
    ) -> None:
        self._clock = clock
        self._name = name
        self._incarnation = incarnation
        self._datagrams = datagrams
        self._balancer = balancer
        self._quotas = quotas
        self._receivers = receivers
        self._receipt_times_by_name: dict[str, deque[float]] = {}
        self._offsets = ClockOffsets()
        self._loop = Repeating(clock, REPORT_INTERVAL_S, self._send, on_error)

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

    def _send(self) -> None:
        now = self._clock.seconds()
        observations, self._balancer.observations = self._balancer.observations, []
        admissions = self._quotas.report(now)
        receivers = [peer for peer in self._receivers() if peer.name != self._name]
        # Others expect regular reports only from the instances in the directory.
        if not (observations or self._name in self._quotas.sharers):
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
        )
        for peer in receivers:
            self._datagrams.send(report, peer.datagram_address)

    def receive(self, report: LoadReport) -> None:
        """Merge the report of another instance."""
        now = self._clock.seconds()
        times = self._receipt_times_by_name.setdefault(
            report.sender, deque(maxlen=MAX_RECEIPT_TIMES)
        )
        times.append(now)
        # A report may have waited in the socket while this process was suspended.
        sent_s = self._offsets.to_local_time(
            report.sender, report.incarnation, report.sent_s, now
        )
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
            _decode_running(report.running, sent_s),
            sent_s,
        )
        for seen in report.samples:
            self._balancer.merge_observation(_decode(seen), now)


def _encode(observation: Observation) -> AttemptSample:
    return AttemptSample(
        observation.server[0],
        observation.server[1],
        observation.route,
        int(observation.latency_s * 1000),
        observation.result,
    )


def _decode(seen: AttemptSample) -> Observation:
    return Observation(
        (seen.server, seen.started_ms),
        seen.route,
        seen.latency_ms / 1000,
        seen.result,
    )


def _encode_running(
    running: dict[tuple[str, int], list[RunningRequest]], now: float
) -> list[RunningRequests]:
    encoded: dict[tuple[str, int, str], list[int]] = {}
    for (server, started_ms), requests in running.items():
        for request in requests:
            ages_ms = encoded.setdefault((server, started_ms, request.route), [])
            ages_ms.append(int((now - request.started_s) * 1000))
    return [RunningRequests(*key, ages_ms) for key, ages_ms in encoded.items()]


def _decode_running(
    running: list[RunningRequests], now: float
) -> dict[tuple[str, int], tuple[RunningRequest, ...]]:
    decoded: dict[tuple[str, int], tuple[RunningRequest, ...]] = {}
    for entry in running:
        key = (entry.server, entry.started_ms)
        decoded[key] = decoded.get(key, ()) + tuple(
            RunningRequest(entry.route, now - age_ms / 1000) for age_ms in entry.ages_ms
        )
    return decoded
