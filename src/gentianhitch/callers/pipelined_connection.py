"""One connection of a caller, which may send requests ahead of their answers."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Any
from typing import Protocol as TypingProtocol

import attrs
from twisted.internet.interfaces import IAddress
from twisted.internet.protocol import Factory
from twisted.internet.protocol import Protocol
from twisted.internet.task import LoopingCall
from twisted.python.failure import Failure

from gentianhitch.callers.complete_requests import CallerRequest
from gentianhitch.callers.complete_requests import CompleteRequestReader
from gentianhitch.callers.complete_requests import HeaderNames
from gentianhitch.callers.encoding import CONTINUE
from gentianhitch.callers.errors import RequestError
from gentianhitch.callers.refusals import Cause
from gentianhitch.callers.refusals import Refusal
from gentianhitch.callers.refusals import encode_refusal
from gentianhitch.proxy.model import CallerLimits
from gentianhitch.socket_options import watch_for_silence
from gentianhitch.writing import write_at_once

CHECK_INTERVAL_S = 0.5
MAX_PIPELINED = 64
"""Requests of one connection at once; more are read when these are answered."""

LINGER_S = 1.0
IDLE_MARGIN_S = 1.0
"""Callers reuse a connection until just before the idle limit."""


class Exchange(TypingProtocol):
    """One request that is being served."""

    def caller_disconnected(self) -> None:
        """Stop: nobody waits for the answer."""
        ...

    def respond_now(self) -> None:
        """Answer now, with what is known."""
        ...


Serve = Callable[[CallerRequest, "PendingResponse"], Exchange]


@attrs.define(eq=False)
class PendingResponse:
    """The place of one answer in the order of its connection."""

    _connection: PipelinedConnection
    request: CallerRequest | None
    data: bytes | None = None
    close_after: bool = False
    exchange: Exchange | None = None

    def send(self, data: bytes, *, close: bool = False) -> None:
        """Give the whole encoded answer; ``close`` ends the connection after it."""
        if self.data is None:
            self.data = data
            self.close_after = close
            self._connection.flush()

    @property
    def will_close(self) -> bool:
        """Tell whether the connection ends with this answer."""
        asked = self.request is not None and not self.request.keep_alive
        return asked or self._connection.is_leaving


class PipelinedConnection(Protocol):
    """Serve the requests of one caller, answers in the order of the requests."""

    transport: Any = None

    def __init__(self, factory: CallerFactory) -> None:
        self._factory = factory
        self._reader = CompleteRequestReader(factory.names, factory.limits())
        self._replies: deque[PendingResponse] = deque()
        self._closing = False
        self._paused = False
        self._active_s = factory.seconds()

    def connectionMade(self) -> None:  # noqa: N802
        """Start the life of the connection."""
        self.transport.setTcpNoDelay(True)
        watch_for_silence(self.transport)
        self._factory.connections.add(self)

    @property
    def is_leaving(self) -> bool:
        """Tell whether connections end with their next answer."""
        return self._factory.is_leaving

    @property
    def is_busy(self) -> bool:
        """Tell whether a request is being read or served."""
        return bool(self._replies) or self._reader.is_amid_request

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Read requests and serve each at once."""
        if self._closing:
            return
        self._active_s = self._factory.seconds()
        requests, error = self._reader.feed(data)
        for request in requests:
            if self._closing:
                return
            self._serve(request)
        if error is not None:
            self._refuse(error)
        elif self._reader.awaits_continue and not self._replies:
            self._reader.awaits_continue = False
            self.transport.write(CONTINUE)
        if len(self._replies) >= MAX_PIPELINED and not self._paused:
            self._paused = True
            self.transport.pauseProducing()

    def _serve(self, request: CallerRequest) -> None:
        reply = PendingResponse(self, request)
        self._replies.append(reply)
        exchange = self._factory.serve(request, reply)
        if reply.data is None:
            reply.exchange = exchange

    def _refuse(self, error: RequestError) -> None:
        reply = PendingResponse(self, None)
        self._replies.append(reply)
        refusal = Refusal(error.cause, detail=error.detail)
        reply.send(
            encode_refusal(refusal, request_id=b"", close=True, to_head_request=False),
            close=True,
        )

    def flush(self) -> None:
        """Write the answers that are next in order."""
        while self._replies and self._replies[0].data is not None:
            reply = self._replies.popleft()
            self._active_s = self._factory.seconds()
            assert reply.data is not None
            write_at_once(self.transport, reply.data)
            if reply.close_after:
                self._close()
                return
        if self._paused and len(self._replies) < MAX_PIPELINED // 2:
            self._paused = False
            self.transport.resumeProducing()
        self._factory.notify_if_idle()

    def _close(self) -> None:
        """Close after all is written; later requests count as not read.

        What still comes is read and dropped for a while: closing with unread bytes
        resets the connection, which may cost the caller its last answer.
        """
        self._closing = True
        self._cancel_all()
        self.transport.loseWriteConnection()
        self._factory.notify_if_idle()

    def check(self, now: float) -> None:
        """Close what was silent for too long."""
        silent_s = now - self._active_s
        if self._closing:
            if silent_s > LINGER_S:
                self.transport.abortConnection()
            return
        limits = self._factory.limits()
        if self._reader.is_amid_request and not self._replies:
            if silent_s > limits.head_timeout_s:
                self._refuse(RequestError(Cause.BODY_TIMEOUT))
        elif not self._replies and silent_s > limits.idle_timeout_s + IDLE_MARGIN_S:
            self._close()

    def close_if_idle(self) -> None:
        """Close unless a request is being read or served."""
        if not self._closing and not self.is_busy:
            self._close()

    def respond_now(self) -> None:
        """Answer all requests now: one may hold back answers that are ready."""
        for reply in tuple(self._replies):
            if reply.exchange is not None and reply.data is None:
                reply.exchange.respond_now()

    def connectionLost(self, reason: Failure | None = None) -> None:  # noqa: N802
        """Cancel what is being served."""
        self._closing = True
        self._factory.connections.discard(self)
        self._cancel_all()
        self._factory.notify_if_idle()

    def _cancel_all(self) -> None:
        replies, self._replies = self._replies, deque()
        for reply in replies:
            if reply.exchange is not None and reply.data is None:
                reply.exchange.caller_disconnected()


