"""One keep-alive connection of a caller, over the httptools parser."""

from __future__ import annotations

import attrs
import httptools
from twisted.internet.defer import Deferred
from twisted.internet.protocol import Protocol
from twisted.python.failure import Failure

from gentianhitch.errors import GentianhitchError


class ConnectionBrokenError(GentianhitchError):
    """The connection ended before the whole answer had come."""


@attrs.define
class Answer:
    """Hold one whole answer; header names are in lower case."""

    status: int
    headers_by_name: dict[bytes, bytes]
    body: bytes

    @property
    def outcome(self) -> str | None:
        """Return the ``Gentianhitch-Outcome`` of a refusal."""
        value = self.headers_by_name.get(b"gentianhitch-outcome")
        return value.decode("ascii", "replace") if value is not None else None


class CallerConnection(Protocol):
    """Send one request at a time and collect its whole answer."""

    def __init__(self) -> None:
        self.usable = False
        self._waiting: Deferred[Answer] | None = None
        self._reset()

    def _reset(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._headers: dict[bytes, bytes] = {}
        self._chunks: list[bytes] = []

    def connectionMade(self) -> None:  # noqa: N802
        """Note that requests may be sent."""
        self.usable = True

    def send(self, request: bytes) -> Deferred[Answer]:
        """Write a request and return its answer; fail with ConnectionBrokenError."""
        self._reset()
        self._waiting = Deferred(lambda _: self.abort())
        waiting = self._waiting
        assert self.transport is not None
        self.transport.write(request)
        return waiting

    def abort(self) -> None:
        """Close at once; an abandoned connection is never used again."""
        self.usable = False
        if self.transport is not None:
            self.transport.abortConnection()  # type: ignore[attr-defined]

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Feed the parser; bytes that belong to no request end the connection."""
        if self._waiting is None:
            self.abort()
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._fail(f"malformed answer: {error}")

    def connectionLost(self, reason: Failure | None = None) -> None:  # noqa: N802
        """Fail the request that was waiting."""
        self._fail("connection closed before the whole answer")

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep a header (parser callback)."""
        self._headers[name.lower()] = value

    def on_body(self, chunk: bytes) -> None:
        """Keep a part of the body (parser callback)."""
        self._chunks.append(chunk)

    def on_message_complete(self) -> None:
        """Give out the whole answer (parser callback)."""
        status = self._parser.get_status_code()
        if not self._parser.should_keep_alive():
            self.usable = False
        answer = Answer(status, self._headers, b"".join(self._chunks))
        waiting, self._waiting = self._waiting, None
        if waiting is not None and not waiting.called:
            waiting.callback(answer)

    def _fail(self, cause: str) -> None:
        self.usable = False
        waiting, self._waiting = self._waiting, None
        if waiting is not None and not waiting.called:
            waiting.errback(ConnectionBrokenError(cause))
        if self.transport is not None:
            self.transport.abortConnection()  # type: ignore[attr-defined]
