"""Stream a caller's body to a target, at the target's pace."""

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
    """Send on the body of one request as it comes."""

    def __init__(
        self,
        caller: CallerConnection,
        incoming: IncomingRequest,
        connection: TargetConnection,
    ) -> None:
        self._caller = caller
        self._incoming = incoming
        self._connection = connection
        self._complete = False

    def start(self) -> None:
        """Let the target's connection pace the caller, and send what is here."""
        self._connection.transport.registerProducer(self, True)
        self._caller.resume_body()
        self.progressed()

    def progressed(self) -> None:
        """Send on what came of the body."""
        if self._complete:
            return
        data = self._incoming.take()
        whole = self._incoming.complete
        if self._incoming.head.chunked:
            data = encode_chunk(data) + (LAST_CHUNK if whole else b"")
        self._connection.send_more(data, whole=whole)
        if whole:
            self._complete = True
            self._connection.transport.unregisterProducer()

    def pauseProducing(self) -> None:  # noqa: N802
        """Read no more from the caller."""
        self._caller.pause_body()

    def resumeProducing(self) -> None:  # noqa: N802
        """Read on."""
        self._caller.resume_body()

    def stopProducing(self) -> None:  # noqa: N802
        """Leave the caller's connection open: it still gets an answer."""
        self._caller.resume_body()