class CallerFactory(Factory):
    """Accept callers' connections."""

    noisy = False

    def __init__(
        self,
        clock: Any,
        names: HeaderNames,
        limits: Callable[[], CallerLimits],
        serve: Serve,
    ) -> None:
        self._clock = clock
        self.names = names
        self.limits = limits
        self.serve = serve
        self.connections: set[PipelinedConnection] = set()
        self.is_leaving = False
        self.on_idle: Callable[[], None] | None = None
        self._checks = LoopingCall(self._check)
        self._checks.clock = clock

    def seconds(self) -> float:
        """Return the runtime's clock."""
        now: float = self._clock.seconds()
        return now

    def doStart(self) -> None:  # noqa: N802
        """Begin to look for silent connections."""
        super().doStart()  # type: ignore[no-untyped-call]
        if not self._checks.running:
            self._checks.start(CHECK_INTERVAL_S, now=False)

    def buildProtocol(self, addr: IAddress | None) -> PipelinedConnection:  # noqa: N802
        """Serve a new connection."""
        return PipelinedConnection(self)

    @property
    def is_busy(self) -> bool:
        """Tell whether any request is being read or served."""
        return any(connection.is_busy for connection in self.connections)

    def close_idle(self) -> None:
        """Close every connection that has nothing to do."""
        for connection in tuple(self.connections):
            connection.close_if_idle()

    def notify_if_idle(self) -> None:
        """Tell who waits for the end of all requests."""
        if self.on_idle is not None and not self.is_busy:
            self._tell_idle()

    def respond_now(self) -> None:
        """Answer what is still being served, and tell who waits for that."""
        for connection in tuple(self.connections):
            connection.respond_now()
        self._tell_idle()

    def _tell_idle(self) -> None:
        on_idle, self.on_idle = self.on_idle, None
        if on_idle is not None:
            on_idle()

    def close(self) -> None:
        """Close every connection at once."""
        if self._checks.running:
            self._checks.stop()
        for connection in tuple(self.connections):
            connection.transport.abortConnection()

    def _check(self) -> None:
        now = self.seconds()
        for connection in tuple(self.connections):
            connection.check(now)
