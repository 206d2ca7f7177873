"""Stream a request body to a backend server with backpressure."""

from __future__ import annotations

from typing import TYPE_CHECKING

from twisted.internet.interfaces import IPushProducer
from zope.interface import implementer

from gentianhitch.backend_servers.connection import TargetConnection
from gentianhitch.callers.encoding import LAST_CHUNK
from gentianhitch.callers.encoding import encode_chunk
from gentianhitch.callers.incoming import IncomingRequest

if TYPE_CHECKING:
    from gentianhitch.callers.connection import CallerConnection


@implementer(IPushProducer)
class Upload:
    """Forwards the body of one request while it is being received."""

    def __init__(
        self,
        caller: CallerConnection,
        incoming: IncomingRequest,
        connection: TargetConnection,
    ) -> None:
        self._caller = caller
        self._incoming = incoming
        self._connection = connection
        self._is_done = False

    def start(self) -> None:
        """Register for backpressure of the connection and send the buffered body."""
        self._connection.transport.registerProducer(self, True)
        self._caller.resume_body()
        self.forward()

    def forward(self) -> None:
        """Forward the body bytes that were received since the last call."""
        if self._is_done:
            return
        data = self._incoming.take()
        is_complete = self._incoming.complete
        if self._incoming.head.chunked:
            data = encode_chunk(data) + (LAST_CHUNK if is_complete else b"")
        self._connection.send_more(data, is_complete=is_complete)
        if is_complete:
            self._is_done = True
            self._connection.transport.unregisterProducer()

    def pauseProducing(self) -> None:  # noqa: N802
        """Stop reading from the caller while the server's send buffer is full."""
        self._caller.pause_body()

    def resumeProducing(self) -> None:  # noqa: N802
        """Resume reading from the caller."""
        self._caller.resume_body()

    def stopProducing(self) -> None:  # noqa: N802
        """Resume reading: the caller's connection stays open for a response."""
        self._caller.resume_body()
