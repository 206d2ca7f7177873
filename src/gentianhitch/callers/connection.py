"""One connection of a caller."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING
from typing import Any

from twisted.internet.interfaces import IHalfCloseableProtocol
from twisted.internet.protocol import Protocol
from twisted.python.failure import Failure
from zope.interface import implementer

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
"""A request whose bytes pause for so long is given up."""

LINGER_S = 2.0
LEAVING_IDLE_S = 1.0
STALL_TIMEOUT_S = 30.0
PIPELINED_REQUESTS = 1


@implementer(IHalfCloseableProtocol)
class CallerConnection(Protocol):
    """Read requests of one caller and serve them one after the other."""

    transport: Any = None

    def __init__(self, context: PathContext) -> None:
        self._context = context
        self._reader = RequestReader(context.limits)
        self._waiting: deque[IncomingRequest] = deque()
        self._exchange: Exchange | InternalExchange | None = None
        self._refusal: Refusal | None = None
        self._serving = False
        self._paused = False
        self._body_paused = False
        self._lingering = False
        self._lost = False
        self._active_s = context.seconds()

    def connectionMade(self) -> None:  # noqa: N802
        """Start the life of the connection."""
        self.transport.setTcpNoDelay(True)
        self._context.connections.add(self)

    @property
    def is_busy(self) -> bool:
        """Tell whether a request is being read or served."""
        return self._exchange is not None or self._reader.is_amid_request

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Read requests and serve the first that waits."""
        if self._lingering or self._refusal is not None:
            return
        self._active_s = self._context.seconds()
        unfinished = self._reader.unfinished
        self._waiting.extend(self._reader.feed(data))
        error = self._reader.take_error()
        if error is not None:
            self._refusal = Refusal(error.cause, detail=error.detail)
        if unfinished is not None and unfinished.listener is not None:
            unfinished.listener.body_progressed()
        self._serve()

    def _serve(self) -> None:
        if self._serving:
            return
        self._serving = True
        while self._waiting and self._exchange is None and not self._is_ending:
            self._start(self._waiting.popleft())
        self._serving = False
        if self._exchange is None and not self._is_ending and self._refusal is not None:
            self._refuse(self._refusal)
        self._pause_or_resume()

    @property
    def _is_ending(self) -> bool:
        return self._lost or self._lingering

    def _start(self, incoming: IncomingRequest) -> None:
        kind = InternalExchange if incoming.head.is_internal else Exchange
        self._exchange = exchange = kind(self._context, self, incoming)
        incoming.listener = exchange
        exchange.start()

    def pause_body(self) -> None:
        """Read no more until the body that came has been sent on."""
        self._body_paused = True
        self._pause_or_resume()

    def resume_body(self) -> None:
        """Read on."""
        self._body_paused = False
        self._pause_or_resume()

    def _pause_or_resume(self) -> None:
        pause = self._body_paused or len(self._waiting) >= PIPELINED_REQUESTS
        if pause == self._paused or self._is_ending:
            return
        self._paused = pause
        if pause:
            self.transport.pauseProducing()
        else:
            self.transport.resumeProducing()

    def exchange_ended(
        self, exchange: Exchange | InternalExchange, *, keep_alive: bool
    ) -> None:
        """Go on with the next request, or close."""
        if self._exchange is not exchange:
            return
        self._exchange = None
        self._body_paused = False
        self._active_s = self._context.seconds()
        if keep_alive:
            self._serve()
        else:
            self._close()
        self._context.notify_if_idle()

    def break_off(self) -> None:
        """Close at once, so that the caller sees its answer as incomplete."""
        self._exchange = None
        self._lingering = True
        if not self._lost:
            self.transport.abortConnection()
        self._context.notify_if_idle()

    def _refuse(self, refusal: Refusal) -> None:
        self._context.count(f"refusals.{refusal.cause.label}")
        self.transport.write(
            encode_refusal(refusal, request_id=b"", close=True, to_head_request=False)
        )
        self._close()

    def _close(self) -> None:
        """Close after all is written; read on a while, or a reset may eat it."""
        if self._is_ending:
            return
        self._lingering = True
        if self._reader.is_amid_request or self._refusal is not None:
            if self._paused:
                self.transport.resumeProducing()
            self.transport.loseWriteConnection()
        else:
            self.transport.loseConnection()

    def check(self, now: float) -> None:
        """Close or refuse when the caller was silent for too long."""
        silent_s = now - self._active_s
        if self._lingering:
            if silent_s > LINGER_S:
                self.transport.abortConnection()
        elif self._reader.is_amid_request:
            if silent_s > REQUEST_TIMEOUT_S:
                self._time_out_request()
        elif self._exchange is None:
            limit_s = LEAVING_IDLE_S if self._context.is_leaving else IDLE_TIMEOUT_S
            if silent_s > limit_s:
                self._close()
        exchange = self._exchange
        if exchange is not None and now - exchange.progressed_s > STALL_TIMEOUT_S:
            exchange.stalled()

    def _time_out_request(self) -> None:
        self._fail_request(Cause.BODY_TIMEOUT)

    def _fail_request(self, cause: Cause) -> None:
        incoming = self._reader.unfinished
        if incoming is None:
            self._refusal = Refusal(cause)
        else:
            incoming.fail(cause)
            if incoming.listener is not None:
                incoming.listener.body_progressed()
        self._serve()

    def readConnectionLost(self) -> None:  # noqa: N802
        """Refuse a request that ends too early; else the caller is gone."""
        if self._reader.is_amid_request and not self._is_ending:
            self._fail_request(Cause.SHORT_BODY)
        else:
            self.transport.loseConnection()
            self._caller_gone()

    def writeConnectionLost(self) -> None:  # noqa: N802
        """Wait for the caller to close as well."""

    def connectionLost(self, reason: Failure | None = None) -> None:  # noqa: N802
        """Cancel what is being served."""
        self._lost = True
        self._context.connections.discard(self)
        self._caller_gone()
        self._context.notify_if_idle()

    def _caller_gone(self) -> None:
        exchange = self._exchange
        if exchange is not None:
            exchange.caller_disconnected()
