"""Get a token of the workspace's rate for one request."""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Any

import attrs

from gentianhitch.callers.refusals import Cause
from gentianhitch.callers.refusals import Refusal
from gentianhitch.decisions.interfaces import Limiter
from gentianhitch.decisions.interfaces import Verdict

WAIT_STEP_S = 0.01


@attrs.define
class TokenWait:
    """Ask the limiter until it admits or refuses."""

    _limiter: Limiter
    _clock: Any
    _workspace: str | None
    _admitted: Callable[[], None]
    _refused: Callable[[Refusal], None]
    _call: Any = None

    def take(self) -> None:
        """Take a token, now or after a wait."""
        self._call = None
        if self._workspace is None:
            self._admitted()
            return
        now = self._clock.seconds()
        verdict = self._limiter.take(self._workspace, now)
        if verdict is Verdict.ADMITTED:
            self._admitted()
        elif verdict is Verdict.WAIT:
            self._call = self._clock.callLater(WAIT_STEP_S, self.take)
        else:
            retry_after_s = self._limiter.retry_after_s(self._workspace, now)
            after_s = max(1, math.ceil(retry_after_s))
            self._refused(Refusal(Cause.OVER_RATE, retry_after_s=after_s))

    def cancel(self) -> None:
        """Wait no longer."""
        if self._call is not None and self._call.active():
            self._call.cancel()
