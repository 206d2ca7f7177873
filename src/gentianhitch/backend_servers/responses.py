"""Read answers of backend servers from bytes."""

from __future__ import annotations

import attrs
import httptools

from gentianhitch.backend_servers.errors import InvalidResponseError

MAX_RESPONSE_HEAD_BYTES = 64 * 1024
STATUSES_WITHOUT_BODY = frozenset({204, 304})

Headers = list[tuple[bytes, bytes]]


@attrs.define
class ResponseHead:
    """Status and headers of an answer.

    ``content_length`` is None when the body is chunked. ``has_body`` is False
    when the status or the method leaves no body.
    """

    status: int
    reason: bytes
    headers: Headers
    content_length: int | None
    has_body: bool
    request_id: bytes | None
    shed: bytes | None


@attrs.define
class ResponsePart:
    """What one read brought: a head or None, body bytes, and whether it ended."""

    head: ResponseHead | None
    body: bytes
    ended: bool


class ResponseReader:
    """Read the answers of one connection, each to its checked end."""

    def __init__(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._to_head_request = False
        self._bodiless = False
        self._clear()

    def _clear(self) -> None:
        self._reason = b""
        self._headers: Headers = []
        self._head: ResponseHead | None = None
        self._is_head_complete = False
        self._head_bytes = 0
        self._parts: list[bytes] = []
        self._ended = False
        self._surplus = False
        self._keeps_alive = False

    def expect(self, *, to_head_request: bool) -> None:
        """Prepare for the answer to the next request."""
        if self._bodiless:
            # The parser can't be told that such an answer has no body.
            self._parser = httptools.HttpResponseParser(self)
            self._bodiless = False
        self._to_head_request = to_head_request
        self._clear()

    def feed(self, data: bytes) -> ResponsePart | None:
        """Parse ``data``; return None while the head is incomplete.

        Raise InvalidResponseError if the response is malformed or too long.
        """
        if self._ended:
            raise InvalidResponseError("bytes after the end of the answer")
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserCallbackError as error:
            if isinstance(error.__context__, InvalidResponseError):
                raise error.__context__ from error
            raise
        except httptools.HttpParserUpgrade as error:
            raise InvalidResponseError("the answer switches protocols") from error
        except httptools.HttpParserError as error:
            raise InvalidResponseError(f"malformed answer: {error}") from error
        if self._surplus:
            raise InvalidResponseError("bytes after the end of the answer")
        if not self._is_head_complete:
            self._head_bytes += len(data)
            if self._head_bytes > MAX_RESPONSE_HEAD_BYTES:
                raise InvalidResponseError("the head of the answer is too large")
            return None
        piece = ResponsePart(self._head, b"".join(self._parts), self._ended)
        self._head = None
        self._parts = []
        return piece

    @property
    def keeps_alive(self) -> bool:
        """Tell whether the connection may carry another request."""
        return self._keeps_alive

    def on_message_begin(self) -> None:
        """Note the start of an answer."""
        if self._ended:
            self._surplus = True

    def on_status(self, reason: bytes) -> None:
        """Keep the reason phrase."""
        self._reason += reason

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep one header; trailers are dropped."""
        if not self._is_head_complete:
            self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Build the head, except of an interim answer."""
        status = self._parser.get_status_code()
        if status < 200:
            if status == 101:
                raise InvalidResponseError("the answer switches protocols")
            return
        self._head = self._build_head(status)
        self._is_head_complete = True
        # The parser forgets this at the end of the answer.
        self._keeps_alive = bool(self._parser.should_keep_alive())
        if not self._head.has_body:
            self._bodiless = True
            self._ended = True

    def on_body(self, data: bytes) -> None:
        """Keep body bytes."""
        if self._bodiless:
            raise InvalidResponseError("an answer that can't have a body has one")
        self._parts.append(data)

    def on_message_complete(self) -> None:
        """Note the end, or drop an interim answer."""
        if self._is_head_complete:
            self._ended = True
        else:
            self._reason = b""
            self._headers = []

    def _build_head(self, status: int) -> ResponseHead:
        length: int | None = None
        chunked = False
        request_id = shed = None
        for name, value in self._headers:
            lowered = name.lower()
            if lowered == b"content-length":
                length = int(value)
            elif lowered == b"transfer-encoding":
                chunked = _is_chunked(value)
            elif lowered == b"x-request-id":
                request_id = value
            elif lowered == b"shed":
                shed = value
        has_body = not self._to_head_request and status not in STATUSES_WITHOUT_BODY
        if has_body and length is None and not chunked:
            raise InvalidResponseError("the answer has neither length nor chunks")
        return ResponseHead(
            status, self._reason, self._headers, length, has_body, request_id, shed
        )


def _is_chunked(transfer_encoding: bytes) -> bool:
    if transfer_encoding.strip().lower() != b"chunked":
        raise InvalidResponseError("the answer has an unknown transfer encoding")
    return True
