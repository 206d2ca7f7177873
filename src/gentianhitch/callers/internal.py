"""Serve requests to this system's own endpoints through a twisted.web resource."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from twisted.internet.error import ConnectionDone
from twisted.internet.interfaces import IPushProducer
from twisted.internet.interfaces import ITransport
from twisted.python.failure import Failure
from twisted.web.http import HTTPChannel
from twisted.web.server import Request
from zope.interface import implementer

from gentianhitch.callers.incoming import IncomingRequest
from gentianhitch.callers.refusals import Refusal
from gentianhitch.callers.refusals import encode_refusal
from gentianhitch.callers.request_metrics import FinishedRequest

if TYPE_CHECKING:
    from gentianhitch.callers.connection import CallerConnection
    from gentianhitch.callers.request_path import PathContext


_UntypedChannel: Any = HTTPChannel


class InternalExchange:
    """One request to an endpoint of this system; its body is buffered completely."""

    def __init__(
        self, context: PathContext, caller: CallerConnection, incoming: IncomingRequest
    ) -> None:
        self._context = context
        self._caller = caller
        self._incoming = incoming
        self._channel: _OneRequestChannel | None = None
        self._is_ended = False
        self._is_closed = False
        self._started_s = context.seconds()
        self.last_progress_s = self._started_s

    def start(self) -> None:
        """Serve the request if its body is complete already."""
        self.body_updated()

    def body_updated(self) -> None:
        """Serve the request once its body is complete."""
        if self._is_ended or self._channel is not None:
            return
        if self._incoming.fault is not None:
            self._refuse(Refusal(self._incoming.fault))
        elif self._incoming.complete:
            self._serve()

    def caller_disconnected(self) -> None:
        """Notify the resource that the caller's connection is lost."""
        if self._is_ended:
            return
        if self._channel is not None:
            self._channel.caller_disconnected()
        self.end(status=499)

    def abort_stalled(self) -> None:
        """Do nothing: resources bound the time of their responses themselves."""

    def end(self, status: int) -> None:
        """Report the request and let the connection serve the next one."""
        if self._is_ended:
            return
        self._is_ended = True
        duration_s = self._context.seconds() - self._started_s
        self._context.finished(FinishedRequest(None, None, status, None, duration_s))
        self._caller.exchange_ended(self, keep_alive=self._should_keep_alive())

    def close(self) -> None:
        """Close the caller's connection once everything is written."""
        self._is_closed = True
        self.end(status=400)

    def _should_keep_alive(self) -> bool:
        return (
            not self._is_closed
            and self._incoming.head.keep_alive
            and self._incoming.complete
            and not self._context.is_leaving
        )

    def _serve(self) -> None:
        self._channel = _OneRequestChannel(self)
        self._channel.site = self._context.site
        self._channel.requestFactory = self._context.site.requestFactory
        self._channel.timeOut = None
        self._channel.makeConnection(_NonClosingTransport(self._caller.transport, self))
        self._channel.dataReceived(self._encode())

    def _encode(self) -> bytes:
        head = self._incoming.head
        body = self._incoming.take()
        lines = [b"%b %b HTTP/1.1" % (head.method.encode(), head.target)]
        lines += [b"%b: %b" % header for header in head.headers]
        if head.api_key is not None:
            lines.append(b"Authorization: Bearer " + head.api_key)
        lines.append(b"X-Request-Id: " + head.request_id)
        lines.append(b"Content-Length: %d" % len(body))
        if not self._should_keep_alive():
            lines.append(b"Connection: close")
        return b"\r\n".join(lines) + b"\r\n\r\n" + body

    def _refuse(self, refusal: Refusal) -> None:
        self._caller.transport.write(
            encode_refusal(
                refusal,
                request_id=self._incoming.head.request_id,
                close=True,
                to_head_request=self._incoming.head.method == "HEAD",
            )
        )
        self.end(status=refusal.cause.status)


class _OneRequestChannel(_UntypedChannel):  # type: ignore[valid-type,misc]
    """Serves one request over a caller's connection, which stays open after it."""

    def __init__(self, exchange: InternalExchange) -> None:
        super().__init__()
        self._exchange = exchange

    def requestDone(self, request: Request) -> None:  # noqa: N802
        """Return the connection to the exchange at the end of the response."""
        if self._networkProducer is not None:
            self._networkProducer.unregisterProducer()
        self._exchange.end(status=request.code)

    def caller_disconnected(self) -> None:
        """Fail the channel's request as twisted.web does on a lost connection."""
        reason = Failure(ConnectionDone())  # type: ignore[no-untyped-call]
        self.connectionLost(reason)


@implementer(ITransport, IPushProducer)
class _NonClosingTransport:
    """Transport that writes to a caller's connection but doesn't close it."""

    def __init__(self, transport: Any, exchange: InternalExchange) -> None:
        self._transport = transport
        self._exchange = exchange
        self.disconnecting = False

    def write(self, data: bytes) -> None:
        """Write bytes to the caller's connection."""
        self._transport.write(data)

    def writeSequence(self, data: Any) -> None:  # noqa: N802
        """Write a list of byte strings to the caller's connection."""
        self._transport.write(b"".join(data))

    def loseConnection(self) -> None:  # noqa: N802
        """Notify the exchange: the channel closes only on an unreadable request."""
        self.disconnecting = True
        self._exchange.close()

    def abortConnection(self) -> None:  # noqa: N802
        """Notify the exchange, as on ``loseConnection``."""
        self.loseConnection()

    def getPeer(self) -> Any:  # noqa: N802
        """Return the address of the caller."""
        return self._transport.getPeer()

    def getHost(self) -> Any:  # noqa: N802
        """Return the address at which the connection was accepted."""
        return self._transport.getHost()

    def registerProducer(self, producer: Any, streaming: bool) -> None:  # noqa: N802
        """Pause and resume a producer as the caller reads."""
        self._transport.registerProducer(producer, streaming)

    def unregisterProducer(self) -> None:  # noqa: N802
        """Remove the producer from the caller's connection."""
        self._transport.unregisterProducer()

    def pauseProducing(self) -> None:  # noqa: N802
        """Do nothing: the request was received completely."""

    def resumeProducing(self) -> None:  # noqa: N802
        """Do nothing: the request was received completely."""

    def stopProducing(self) -> None:  # noqa: N802
        """Mark the transport closed; the caller's connection stays open."""
        self.disconnecting = True
