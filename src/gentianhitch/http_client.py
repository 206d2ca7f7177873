"""Call HTTP servers at IP numbers on the loop's own thread."""

from __future__ import annotations

from typing import Any

import attrs
from twisted.internet.defer import Deferred
from twisted.internet.defer import succeed
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.endpoints import TCP6ClientEndpoint
from twisted.internet.error import ConnectError
from twisted.internet.error import ConnectingCancelledError
from twisted.internet.interfaces import IStreamClientEndpoint
from twisted.internet.protocol import Protocol
from twisted.python.failure import Failure
from twisted.web._newclient import RequestNotSent
from twisted.web.client import URI
from twisted.web.client import Agent
from twisted.web.client import HTTPConnectionPool
from twisted.web.client import ResponseDone
from twisted.web.http_headers import Headers
from twisted.web.iweb import IAgentEndpointFactory
from twisted.web.iweb import IBodyProducer
from zope.interface import implementer

from gentianhitch.errors import GentianhitchError

MAX_CALL_S = 10.0
"""Ends an answer that never ends; far above the time that the largest one takes."""

# Raised before any byte of the request was written.
NOT_SENT_ERRORS = (ConnectError, ConnectingCancelledError, RequestNotSent)


@implementer(IAgentEndpointFactory)
class _IpEndpointFactory:
    """Connect without a name resolver, which would use a thread pool."""

    def __init__(self, reactor: Any, connect_timeout_s: float) -> None:
        self._reactor = reactor
        self._connect_timeout_s = connect_timeout_s

    def endpointForURI(self, uri: URI) -> IStreamClientEndpoint:  # noqa: N802
        """Return the endpoint of the IP number in ``uri``."""
        host = uri.host.decode("ascii")
        kind = TCP6ClientEndpoint if ":" in host else TCP4ClientEndpoint
        endpoint: IStreamClientEndpoint = kind(
            self._reactor, host, uri.port, self._connect_timeout_s
        )
        return endpoint


def make_pool(reactor: Any, max_connections: int) -> HTTPConnectionPool:
    """Create a connection pool that never repeats a request by itself."""
    pool = HTTPConnectionPool(reactor)  # type: ignore[no-untyped-call]
    # A repeated DELETE would report a conflict with its own first effect.
    pool.retryAutomatically = False
    pool.maxPersistentPerHost = max_connections
    return pool


def make_agent(reactor: Any, pool: HTTPConnectionPool, connect_timeout_s: float) -> Any:
    """Create an agent over ``pool`` for URLs whose hosts are IP numbers."""
    factory = _IpEndpointFactory(reactor, connect_timeout_s)
    return Agent.usingEndpointFactory(  # type: ignore[no-untyped-call]
        reactor, factory, pool
    )


@attrs.frozen
class Answer:
    """One whole answer."""

    status: int
    body: bytes


@implementer(IBodyProducer)
class _BytesProducer:
    """Write a short body at once, without a cooperator on the global reactor."""

    def __init__(self, body: bytes) -> None:
        self._body = body
        self.length = len(body)

    def startProducing(self, consumer: Any) -> Deferred[None]:  # noqa: N802
        consumer.write(self._body)
        return succeed(None)

    def pauseProducing(self) -> None:  # noqa: N802
        pass

    def resumeProducing(self) -> None:  # noqa: N802
        pass

    def stopProducing(self) -> None:  # noqa: N802
        pass


class StalledError(GentianhitchError):
    """No byte of an answer came for too long, or not all of it in time."""


@attrs.define(eq=False)
class Progress:
    """Count the bytes of an answer's body while they come."""

    received: int = 0


class _BodyReader(Protocol):
    """Read one body; twisted's own reader fails when it is cancelled."""

    transport: Any = None

    def __init__(self, progress: Progress) -> None:
        self.finished: Deferred[bytes] = Deferred(self._cancel)
        self._progress = progress
        self._parts: list[bytes] = []
        self._cancelled = False

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        self._parts.append(data)
        self._progress.received += len(data)

    def connectionLost(self, reason: Failure | None = None) -> None:  # noqa: N802
        if self._cancelled:
            return
        if reason is None or reason.check(ResponseDone):
            self.finished.callback(b"".join(self._parts))
        else:
            self.finished.errback(reason)

    def _cancel(self, _: object) -> None:
        self._cancelled = True
        # The transport of a body that has ended is gone.
        if self.transport is not None and hasattr(self.transport, "abortConnection"):
            self.transport.abortConnection()


async def _call(
    agent: Any, method: str, url: str, body: bytes | None, progress: Progress
) -> Answer:
    headers = Headers()
    producer = None
    if body is not None:
        headers.addRawHeader("Content-Type", "application/json")
        producer = _BytesProducer(body)
    response = await agent.request(method.encode(), url.encode(), headers, producer)
    reader = _BodyReader(progress)
    response.deliverBody(reader)
    return Answer(response.code, await reader.finished)


async def call(
    clock: Any,
    stall_s: float,
    agent: Any,
    method: str,
    url: str,
    body: bytes | None = None,
    progress: Progress | None = None,
) -> Answer:
    """Send one request, with a JSON body if there is one, and read its answer.

    Raise StalledError when no byte comes for ``stall_s``. How long an answer takes
    depends on its size and its link, which a time-out for the whole of it would have
    to know.
    """
    followed = progress or Progress()
    calling = Deferred.fromCoroutine(_call(agent, method, url, body, followed))
    watch = _StallWatch(clock, stall_s, followed, calling)
    try:
        return await calling
    except Exception as error:
        if watch.fired:
            detail = f"no progress after {followed.received} bytes"
            raise StalledError(f"{method} {url}: {detail}") from error
        raise
    finally:
        watch.stop()


class _StallWatch:
    """Cancel a call when its progress stands still, or when it takes far too long."""

    def __init__(
        self, clock: Any, stall_s: float, progress: Progress, calling: Deferred[Answer]
    ) -> None:
        self._clock = clock
        self._stall_s = stall_s
        self._progress = progress
        self._calling = calling
        self._ends_s = clock.seconds() + MAX_CALL_S
        self.fired = False
        self._watch()

    def stop(self) -> None:
        if self._timer.active():
            self._timer.cancel()

    def _watch(self) -> None:
        received = self._progress.received
        self._timer = self._clock.callLater(self._stall_s, self._check, received)

    def _check(self, received_before: int) -> None:
        has_progress = self._progress.received > received_before
        if has_progress and self._clock.seconds() < self._ends_s:
            self._watch()
        else:
            self.fired = True
            self._calling.cancel()
