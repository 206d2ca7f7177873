"""Run a scenario in a reactor of its own, over real loopback sockets."""

from __future__ import annotations

import attrs
from httptools import HttpResponseParser
from twisted.internet.defer import Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.endpoints import connectProtocol
from twisted.internet.epollreactor import EPollReactor
from twisted.internet.protocol import Protocol

SCENARIO_TIMEOUT_S = 60


def run_scenario(scenario, make_reactor=EPollReactor):
    """Run the coroutine function ``scenario`` with a new reactor; return its result."""
    reactor = make_reactor()
    results = []

    def stop(result):
        results.append(result)
        reactor.stop()

    def begin():
        done = Deferred.fromCoroutine(scenario(reactor))
        done.addTimeout(SCENARIO_TIMEOUT_S, reactor)
        done.addBoth(stop)

    reactor.callWhenRunning(begin)
    reactor.run(installSignalHandlers=False)
    if hasattr(results[0], "raiseException"):
        results[0].raiseException()
    return results[0]


def sleep(reactor, seconds):
    done = Deferred()
    reactor.callLater(seconds, done.callback, None)
    return done


@attrs.define
class Received:
    """One whole answer as a caller sees it."""

    status: int = 0
    headers_by_name: dict = attrs.Factory(dict)
    body: bytes = b""


class SocketCaller(Protocol):
    """Read whole answers, one after the other."""

    def __init__(self):
        self.closed = False
        self._parser = HttpResponseParser(self)
        self._current = Received()
        self._answers = []
        self._waiter = None

    def dataReceived(self, data):  # noqa: N802
        self._parser.feed_data(data)
        self._wake()

    def connectionLost(self, reason=None):  # noqa: N802
        self.closed = True
        self._wake()

    def on_header(self, name, value):
        self._current.headers_by_name[name.decode().lower()] = value.decode()

    def on_body(self, data):
        self._current.body += data

    def on_message_complete(self):
        self._current.status = self._parser.get_status_code()
        self._answers.append(self._current)
        self._current = Received()

    def _wake(self):
        waiter, self._waiter = self._waiter, None
        if waiter is not None:
            waiter.callback(None)

    async def answer(self):
        """Return the next whole answer, or None when the connection ended first."""
        while not self._answers:
            if self.closed:
                return None
            self._waiter = Deferred()
            await self._waiter
        return self._answers.pop(0)


def connect_caller(reactor, port):
    endpoint = TCP4ClientEndpoint(reactor, "127.0.0.1", port)
    return connectProtocol(endpoint, SocketCaller())
