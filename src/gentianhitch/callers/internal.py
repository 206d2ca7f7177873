"""Serve paths of the system itself through a twisted.web resource."""

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
    """One request to the system itself; its body is complete before it is served."""

    def __init__(
        self, context: PathContext, caller: CallerConnection, incoming: IncomingRequest
    ) -> None:
        self._context = context
        self._caller = caller
        self._incoming = incoming
        self._channel: _OneRequestChannel | None = None
        self._ended = False
        self._closed = False
        self._started_s = context.seconds()
        self.progressed_s = self._started_s

    def start(self) -> None:
        """Serve the request if all of it is here."""
        self.body_progressed()

    def body_progressed(self) -> None:
        """Serve the request once all of it is here."""
        if self._ended or self._channel is not None:
            return
        if self._incoming.fault is not None:
            self._refuse(Refusal(self._incoming.fault))
        elif self._incoming.complete:
            self._serve()

    def caller_disconnected(self) -> None:
        """Tell the resource that nobody waits for its answer."""
        if self._ended:
            return
        if self._channel is not None:
            self._channel.caller_disconnected()
        self.ended(status=499)

    def stalled(self) -> None:
        """Leave the time that an answer may take to the resource."""

    def ended(self, status: int) -> None:
        """Go on with the caller's next request."""
        if self._ended:
            return
        self._ended = True
        duration_s = self._context.seconds() - self._started_s
        self._context.finished(FinishedRequest(None, None, status, None, duration_s))
        self._caller.exchange_ended(self, keep_alive=self._keeps_alive())

    def closed(self) -> None:
        """Close the caller's connection after what is written."""
        self._closed = True
        self.ended(status=400)

    def _keeps_alive(self) -> bool:
        return (
            not self._closed
            and self._incoming.head.keep_alive
            and self._incoming.complete
            and not self._context.is_leaving
        )

    def _serve(self) -> None:
        self._channel = _OneRequestChannel(self)
        self._channel.site = self._context.site
        self._channel.requestFactory = self._context.site.requestFactory
        self._channel.timeOut = None
        self._channel.makeConnection(_RelayTransport(self._caller.transport, self))
        self._channel.dataReceived(self._encode())

    def _encode(self) -> bytes:
        head = self._incoming.head
        body = self._incoming.take()
        lines = [b"%b %b HTTP/1.1" % (head.method.encode(), head.target)]
        lines += [b"%b: %b" % header for header in head.headers]
        if head.key is not None:
            lines.append(b"Authorization: Bearer " + head.key)
        lines.append(b"X-Request-Id: " + head.request_id)
        lines.append(b"Content-Length: %d" % len(body))
        if not self._keeps_alive():
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
        self.ended(status=refusal.cause.status)


class _OneRequestChannel(_UntypedChannel):  # type: ignore[valid-type,misc]
    """Serve one request over a caller's connection that outlives it."""

    def __init__(self, exchange: InternalExchange) -> None:
        super().__init__()
        self._exchange = exchange

    def requestDone(self, request: Request) -> None:  # noqa: N802
        """Hand the connection back."""
        if self._networkProducer is not None:
            self._networkProducer.unregisterProducer()
        self._exchange.ended(status=request.code)

    def caller_disconnected(self) -> None:
        """End the requests of this channel as on a lost connection."""
        reason = Failure(ConnectionDone())  # type: ignore[no-untyped-call]
        self.connectionLost(reason)


@implementer(ITransport, IPushProducer)
class _RelayTransport:
    """Write to a caller's connection, but leave closing to its owner."""

    def __init__(self, transport: Any, exchange: InternalExchange) -> None:
        self._transport = transport
        self._exchange = exchange
        self.disconnecting = False

    def write(self, data: bytes) -> None:
        """Write to the caller."""
        self._transport.write(data)

    def writeSequence(self, data: Any) -> None:  # noqa: N802
        """Write to the caller."""
        self._transport.write(b"".join(data))

    def loseConnection(self) -> None:  # noqa: N802
        """Let the owner close: the resource could not read the request."""
        self.disconnecting = True
        self._exchange.closed()

    def abortConnection(self) -> None:  # noqa: N802
        """Let the owner close."""
        self.loseConnection()

    def getPeer(self) -> Any:  # noqa: N802
        """Return the caller's address."""
        return self._transport.getPeer()

    def getHost(self) -> Any:  # noqa: N802
        """Return the local address."""
        return self._transport.getHost()

    def registerProducer(self, producer: Any, streaming: bool) -> None:  # noqa: N802
        """Let the caller's connection pace a producer."""
        self._transport.registerProducer(producer, streaming)

    def unregisterProducer(self) -> None:  # noqa: N802
        """Forget the producer."""
        self._transport.unregisterProducer()

    def pauseProducing(self) -> None:  # noqa: N802
        """Stay as it is: the request is already complete."""

    def resumeProducing(self) -> None:  # noqa: N802
        """Stay as it is: the request is already complete."""

    def stopProducing(self) -> None:  # noqa: N802
        """Leave closing to the owner."""
        self.disconnecting = True
