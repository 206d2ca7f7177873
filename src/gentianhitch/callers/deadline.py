"""Timer for a request's deadline and for the timeout of its first attempt."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import attrs

ATTEMPT_SHARE = 0.5
"""Share of a request's time after which an attempt without a response is retried."""


@attrs.define
class DeadlineTimer:
    """Calls ``on_attempt_timeout`` during a request and ``on_deadline`` at its end.

    Requests that may be retried have an attempt timeout at ATTEMPT_SHARE of the time.
    """

    _clock: Any
    _on_attempt_timeout: Callable[[], None] | None
    _on_deadline: Callable[[], None] | None
    _call: Any = None

    def start(self, now: float, deadline: float, *, may_retry: bool) -> None:
        """Start the timer; ``now`` and ``deadline`` are seconds of the clock."""
        if may_retry:
            attempt_s = (deadline - now) * ATTEMPT_SHARE
            self._call = self._clock.callLater(
                attempt_s, self._attempt_timed_out, deadline
            )
        else:
            self._call = self._clock.callLater(deadline - now, self._deadline_passed)

    def cancel(self) -> None:
        """Stop the timer and drop the callbacks, to break reference cycles."""
        if self._call is not None and self._call.active():
            self._call.cancel()
        self._on_attempt_timeout = self._on_deadline = None

    def _attempt_timed_out(self, deadline: float) -> None:
        remaining_s = deadline - self._clock.seconds()
        if remaining_s <= 0:
            # The process was paused, or its loop was late.
            self._deadline_passed()
            return
        self._call = self._clock.callLater(remaining_s, self._deadline_passed)
        if self._on_attempt_timeout is not None:
            self._on_attempt_timeout()

    def _deadline_passed(self) -> None:
        if self._on_deadline is not None:
            self._on_deadline()
