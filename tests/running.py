"""Run coroutines on the real reactor and serve applications to them."""

from __future__ import annotations

from collections.abc import Coroutine
from typing import Any
from typing import TypeVar

from klein import Klein
from twisted.internet import reactor
from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from gentianhitch.addresses import Address
from standins import serving

T = TypeVar("T")

LIMIT_S = 20.0


def run_on_reactor(coroutine: Coroutine[Any, Any, T]) -> T:
    """Run the reactor until the coroutine ends."""
    ended: list[Any] = []

    def end(result: Any) -> None:
        ended.append(result)
        if reactor.running:
            reactor.crash()

    deferred = Deferred.fromCoroutine(coroutine)
    deferred.addTimeout(LIMIT_S, reactor)
    deferred.addBoth(end)
    if not ended:
        reactor.run(installSignalHandlers=False)
    # One loop on one thread: a thread left over would also keep pytest from ending.
    assert not (reactor.threadpool and reactor.threadpool.threads)
    if isinstance(ended[0], Failure):
        ended[0].raiseException()
    return ended[0]


def serve(app: Klein) -> Address:
    """Serve an application on a free port until the process ends."""
    return Address.parse(serving.listen(app, 0))
