"""One connection to a backend server."""

from __future__ import annotations

from typing import Any
from typing import Protocol as TypingProtocol

from twisted.internet.protocol import Protocol
from twisted.python.failure import Failure

from gentianhitch.backend_servers.errors import BackendServerError
from gentianhitch.backend_servers.errors import InvalidResponseError
from gentianhitch.backend_servers.errors import TruncatedResponseError
from gentianhitch.backend_servers.responses import ResponsePart
from gentianhitch.backend_servers.responses import ResponseReader
from gentianhitch.writing import write_at_once


class ResponseReceiver(TypingProtocol):
    """Take the answer to one request."""

    def response_received(self, piece: ResponsePart) -> None:
        """Take the next piece; the last one has ``ended`` set."""
        ...

    def response_failed(self, error: BackendServerError) -> None:
        """Learn that no more of the answer will come."""
        ...


class ConnectionOwner(TypingProtocol):
    """Keep connections that are not in use."""

    def connection_idle(self, connection: TargetConnection) -> None:
        """Take back a connection that may carry another request."""
        ...

    def connection_closed(self, connection: TargetConnection) -> None:
        """Forget a connection."""
        ...

    def seconds(self) -> float:
        """Return the runtime's clock."""
        ...


class TargetConnection(Protocol):
    """Carry one request at a time to a backend server."""

    transport: Any = None

    def __init__(self, owner: ConnectionOwner) -> None:
        self._owner = owner
        self._reader = ResponseReader()
        self._receiver: ResponseReceiver | None = None
        self._request_written = True
        self._closed = False
        self.last_received_s = 0.0

    def connectionMade(self) -> None:  # noqa: N802
        """Start the life of the connection."""
        self.last_received_s = self._owner.seconds()
        self.transport.setTcpNoDelay(True)

    @property
    def is_closed(self) -> bool:
        """Tell whether the connection can no longer be used."""
        return self._closed

    def send(
        self,
        data: bytes,
        receiver: ResponseReceiver,
        *,
        to_head_request: bool,
        is_complete: bool,
    ) -> None:
        """Write the start of a request, or all of it when ``is_complete``."""
        self._reader.expect(to_head_request=to_head_request)
        self._receiver = receiver
        self._request_written = is_complete
        write_at_once(self.transport, data)

    def send_more(self, data: bytes, *, is_complete: bool) -> None:
        """Write more of the request's body."""
        self._request_written = is_complete
        if data:
            write_at_once(self.transport, data)

    def abandon(self) -> None:
        """Give up the request and close: the connection is never used again."""
        self._receiver = None
        self.close()

    def close(self) -> None:
        """Close at once."""
        if not self._closed:
            self._closed = True
            self._owner.connection_closed(self)
            self.transport.abortConnection()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Pass on what the data brings of the answer."""
        if self._closed:
            return
        receiver = self._receiver
        if receiver is None:
            # Nobody asked: a late or crossed answer.
            self.close()
            return
        self.last_received_s = self._owner.seconds()
        try:
            piece = self._reader.feed(data)
        except InvalidResponseError as error:
            self._fail(error)
            return
        if piece is None:
            return
        if piece.ended:
            self._receiver = None
            self._end_request(receiver, piece)
        else:
            receiver.response_received(piece)

    def _end_request(self, receiver: ResponseReceiver, piece: ResponsePart) -> None:
        reusable = self._request_written and self._reader.keeps_alive
        # Idle first: what the answer sets off may need a connection at once.
        if reusable:
            self._owner.connection_idle(self)
        else:
            self.close()
        receiver.response_received(piece)

    def connectionLost(self, reason: Failure | None = None) -> None:  # noqa: N802
        """Fail a request that still waits."""
        if not self._closed:
            self._closed = True
            self._owner.connection_closed(self)
        if self._receiver is not None:
            self._fail(TruncatedResponseError("the connection ended before the answer"))

    def pauseProducing(self) -> None:  # noqa: N802
        """Stop reading until the caller has taken what it was sent."""
        # After the end of an answer nobody would resume an idle connection.
        if self._receiver is not None and not self._closed:
            self.transport.pauseProducing()

    def resumeProducing(self) -> None:  # noqa: N802
        """Read on."""
        if not self._closed:
            self.transport.resumeProducing()

    def stopProducing(self) -> None:  # noqa: N802
        """Stop for good: the caller is gone; its own loss ends the request."""

    def _fail(self, error: BackendServerError) -> None:
        receiver = self._receiver
        self._receiver = None
        self.close()
        if receiver is not None:
            receiver.response_failed(error)
