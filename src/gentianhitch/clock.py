"""Monotonic clock that includes the time during which the machine is suspended."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any

import attrs
from twisted.internet.interfaces import IDelayedCall
from twisted.internet.interfaces import IReactorTime
from zope.interface import implementer


@implementer(IReactorTime)
@attrs.define(eq=False)
class MonotonicClock:
    """Read the time from CLOCK_BOOTTIME and delegate timers to a reactor.

    The reactor's own ``seconds`` is the wall clock, which can be set back or forward.
    CLOCK_MONOTONIC does not advance while the machine is suspended, so it would hide
    a pause.
    """

    _reactor: Any

    def seconds(self) -> float:
        """Return seconds since boot, including suspended time."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def callLater(  # noqa: N802
        self,
        delay: float,
        callable: Callable[..., object],
        *args: object,
        **kwargs: object,
    ) -> IDelayedCall:
        """Call ``callable`` after ``delay`` seconds."""
        call: IDelayedCall = self._reactor.callLater(delay, callable, *args, **kwargs)
        return call

    def getDelayedCalls(self) -> Any:  # noqa: N802
        """Return the reactor's pending timers."""
        return self._reactor.getDelayedCalls()
