"""Repeat a call at an interval; an unexpected error is reported, not the end."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet.task import LoopingCall
from twisted.python.failure import Failure


class Repeating:
    """Call ``call`` every ``interval_s`` seconds between start and stop."""

    def __init__(
        self,
        clock: Any,
        interval_s: float,
        call: Callable[[], None],
        on_error: Callable[[Failure], None],
    ) -> None:
        self._interval_s = interval_s
        self._call = call
        self._on_error = on_error
        self._loop = LoopingCall(self._run)
        self._loop.clock = clock

    def start(self, *, now: bool = True) -> None:
        """Begin; the first call comes at once, or after one interval."""
        if not self._loop.running:
            self._loop.start(self._interval_s, now=now)

    def stop(self) -> None:
        """End."""
        if self._loop.running:
            self._loop.stop()

    def _run(self) -> None:
        try:
            self._call()
        except Exception:
            self._on_error(Failure())
