"""Run the reactor until a Deferred fires."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred
from twisted.python.failure import Failure


def run_until_done(start: Callable[[Any], Deferred[Any]]) -> Any:
    """Call ``start`` with the running reactor; return or raise its result.

    Raise KeyboardInterrupt if the reactor stops before there is a result.
    """
    from twisted.internet import reactor

    results: list[Any] = []

    def stop(result: Any) -> None:
        results.append(result)
        reactor.stop()  # type: ignore[attr-defined]

    def begin() -> None:
        start(reactor).addBoth(stop)

    reactor.callWhenRunning(begin)  # type: ignore[attr-defined]
    reactor.run()  # type: ignore[attr-defined]
    if not results:
        raise KeyboardInterrupt
    if isinstance(results[0], Failure):
        results[0].raiseException()
    return results[0]
