"""Parse responses of backend servers, each buffered until it is complete."""

from __future__ import annotations

from typing import Any

import attrs
import httptools

from gentianhitch.backend_servers.errors import InvalidResponseError
from gentianhitch.backend_servers.responses import STATUSES_WITHOUT_BODY
from gentianhitch.backend_servers.responses import Headers
from gentianhitch.backend_servers.responses import check_status_line
from gentianhitch.buffers import HEADER_MEMORY_BYTES

MAX_HEAD_BYTES = 64 * 1024
"""Four times the longest request head that callers may send by default."""


@attrs.define
class CompleteResponse:
    """One complete response; header names are in the case sent."""

    status: int
    reason: bytes
    headers: Headers
    body: bytes
    keeps_alive: bool

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of the header whose lower-case name is ``name``."""
        for header_name, value in self.headers:
            if header_name.lower() == name:
                return value
        return None


class CompleteResponseReader:
    """Parses the responses of one connection; interim ones (1xx) are dropped."""

    def __init__(self) -> None:
        self._parser: Any = httptools.HttpResponseParser(self)
        self._responses: list[CompleteResponse] = []
        self._head_bytes = 0
        self._clear()

    def _clear(self) -> None:
        self._reason = b""
        self._headers: Headers = []
        self._body = bytearray()
        self._trailer_bytes = 0
        self._status = 0
        self._framed = False
        self._in_body = False
        self._keeps_alive = False

    def feed(self, data: bytes) -> list[CompleteResponse]:
        """Return the responses that ``data`` completes; raise InvalidResponseError.

        The error's ``responses`` holds those that preceded malformed data.
        """
        self._responses = []
        if not self._in_body:
            self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            invalid = InvalidResponseError(f"malformed response: {error}")
            invalid.responses = tuple(self._responses)
            raise invalid from error
        if self._responses:
            self._head_bytes = 0
        elif not self._in_body and self._head_bytes > MAX_HEAD_BYTES:
            raise InvalidResponseError(
                f"response head exceeds {MAX_HEAD_BYTES} bytes: got {self._head_bytes}"
            )
        return self._responses

    @property
    def buffered_bytes(self) -> int:
        """Return about how much memory the incomplete response takes."""
        headers = HEADER_MEMORY_BYTES * len(self._headers)
        return self._head_bytes + headers + len(self._body)

    def release(self) -> None:
        """Free the buffers; nothing may be fed afterwards.

        The parser and the reader refer to each other, so that they would be kept until
        the next run of the garbage collector, which large buffers don't hasten.
        """
        self._parser = None
        self._responses = []
        self._head_bytes = 0
        self._clear()

    def end(self) -> CompleteResponse | None:
        """Return the response that a clean close of the connection completes, if any.

        That is one with neither length nor chunks, of which the head was received.
        """
        return self._build() if self.is_until_close else None

    @property
    def is_until_close(self) -> bool:
        """Return whether a response is being read that ends with the connection."""
        return self._in_body and not self._framed

    @property
    def is_between_responses(self) -> bool:
        """Return whether no part of a further response was received."""
        return not self._in_body and not self._reason and not self._headers

    def on_status(self, reason: bytes) -> None:
        """Keep the reason phrase."""
        self._reason += reason

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep one header; trailers are dropped."""
        if not self._in_body:
            self._headers.append((name, value))
            return
        self._trailer_bytes += len(name) + len(value)
        if self._trailer_bytes > MAX_HEAD_BYTES:
            raise InvalidResponseError(f"trailers exceed {MAX_HEAD_BYTES} bytes")

    def on_headers_complete(self) -> None:
        """Store the status and determine how the body ends."""
        self._status = self._parser.get_status_code()
        check_status_line(self._status, self._reason)
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
        if not self._in_body:
            raise InvalidResponseError("an interim response has a body")
        self._body += data

    def on_message_complete(self) -> None:
        """Add the complete response to those that ``feed`` returns."""
        if self._in_body:
            self._responses.append(self._build())
        self._clear()

    def _build(self) -> CompleteResponse:
        return CompleteResponse(
            self._status,
            self._reason,
            self._headers,
            bytes(self._body),
            self._keeps_alive and self._framed,
        )
