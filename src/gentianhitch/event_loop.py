"""The event loop of an instance: after a lag, it reads before it runs timers."""

from __future__ import annotations

import math
import sys
from collections import deque
from typing import Any

import attrs
from twisted.internet.epollreactor import EPollReactor
from twisted.internet.main import installReactor
from twisted.python import log

LAG_SPANS = 10
"""Spans of which the longest lag is kept."""

LATE_S = 0.05
"""After a longer lag, what has arrived is read before the timers run."""

MAX_READ_ROUNDS = 32
"""Polls in a row before late timers run."""

MAX_READ_S = 0.1
"""Time after which no further such poll begins."""


@attrs.define
class LoopLag:
    """How long bytes and timers waited for the event loop; the longest of each span."""

    _longest_s: float = 0.0
    _spans_s: deque[float] = attrs.Factory(lambda: deque(maxlen=LAG_SPANS))

    def record(self, lag_s: float) -> None:
        """Record one wait."""
        self._longest_s = max(self._longest_s, lag_s)

    def end_span(self) -> float:
        """Begin the next span; return the longest wait of this one."""
        ended_s, self._longest_s = self._longest_s, 0.0
        self._spans_s.append(ended_s)
        return ended_s

    @property
    def longest_s(self) -> float:
        """Return the longest wait of the last spans and the current one."""
        return max(self._longest_s, *self._spans_s, 0.0)


class EventLoop(EPollReactor):
    """A reactor that records its lag, and whose late timers run after reads.

    A timer mostly decides that something did not arrive in time. After a lag this shows
    only once the sockets have been read.
    """

    def __init__(self) -> None:
        super().__init__()
        self.lag = LoopLag()
        self._polled_s = math.inf

    def doPoll(self, timeout: float | None) -> None:  # noqa: N802
        """Poll the sockets and handle those that are ready."""
        self.lag.record(self._lag_s())
        wait_s = -1 if timeout is None else timeout
        found = self._poller.poll(wait_s, max(len(self._selectables), 1))
        self._polled_s = self.seconds()
        for descriptor, event in found:
            selectable = self._selectables.get(descriptor)
            if selectable is not None:
                log.callWithLogger(
                    selectable, self._doReadOrWrite, selectable, descriptor, event
                )

    doIteration = doPoll  # noqa: N815

    def runUntilCurrent(self) -> None:  # noqa: N802
        """Run the timers that are due; after a lag, read what has arrived first."""
        lag_s = self._lag_s()
        self.lag.record(lag_s)
        if lag_s > LATE_S:
            self._read_arrived()
        super().runUntilCurrent()

    def _read_arrived(self) -> None:
        """Handle the sockets that are ready, without waiting."""
        end_s = self.seconds() + MAX_READ_S
        for _ in range(MAX_READ_ROUNDS):
            self.doPoll(0)
            if self.seconds() > end_s or not self._poller.poll(0, 1):
                return

    def _lag_s(self) -> float:
        """Return for how long bytes or timers may have waited."""
        self._insertNewDelayedCalls()
        now = self.seconds()
        timers = self._pendingTimedCalls
        overdue_s = now - timers[0].time if timers else 0.0
        return max(overdue_s, now - self._polled_s)


def install() -> Any:
    """Install the event loop if no reactor is installed; return the reactor."""
    if "twisted.internet.reactor" not in sys.modules:
        installReactor(EventLoop())
    from twisted.internet import reactor

    return reactor


def lag_of(reactor: Any) -> LoopLag:
    """Return the lag that ``reactor`` records; other reactors record none."""
    return reactor.lag if isinstance(reactor, EventLoop) else LoopLag()
