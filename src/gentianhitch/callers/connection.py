"""One caller's connection to the request path."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING
from typing import Any

from twisted.internet.interfaces import IHalfCloseableProtocol
from twisted.internet.protocol import Protocol
from twisted.python.failure import Failure
from zope.interface import implementer

from gentianhitch.arrived import read_arrived
from gentianhitch.callers.exchange import Exchange
from gentianhitch.callers.incoming import IncomingRequest
from gentianhitch.callers.incoming import RequestReader
from gentianhitch.callers.internal import InternalExchange
from gentianhitch.callers.refusals import Cause
from gentianhitch.callers.refusals import Refusal
from gentianhitch.callers.refusals import encode_refusal

if TYPE_CHECKING:
    from gentianhitch.callers.request_path import PathContext

IDLE_TIMEOUT_S = 60.0
REQUEST_TIMEOUT_S = 10.0
"""A request of which no bytes were received for this time is refused."""

LINGER_S = 2.0
LEAVING_IDLE_S = 1.0
STALL_TIMEOUT_S = 30.0
MAX_WAITING_REQUESTS = 1


@implementer(IHalfCloseableProtocol)
class CallerConnection(Protocol):
    """Reads the requests of one connection and serves them one after the other.

    Reading pauses while a pipelined request waits, or a body is not yet forwarded.
    """

    transport: Any = None

    def __init__(self, context: PathContext) -> None:
        self._context = context
        self._reader = RequestReader(context.limits)
        self._waiting: deque[IncomingRequest] = deque()
        self._exchange: Exchange | InternalExchange | None = None
        self._refusal: Refusal | None = None
        self._is_serving = False
        self._is_paused = False
        self._is_body_paused = False
        self._is_lingering = False
        self._is_lost = False
        self._last_active_s = context.seconds()

    def connectionMade(self) -> None:  # noqa: N802
        """Register the connection for timeouts and for shutdown."""
        self.transport.setTcpNoDelay(True)
        self._context.connections.add(self)

    @property
    def is_busy(self) -> bool:
        """Return whether a request is being read or served."""
        return self._exchange is not None or self._reader.is_amid_request

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parse requests, pass on body bytes and serve the first waiting request."""
        if self._is_lingering or self._refusal is not None:
            return
        self._last_active_s = self._context.seconds()
        unfinished = self._reader.unfinished
        self._waiting.extend(self._reader.feed(data))
        error = self._reader.take_error()
        if error is not None:
            self._refusal = Refusal(error.cause, detail=error.detail)
        if unfinished is not None and unfinished.listener is not None:
            unfinished.listener.body_updated()
        self._serve_waiting()

    def _serve_waiting(self) -> None:
        if self._is_serving:
            return
        self._is_serving = True
        while self._waiting and self._exchange is None and not self._is_ending:
            self._start_exchange(self._waiting.popleft())
        self._is_serving = False
        if self._exchange is None and not self._is_ending and self._refusal is not None:
            self._refuse(self._refusal)
        self._pause_or_resume()

    @property
    def _is_ending(self) -> bool:
        return self._is_lost or self._is_lingering

    def _start_exchange(self, incoming: IncomingRequest) -> None:
        exchange_class = InternalExchange if incoming.head.is_internal else Exchange
        self._exchange = exchange = exchange_class(self._context, self, incoming)
        incoming.listener = exchange
        exchange.start()

    def pause_body(self) -> None:
        """Stop reading until the buffered body has been forwarded."""
        self._is_body_paused = True
        self._pause_or_resume()

    def resume_body(self) -> None:
        """Resume reading, unless pipelined requests wait."""
        self._is_body_paused = False
        self._pause_or_resume()

    def _pause_or_resume(self) -> None:
        pause = self._is_body_paused or len(self._waiting) >= MAX_WAITING_REQUESTS
        if pause == self._is_paused or self._is_ending:
            return
        self._is_paused = pause
        if pause:
            self.transport.pauseProducing()
        else:
            self.transport.resumeProducing()

    def exchange_ended(
        self, exchange: Exchange | InternalExchange, *, keep_alive: bool
    ) -> None:
        """Serve the next request, or close the connection."""
        if self._exchange is not exchange:
            return
        self._exchange = None
        self._is_body_paused = False
        self._last_active_s = self._context.seconds()
        if keep_alive:
            self._serve_waiting()
        else:
            self._close()
        self._context.notify_if_idle()

    def abort(self) -> None:
        """Reset the connection, so that the caller detects a truncated response."""
        self._exchange = None
        self._is_lingering = True
        if not self._is_lost:
            self.transport.abortConnection()
        self._context.notify_if_idle()

    def _refuse(self, refusal: Refusal) -> None:
        self._context.count(f"refusals.{refusal.cause.label}")
        self.transport.write(
            encode_refusal(refusal, request_id=b"", close=True, to_head_request=False)
        )
        self._close()

    def _close(self) -> None:
        """Close once everything is written.

        If the caller is still sending, only the sending side is closed and reading
        continues for LINGER_S: closing with unread data resets the connection, and
        the caller may lose the response.
        """
        if self._is_ending:
            return
        self._is_lingering = True
        if self._reader.is_amid_request or self._refusal is not None:
            if self._is_paused:
                self.transport.resumeProducing()
            self.transport.loseWriteConnection()
        else:
            self.transport.loseConnection()

    def check(self, now: float) -> None:
        """Close the connection, or refuse or abort its request, after a timeout."""
        if self._is_lingering:
            if now - self._last_active_s > LINGER_S:
                self.transport.abortConnection()
        elif self._is_silent(now):
            # What arrived while the loop lagged is no silence.
            self.read_arrived()
            if self._is_silent(now):
                self._end_silent()
        exchange = self._exchange
        if exchange is not None and now - exchange.last_progress_s > STALL_TIMEOUT_S:
            exchange.abort_stalled()

    def read_arrived(self) -> None:
        """Read what has arrived, unless reading is paused."""
        read_arrived(
            self.transport, lambda: not self._is_paused and not self._is_ending
        )

    def _is_silent(self, now: float) -> bool:
        """Return whether the caller sends nothing for longer than it may."""
        if self._is_ending:
            return False
        limit_s = LEAVING_IDLE_S if self._context.is_leaving else IDLE_TIMEOUT_S
        if self._reader.is_amid_request:
            limit_s = REQUEST_TIMEOUT_S
        elif self._exchange is not None:
            return False
        return now - self._last_active_s > limit_s

    def _end_silent(self) -> None:
        if self._reader.is_amid_request:
            self._fail_request(Cause.BODY_TIMEOUT)
        else:
            self._close()

    def _fail_request(self, cause: Cause) -> None:
        incoming = self._reader.unfinished
        if incoming is None:
            self._refusal = Refusal(cause)
        else:
            incoming.fail(cause)
            if incoming.listener is not None:
                incoming.listener.body_updated()
        self._serve_waiting()

    def readConnectionLost(self) -> None:  # noqa: N802
        """Refuse a truncated request; otherwise cancel what is being served."""
        if self._reader.is_amid_request and not self._is_ending:
            self._fail_request(Cause.SHORT_BODY)
        else:
            self.transport.loseConnection()
            self._caller_disconnected()

    def writeConnectionLost(self) -> None:  # noqa: N802
        """Ignore it: the caller closes its side next, or the linger timeout ends it."""

    def connectionLost(self, reason: Failure | None = None) -> None:  # noqa: N802
        """Cancel what is being served."""
        self._is_lost = True
        self._context.connections.discard(self)
        self._caller_disconnected()
        self._context.notify_if_idle()

    def _caller_disconnected(self) -> None:
        exchange = self._exchange
        if exchange is not None:
            exchange.caller_disconnected()
