"""HTTP client for servers at IP addresses, without a resolver thread."""

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
"""Total timeout of a call, against responses that never end.

It is far above the time that the largest response takes.
"""

# Errors raised before any byte of the request is written.
NOT_SENT_ERRORS = (ConnectError, ConnectingCancelledError, RequestNotSent)


@implementer(IAgentEndpointFactory)
class _IpEndpointFactory:
    """Create endpoints without a name resolver, which would use a thread pool."""

    def __init__(self, reactor: Any, connect_timeout_s: float) -> None:
        self._reactor = reactor
        self._connect_timeout_s = connect_timeout_s

    def endpointForURI(self, uri: URI) -> IStreamClientEndpoint:  # noqa: N802
        """Return an endpoint for the IP address in ``uri``."""
        host = uri.host.decode("ascii")
        endpoint_class = TCP6ClientEndpoint if ":" in host else TCP4ClientEndpoint
        endpoint: IStreamClientEndpoint = endpoint_class(
            self._reactor, host, uri.port, self._connect_timeout_s
        )
        return endpoint


def make_pool(reactor: Any, max_connections: int) -> HTTPConnectionPool:
    """Create a connection pool that never retries a request by itself."""
    pool = HTTPConnectionPool(reactor)  # type: ignore[no-untyped-call]
    # A retried DELETE would report a conflict with the effect of the first attempt.
    pool.retryAutomatically = False
    pool.maxPersistentPerHost = max_connections
    return pool


def make_agent(reactor: Any, pool: HTTPConnectionPool, connect_timeout_s: float) -> Any:
    """Create an agent over ``pool`` for URLs whose hosts are IP addresses."""
    factory = _IpEndpointFactory(reactor, connect_timeout_s)
    return Agent.usingEndpointFactory(  # type: ignore[no-untyped-call]
        reactor, factory, pool
    )


@attrs.frozen
class Answer:
    """Complete HTTP response."""

    status: int
    body: bytes
    headers: Headers = attrs.field(factory=Headers, eq=False)


@implementer(IBodyProducer)
class _BytesProducer:
    """Write a short body in one call.

    Twisted's own producer uses a cooperator on the global reactor.
    """

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
    """The response stalled, or was not complete within MAX_CALL_S."""


@attrs.define(eq=False)
class Progress:
    """Count the body bytes of a response as they are received."""

    received: int = 0


class _BodyReader(Protocol):
    """Read one response body; Twisted's own reader fails when it is cancelled."""

    transport: Any = None

    def __init__(self, progress: Progress) -> None:
        self.finished: Deferred[bytes] = Deferred(self._cancel)
        self._progress = progress
        self._parts: list[bytes] = []
        self._is_cancelled = False

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        self._parts.append(data)
        self._progress.received += len(data)

    def connectionLost(self, reason: Failure | None = None) -> None:  # noqa: N802
        if self._is_cancelled:
            return
        if reason is None or reason.check(ResponseDone):
            self.finished.callback(b"".join(self._parts))
        else:
            self.finished.errback(reason)

    def _cancel(self, _: object) -> None:
        self._is_cancelled = True
        # There is no transport left once the body has ended.
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
    return Answer(response.code, await reader.finished, response.headers)


async def call(
    clock: Any,
    stall_s: float,
    agent: Any,
    method: str,
    url: str,
    body: bytes | None = None,
    progress: Progress | None = None,
) -> Answer:
    """Send one request, with an optional JSON body, and read the response.

    Raise StalledError when no body byte is received for ``stall_s`` or the call
    exceeds MAX_CALL_S. The timeout applies to progress because the total duration
    depends on the size of the response and the speed of the link.
    """
    tracked = progress or Progress()
    pending = Deferred.fromCoroutine(_call(agent, method, url, body, tracked))
    stall_timer = _StallTimer(clock, stall_s, tracked, pending)
    try:
        return await pending
    except Exception as error:
        if stall_timer.has_fired:
            detail = f"no progress after {tracked.received} bytes"
            raise StalledError(f"{method} {url}: {detail}") from error
        raise
    finally:
        stall_timer.stop()


class _StallTimer:
    """Cancel a call that makes no progress or exceeds MAX_CALL_S."""

    def __init__(
        self, clock: Any, stall_s: float, progress: Progress, pending: Deferred[Answer]
    ) -> None:
        self._clock = clock
        self._stall_s = stall_s
        self._progress = progress
        self._pending = pending
        self._deadline_s = clock.seconds() + MAX_CALL_S
        self.has_fired = False
        self._schedule_check()

    def stop(self) -> None:
        if self._timer.active():
            self._timer.cancel()

    def _schedule_check(self) -> None:
        received = self._progress.received
        self._timer = self._clock.callLater(self._stall_s, self._check, received)

    def _check(self, received_before: int) -> None:
        has_progress = self._progress.received > received_before
        if has_progress and self._clock.seconds() < self._deadline_s:
            self._schedule_check()
        else:
            self.has_fired = True
            self._pending.cancel()
