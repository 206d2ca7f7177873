"""Parse responses of backend servers as they are received."""

from __future__ import annotations

import re

import attrs
import httptools

from gentianhitch.backend_servers.errors import InvalidResponseError

MAX_RESPONSE_HEAD_BYTES = 64 * 1024
STATUSES_WITHOUT_BODY = frozenset({204, 304})
STATUSES = range(100, 600)
"""The classes of RFC 9110; the parser accepts any three digits."""

_CONTROL_BYTE = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")
"""Not allowed in a reason phrase (RFC 9112, section 4); the parser accepts most."""

Headers = list[tuple[bytes, bytes]]


@attrs.define
class ResponseHead:
    """Status and headers of a response.

    ``content_length`` is None when the body is chunked. ``has_body`` is False
    if the status or the request method excludes a body. ``request_id`` is the echoed
    id of the request, ``shed`` the header that a server sets when it sheds load.
    """

    status: int
    reason: bytes
    headers: Headers
    content_length: int | None
    has_body: bool
    request_id: bytes | None
    shed: bytes | None


def check_status_line(status: int, reason: bytes) -> None:
    """Raise InvalidResponseError for what the parser accepts but HTTP does not."""
    if status not in STATUSES:
        raise InvalidResponseError(f"the status {status:03d} does not exist")
    if _CONTROL_BYTE.search(reason):
        raise InvalidResponseError("the reason phrase has a control byte")


@attrs.define
class ResponsePart:
    """The data of one read.

    ``head`` is set with the first part, ``ended`` with the last one.
    """

    head: ResponseHead | None
    body: bytes
    ended: bool


class ResponseReader:
    """Parses the responses of one connection and checks where each ends."""

    def __init__(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._is_to_head_request = False
        self._has_no_body = False
        self._reset()

    def _reset(self) -> None:
        self._reason = b""
        self._headers: Headers = []
        self._head: ResponseHead | None = None
        self._is_head_complete = False
        self._head_bytes = 0
        self._parts: list[bytes] = []
        self._is_ended = False
        self._has_surplus = False
        self._keeps_alive = False

    def expect(self, *, to_head_request: bool) -> None:
        """Prepare for the response to the next request."""
        if self._has_no_body:
            # The parser still expects a body that such a response doesn't have.
            self._parser = httptools.HttpResponseParser(self)
            self._has_no_body = False
        self._is_to_head_request = to_head_request
        self._reset()

    def feed(self, data: bytes) -> ResponsePart | None:
        """Parse ``data``; return None while the head is incomplete.

        Raise InvalidResponseError if the response is malformed or too long.
        """
        if self._is_ended:
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
        if self._has_surplus:
            raise InvalidResponseError("bytes after the end of the answer")
        if not self._is_head_complete:
            self._head_bytes += len(data)
            if self._head_bytes > MAX_RESPONSE_HEAD_BYTES:
                raise InvalidResponseError("the head of the answer is too large")
            return None
        part = ResponsePart(self._head, b"".join(self._parts), self._is_ended)
        self._head = None
        self._parts = []
        return part

    @property
    def keeps_alive(self) -> bool:
        """Return whether the connection may carry another request."""
        return self._keeps_alive

    def on_message_begin(self) -> None:
        """Detect data after the end of the expected response."""
        if self._is_ended:
            self._has_surplus = True

    def on_status(self, reason: bytes) -> None:
        """Append a part of the reason phrase."""
        self._reason += reason

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store one header; trailers are dropped."""
        if not self._is_head_complete:
            self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Build the head, except for interim responses (1xx)."""
        status = self._parser.get_status_code()
        check_status_line(status, self._reason)
        if status < 200:
            if status == 101:
                raise InvalidResponseError("the answer switches protocols")
            return
        self._head = self._build_head(status)
        self._is_head_complete = True
        # The parser resets this at the end of the response.
        self._keeps_alive = bool(self._parser.should_keep_alive())
        if not self._head.has_body:
            self._has_no_body = True
            self._is_ended = True

    def on_body(self, data: bytes) -> None:
        """Buffer body bytes for the next part."""
        if not self._is_head_complete:
            raise InvalidResponseError("an interim answer has a body")
        if self._has_no_body:
            raise InvalidResponseError("an answer that can't have a body has one")
        self._parts.append(data)

    def on_message_complete(self) -> None:
        """Record the end of the response, or drop an interim one."""
        if self._is_head_complete:
            self._is_ended = True
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
        has_body = not self._is_to_head_request and status not in STATUSES_WITHOUT_BODY
        if has_body and length is None and not chunked:
            raise InvalidResponseError("the answer has neither length nor chunks")
        return ResponseHead(
            status, self._reason, self._headers, length, has_body, request_id, shed
        )


def _is_chunked(transfer_encoding: bytes) -> bool:
    if transfer_encoding.strip().lower() != b"chunked":
        raise InvalidResponseError("the answer has an unknown transfer encoding")
    return True
