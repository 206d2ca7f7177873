"""A paused clock with a heap of timers, for runs with many of them."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from itertools import count

import attrs


@attrs.define(eq=False)
class Timer:
    """One call that may be cancelled."""

    at: float
    call: Callable[[], object] | None

    def cancel(self) -> None:
        """Forget the call."""
        self.call = None


class Timeline:
    """Advance time from timer to timer; has the clock's interface."""

    def __init__(self) -> None:
        self._now = 0.0
        self._timers: list[tuple[float, int, Timer]] = []
        self._order = count()

    def seconds(self) -> float:
        """Return the time of the run in seconds."""
        return self._now

    def callLater(  # noqa: N802
        self, delay: float, function: Callable[..., object], /, *args: object
    ) -> Timer:
        """Call ``function`` after ``delay`` seconds."""
        timer = Timer(self._now + delay, lambda: function(*args))
        heapq.heappush(self._timers, (timer.at, next(self._order), timer))
        return timer

    def run_until(self, end: float) -> None:
        """Call every timer up to ``end`` in order."""
        while self._timers and self._timers[0][0] <= end:
            at, _, timer = heapq.heappop(self._timers)
            self._now = at
            if timer.call is not None:
                timer.call()
        self._now = end
