"""Wake a request at its deadline, and earlier when another target may be tried."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import attrs

ATTEMPT_SHARE = 0.5
"""Part of the time after which a silent target is given up."""


@attrs.define
class DeadlineTimer:
    """Call ``attempt_over`` at part of the time, and ``over`` at the end."""

    _clock: Any
    _attempt_over: Callable[[], None] | None
    _over: Callable[[], None] | None
    _call: Any = None

    def start(self, now: float, deadline: float, *, may_retry: bool) -> None:
        """Begin to count."""
        if may_retry:
            first_s = (deadline - now) * ATTEMPT_SHARE
            self._call = self._clock.callLater(first_s, self._part, deadline)
        else:
            self._call = self._clock.callLater(deadline - now, self._end)

    def cancel(self) -> None:
        """Stop counting, and forget whom to call."""
        if self._call is not None and self._call.active():
            self._call.cancel()
        self._attempt_over = self._over = None

    def _part(self, deadline: float) -> None:
        rest_s = deadline - self._clock.seconds()
        if rest_s <= 0:
            # The process was paused, or its loop was late.
            self._end()
            return
        self._call = self._clock.callLater(rest_s, self._end)
        if self._attempt_over is not None:
            self._attempt_over()

    def _end(self) -> None:
        if self._over is not None:
            self._over()
