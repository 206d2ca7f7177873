"""The runtime's clock for decisions: monotonic, and counting suspended time."""

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
    """Delegate timers to a reactor and read CLOCK_BOOTTIME.

    The reactor's own ``seconds`` is the wall clock, which steps; CLOCK_MONOTONIC
    stands still while the machine is suspended, which would hide a pause.
    """

    _reactor: Any

    def seconds(self) -> float:
        """Return seconds since the machine started, suspension included."""
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
        """Return the timers that have not fired."""
        return self._reactor.getDelayedCalls()
