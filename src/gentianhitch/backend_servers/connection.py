"""Connection to a backend server that streams responses."""

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
from gentianhitch.silence import SilenceLimit
from gentianhitch.writing import write_at_once


class ResponseReceiver(TypingProtocol):
    """Receives the response to one request."""

    def response_received(self, part: ResponsePart) -> None:
        """Handle the next part of the response; the last one has ``ended`` set."""
        ...

    def response_failed(self, error: BackendServerError) -> None:
        """Handle the failure of the request; no further part will follow."""
        ...


class ConnectionOwner(TypingProtocol):
    """Pool to which connections are returned."""

    def connection_idle(self, connection: TargetConnection) -> None:
        """Make a connection available for another request."""
        ...

    def connection_closed(self, connection: TargetConnection) -> None:
        """Remove a connection that was closed or lost."""
        ...

    def seconds(self) -> float:
        """Return the time of the clock in seconds."""
        ...


class TargetConnection(Protocol):
    """Sends one request at a time to a backend server and parses the response."""

    transport: Any = None

    def __init__(self, owner: ConnectionOwner) -> None:
        self._owner = owner
        self._reader = ResponseReader()
        self._receiver: ResponseReceiver | None = None
        self._is_request_written = True
        self._is_closed = False
        self.last_received_s = 0.0

    def connectionMade(self) -> None:  # noqa: N802
        """Record the time, as if data had been received, and disable Nagle's delay."""
        self.last_received_s = self._owner.seconds()
        self.transport.setTcpNoDelay(True)
        self._silence_limit = SilenceLimit(self.transport)

    def update_silence_limit(self, now: float) -> None:
        """Adapt the limit for silence while a request is pending."""
        if self._receiver is not None or self._silence_limit.is_extended:
            self._silence_limit.update(now)

    @property
    def is_closed(self) -> bool:
        """Return whether the connection can no longer be used."""
        return self._is_closed

    def send(
        self,
        data: bytes,
        receiver: ResponseReceiver,
        *,
        to_head_request: bool,
        is_complete: bool,
    ) -> None:
        """Write the start of a request, or all of it if ``is_complete``."""
        self._reader.expect(to_head_request=to_head_request)
        self._receiver = receiver
        self._is_request_written = is_complete
        write_at_once(self.transport, data)

    def send_more(self, data: bytes, *, is_complete: bool) -> None:
        """Write more of the request body; the last part has ``is_complete`` set."""
        self._is_request_written = is_complete
        if data:
            write_at_once(self.transport, data)

    def abandon(self) -> None:
        """Cancel the request without notifying its receiver, and close."""
        self._receiver = None
        self.close()

    def close(self) -> None:
        """Reset the connection and remove it from its pool."""
        if not self._is_closed:
            self._is_closed = True
            self._owner.connection_closed(self)
            self.transport.abortConnection()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parse the data and pass the next response part to the receiver."""
        if self._is_closed:
            return
        receiver = self._receiver
        if receiver is None:
            # No request is pending: a late response, or that of another request.
            self.close()
            return
        self.last_received_s = self._owner.seconds()
        try:
            part = self._reader.feed(data)
        except InvalidResponseError as error:
            self._fail(error)
            return
        if part is None:
            return
        if part.ended:
            self._receiver = None
            self._end_request(receiver, part)
        else:
            receiver.response_received(part)

    def _end_request(self, receiver: ResponseReceiver, part: ResponsePart) -> None:
        is_reusable = self._is_request_written and self._reader.keeps_alive
        # Return to the pool first: the receiver may need a connection at once.
        if is_reusable:
            self._owner.connection_idle(self)
        else:
            self.close()
        receiver.response_received(part)

    def connectionLost(self, reason: Failure | None = None) -> None:  # noqa: N802
        """Fail the pending request, if any."""
        if not self._is_closed:
            self._is_closed = True
            self._owner.connection_closed(self)
        if self._receiver is not None:
            self._fail(TruncatedResponseError("the connection ended before the answer"))

    def pauseProducing(self) -> None:  # noqa: N802
        """Stop reading while the caller's send buffer is full."""
        # After the end of a response, nothing would resume an idle connection.
        if self._receiver is not None and not self._is_closed:
            self.transport.pauseProducing()

    def resumeProducing(self) -> None:  # noqa: N802
        """Resume reading."""
        if not self._is_closed:
            self.transport.resumeProducing()

    def stopProducing(self) -> None:  # noqa: N802
        """Do nothing: the loss of the caller's connection cancels the request."""

    def _fail(self, error: BackendServerError) -> None:
        receiver = self._receiver
        self._receiver = None
        self.close()
        if receiver is not None:
            receiver.response_failed(error)
