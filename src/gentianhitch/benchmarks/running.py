"""Run a measurement in this process's reactor."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Coroutine
from typing import Any
from typing import TypeVar

from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

T = TypeVar("T")


def run_in_reactor(measure: Callable[[Any], Coroutine[Any, Any, T]]) -> T:
    """Start the reactor, return what ``measure`` returns, and stop."""
    from twisted.internet import reactor

    results: list[Any] = []

    def stop(result: Any) -> None:
        results.append(result)
        reactor.stop()  # type: ignore[attr-defined]

    def begin() -> None:
        Deferred.fromCoroutine(measure(reactor)).addBoth(stop)

    reactor.callWhenRunning(begin)  # type: ignore[attr-defined]
    reactor.run()  # type: ignore[attr-defined]
    result = results[0]
    if isinstance(result, Failure):
        result.raiseException()
    answer: T = result
    return answer
