"""Count, time and log what one instance does, and render its metrics."""

from __future__ import annotations

from collections.abc import Callable

from gentianhitch.callers.connection_ends import EndedConnection
from gentianhitch.event_loop import LoopLag
from gentianhitch.metrics import Metrics
from gentianhitch.proxy.events import Events
from gentianhitch.proxy.metrics_text import render_metrics
from gentianhitch.proxy.own_link import LinkBelief

LAG_LOGGED_S = 0.2
"""The round trip that a close may cross; beyond it, callers see the lag."""


class InstanceMonitor:
    """Holds the metrics of one instance; ``read_gauges`` returns the current gauges."""

    def __init__(
        self,
        metrics: Metrics,
        events: Events,
        lag: LoopLag,
        read_gauges: Callable[[], dict[str, float]],
    ) -> None:
        self._metrics = metrics
        self._events = events
        self._lag = lag
        self._read_gauges = read_gauges

    def render(self) -> bytes:
        """Return the metrics as text."""
        gauges = {
            **self._read_gauges(),
            "event_loop_lag_seconds": self._lag.longest_s,
            "log_lines_dropped": self._events.output.dropped,
        }
        return render_metrics(self._metrics, gauges).encode()

    def record_lag(self) -> None:
        """Record the longest lag of the event loop since the last call."""
        lag_s = self._lag.end_span()
        self._metrics.time("event_loop_lag", None, lag_s)
        if lag_s > LAG_LOGGED_S:
            self._events.state("loop_lagged", lag_ms=round(lag_s * 1000))

    def record_finished(self, outcome: str, workspace: str, elapsed_s: float) -> None:
        """Record a request that was answered or whose caller has left."""
        self._metrics.count(f"requests.{outcome}")
        self._metrics.time("total", workspace, elapsed_s)

    def record_belief(self, belief: LinkBelief) -> None:
        """Record what the instance believes of its own link from now on."""
        is_suspected = belief.is_suspected
        self._events.state(
            "own_link_suspected" if is_suspected else "own_link_trusted",
            timed_out=belief.timed_out,
            answered=belief.answered,
            failure_domains=belief.failure_domains,
        )

    def record_end(self, end: EndedConnection) -> None:
        """Record the end of a caller's connection and what it left undelivered."""
        self._metrics.count(f"caller_connections_ended.{end.reason.value}")
        for request_id in end.undelivered_requests:
            self._events.request(
                "not_delivered",
                request_id,
                reason=end.reason.value,
                undelivered_bytes=end.undelivered_bytes,
                detail=end.detail,
            )
