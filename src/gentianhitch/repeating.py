"""Periodic calls that continue after an exception."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet.task import LoopingCall
from twisted.python.failure import Failure


class Repeating:
    """Call ``call`` every ``interval_s`` seconds between start and stop.

    Exceptions from ``call`` are passed to ``on_error`` and do not end the loop.
    """

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
        """Start the loop; ``now`` makes the first call immediately.

        Without ``now`` it is made after one interval.
        """
        if not self._loop.running:
            self._loop.start(self._interval_s, now=now)

    def stop(self) -> None:
        """Stop the loop; has no effect if it is not running."""
        if self._loop.running:
            self._loop.stop()

    def _run(self) -> None:
        try:
            self._call()
        except Exception:
            self._on_error(Failure())
