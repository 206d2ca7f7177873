"""Read the answers of one connection whole, and tell them apart by request id."""

from __future__ import annotations

import attrs
import httptools

from gentianhitch.backend_servers.errors import InvalidResponseError
from gentianhitch.backend_servers.responses import STATUSES_WITHOUT_BODY
from gentianhitch.backend_servers.responses import Headers

MAX_HEAD_BYTES = 64 * 1024
"""Four times the longest head that callers may send by default."""

MAX_BUFFERED_BYTES = 32 * 1024 * 1024
"""A sixth of the memory of the smallest instances; answers are copied on their way."""

MAX_SPARED_BYTES = 256 * 1024
"""Shorter answers go on when memory is short: they did not take it."""


@attrs.define(eq=False)
class ResponseMemory:
    """Count what unfinished answers hold, over all connections of an instance."""

    buffered: int = 0

    @property
    def is_full(self) -> bool:
        """Tell whether an unfinished answer must be given up."""
        return self.buffered > MAX_BUFFERED_BYTES


@attrs.define
class CompleteResponse:
    """One complete answer; header names are as sent."""

    status: int
    reason: bytes
    headers: Headers
    body: bytes
    keeps_alive: bool

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header, given in lower case."""
        for each, value in self.headers:
            if each.lower() == name:
                return value
        return None


class CompleteResponseReader:
    """Collect answers; interim ones are dropped."""

    def __init__(self, memory: ResponseMemory) -> None:
        self._memory = memory
        self._parser = httptools.HttpResponseParser(self)
        self._answers: list[CompleteResponse] = []
        self._size = 0
        self._clear()

    def _clear(self) -> None:
        self._reason = b""
        self._headers: Headers = []
        self._parts: list[bytes] = []
        self._status = 0
        self._framed = False
        self._in_body = False
        self._keeps_alive = False

    def feed(self, data: bytes) -> list[CompleteResponse]:
        """Return the answers that ``data`` completes; raise InvalidResponseError.

        Answers completed before the fault are in the error's ``answers``.
        """
        self._answers = []
        self._hold(len(data))
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            wrong = InvalidResponseError(f"malformed answer: {error}")
            wrong.answers = tuple(self._answers)
            raise wrong from error
        if self._answers:
            self.release()
        elif not self._in_body and self._size > MAX_HEAD_BYTES:
            raise InvalidResponseError("the head of the answer is too long")
        elif self._memory.is_full and self._size > MAX_SPARED_BYTES:
            raise InvalidResponseError("unfinished answers take too much memory")
        return self._answers

    def release(self) -> None:
        """Note that nothing of an unfinished answer is held any more."""
        self._hold(-self._size)

    def _hold(self, size: int) -> None:
        self._size += size
        self._memory.buffered += size

    def end(self) -> CompleteResponse | None:
        """Return the answer that a clean close of the connection completes."""
        if not self._in_body or self._framed:
            return None
        return self._answer()

    @property
    def is_between_responses(self) -> bool:
        """Tell whether nothing of an unfinished answer has come."""
        return not self._in_body and not self._reason and not self._headers

    def on_status(self, reason: bytes) -> None:
        """Keep the reason phrase."""
        self._reason += reason

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep one header; trailers are dropped."""
        if not self._in_body:
            self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Note how the body ends."""
        self._status = self._parser.get_status_code()
        if self._status < 200:
            return
        self._in_body = True
        self._keeps_alive = bool(self._parser.should_keep_alive())
        names = {name.lower() for name, _ in self._headers}
        self._framed = (
            b"content-length" in names
            or b"transfer-encoding" in names
            or self._status in STATUSES_WITHOUT_BODY
        )

    def on_body(self, data: bytes) -> None:
        """Keep body bytes."""
        self._parts.append(data)

    def on_message_complete(self) -> None:
        """Keep a complete answer."""
        if self._in_body:
            self._answers.append(self._answer())
        self._clear()

    def _answer(self) -> CompleteResponse:
        return CompleteResponse(
            self._status,
            self._reason,
            self._headers,
            b"".join(self._parts),
            self._keeps_alive and self._framed,
        )
