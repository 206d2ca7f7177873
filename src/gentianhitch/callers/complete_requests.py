"""Parse callers' requests, each buffered until it is complete."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import attrs
import httptools

from gentianhitch.buffers import HEADER_MEMORY_BYTES
from gentianhitch.callers.errors import RequestError
from gentianhitch.callers.refusals import Cause
from gentianhitch.callers.refusals import Refusal
from gentianhitch.callers.requests import HOP_BY_HOP
from gentianhitch.callers.requests import Headers
from gentianhitch.callers.requests import origin_form
from gentianhitch.proxy.model import CallerLimits

HEADER_OVERHEAD_BYTES = 4
"""The colon, the space and the line end, which the parser doesn't report."""

BEARER_PREFIX = b"bearer "
MAX_CHUNKS = 10_000
"""Each chunk takes processor time; bodies of the usual size have a few."""

MAX_DEADLINE_DIGITS = 12
DEFAULT_REMAINING_S = 30.0
"""Time allowed for requests without a deadline header."""

LARGE_BODY_BYTES = 8 * 1024
"""Smaller bodies are read whatever becomes of the request: a refusal before the body is
read closes the connection, which costs the caller more."""

GROWTH_FACTOR = 2
"""Bodies without a declared length are checked again when they have grown so much."""

CONNECT = b"CONNECT"
CONNECTION = b"connection"
UPGRADE = b"upgrade"

NOT_FORWARDED = HOP_BY_HOP | {b"authorization", b"content-length", b"expect"}


@attrs.frozen
class HeaderNames:
    """Names of the headers that the instance reads or sets, in the case sent."""

    request_id: bytes
    remaining_ms: bytes
    expected_server: bytes
    workspace: bytes
    signature: bytes
    not_executed: bytes
    server_leaving: bytes

    def reserved(self) -> frozenset[bytes]:
        """Return the names, in lower case, of the headers that callers may not set."""
        names = (self.remaining_ms, self.expected_server, self.workspace)
        return frozenset(name.lower() for name in names)


@attrs.define
class CallerRequest:
    """One complete request; ``headers`` are those to forward.

    ``remaining_s`` is the time that the caller allowed when it sent the request.
    ``key`` is the API key. ``counted_bytes`` of the body were checked before they were
    read; with a ``refusal``, the rest is not read.
    """

    method: bytes
    target: bytes
    host: str
    headers: Headers
    body: bytes
    keep_alive: bool
    request_id: bytes
    remaining_s: float
    key: str | None
    has_length: bool
    counted_bytes: int = 0
    refusal: Refusal | None = None

    @property
    def path(self) -> str:
        """Return the path without its query."""
        return self.target.partition(b"?")[0].decode("latin-1")


BodyCheck = Callable[[CallerRequest, int, int], Refusal | None]
"""Checks a request without its body, with the size of the body that is known so far and
how much of it was not checked before."""


def accept_body(request: CallerRequest, size: int, added: int) -> Refusal | None:
    """Read every body."""
    return None


class _BodyRefusedError(Exception):
    """Stops the parser: the body is not read."""


class CompleteRequestReader:
    """Parses the requests of one connection.

    ``awaits_continue`` is set while a caller delays the body until a 100 response.
    ``check_body`` is called for large bodies before they are read, and as they grow if
    they declare no length.
    """

    def __init__(
        self,
        names: HeaderNames,
        limits: CallerLimits,
        check_body: BodyCheck = accept_body,
    ) -> None:
        self._check_body = check_body
        self._names = names
        self._dropped = NOT_FORWARDED | names.reserved()
        self._limits = limits
        self._parser: Any = httptools.HttpRequestParser(self)
        self._requests: list[CallerRequest] = []
        self.awaits_continue = False
        self.is_amid_request = False
        self._clear()

    def _clear(self) -> None:
        self._url = b""
        self._headers: Headers = []
        self._head_bytes = 0
        self._body = bytearray()
        self._chunks = 0
        self._counted_bytes = 0
        self._has_declared_length = False
        self._method = b""
        self._keep_alive = False
        self._is_head_complete = False

    def feed(self, data: bytes) -> tuple[list[CallerRequest], RequestError | None]:
        """Return the requests that ``data`` completes, and a parse error after them."""
        self._requests = []
        return self._requests, self._parse(data)

    @property
    def buffered_bytes(self) -> int:
        """Return about how much memory the incomplete request takes."""
        headers = HEADER_MEMORY_BYTES * len(self._headers)
        return self._head_bytes + headers + len(self._body)

    def release(self) -> None:
        """Free the buffers; nothing may be fed afterwards.

        The parser and the reader refer to each other, so that they would be kept until
        the next run of the garbage collector, which large buffers don't hasten.
        """
        self._parser = None
        self._requests = []
        self.is_amid_request = False
        self._clear()

    def _parse(self, data: bytes) -> RequestError | None:
        while True:
            try:
                self._parser.feed_data(data)
                return None
            except httptools.HttpParserCallbackError as failure:
                if isinstance(failure.__context__, _BodyRefusedError):
                    return None
                if not isinstance(failure.__context__, RequestError):
                    raise
                return failure.__context__
            except httptools.HttpParserUpgrade as stop:
                (head_end,) = stop.args
            except httptools.HttpParserError as failure:
                return RequestError(Cause.MALFORMED, str(failure))
            if self._method == CONNECT:
                return RequestError(Cause.MALFORMED, "no tunnels are opened")
            # The parser stops after the head, before the body.
            data = self._encode_head_without_offer() + data[head_end:]
            self._parser = httptools.HttpRequestParser(self)

    def _encode_head_without_offer(self) -> bytes:
        """Encode the head of a request again, without its offer to upgrade."""
        version = self._parser.get_http_version().encode()
        lines = [b"%b %b HTTP/%b" % (self._method, self._url, version)]
        for name, value in self._headers:
            if name.lower() == CONNECTION:
                options = value.split(b",")
                value = b",".join(
                    option for option in options if option.strip().lower() != UPGRADE
                )
            if name.lower() != UPGRADE:
                lines.append(b"%b: %b" % (name, value))
        return b"\r\n".join(lines) + b"\r\n\r\n"

    def on_message_begin(self) -> None:
        """Discard the state of the previous request."""
        self._clear()
        self.is_amid_request = True

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target."""
        self._url += url
        self._add_head_bytes(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store one header; trailers are dropped."""
        self._add_head_bytes(len(name) + len(value) + HEADER_OVERHEAD_BYTES)
        if not self._is_head_complete:
            self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Store the method and check for expectations and transfer codings."""
        self._is_head_complete = True
        self._method = self._parser.get_method()
        self._keep_alive = bool(self._parser.should_keep_alive())
        self.awaits_continue = any(
            name.lower() == b"expect" and value.lower() == b"100-continue"
            for name, value in self._headers
        )
        codings = [
            value.strip().lower()
            for name, value in self._headers
            if name.lower() == b"transfer-encoding"
        ]
        if codings not in ([], [b"chunked"]):
            raise RequestError(Cause.MALFORMED, "only chunked transfer is known")
        length = self._declared_length()
        self._has_declared_length = length is not None
        if length is not None and not self._parser.should_upgrade():
            self._check_size(length)

    def _declared_length(self) -> int | None:
        for name, value in self._headers:
            if name.lower() == b"content-length":
                # The parser has refused anything else.
                return int(value)
        return None

    def _check_size(self, size: int) -> None:
        """Stop before the rest of the body is read if the request is refused."""
        if size <= max(LARGE_BODY_BYTES, GROWTH_FACTOR * self._counted_bytes):
            return
        request = self._build(b"")
        refusal = self._check_body(request, size, size - self._counted_bytes)
        self._counted_bytes = size
        if refusal is None:
            return
        request.refusal = refusal
        request.keep_alive = False
        self._requests.append(request)
        self._clear()
        self.awaits_continue = False
        self.is_amid_request = False
        raise _BodyRefusedError

    def on_chunk_header(self) -> None:
        """Count the chunks of the body; raise RequestError if there are too many."""
        self._chunks += 1
        if self._chunks > MAX_CHUNKS:
            raise RequestError(Cause.LARGE_BODY, f"more than {MAX_CHUNKS} chunks")

    def on_body(self, data: bytes) -> None:
        """Buffer body bytes; raise RequestError if there are too many."""
        if len(self._body) + len(data) > self._limits.max_body_bytes:
            raise RequestError(Cause.LARGE_BODY)
        self._body += data
        if not self._has_declared_length:
            self._check_size(len(self._body))

    def on_message_complete(self) -> None:
        """Add the complete request to those that ``feed`` returns."""
        if self._parser.should_upgrade():
            # Only the head is complete; it is parsed again.
            return
        self.awaits_continue = False
        self._requests.append(self._build(bytes(self._body)))
        self._clear()
        self.is_amid_request = False

    def _add_head_bytes(self, size: int) -> None:
        self._head_bytes += size
        if self._head_bytes > self._limits.max_head_bytes:
            raise RequestError(Cause.LARGE_HEAD)

    def _build(self, body: bytes) -> CallerRequest:
        values: dict[bytes, bytes] = {}
        for name, value in self._headers:
            values.setdefault(name.lower(), value)
        connection_options = b",".join(
            value.lower() for name, value in self._headers if name.lower() == CONNECTION
        )
        dropped = self._dropped | {
            option.strip() for option in connection_options.split(b",")
        }
        host = values.get(b"host", b"").decode("latin-1").lower()
        return CallerRequest(
            method=self._method,
            target=origin_form(self._url),
            host=host.partition(":")[0],
            headers=[
                (name, value)
                for name, value in self._headers
                if name.lower() not in dropped
            ],
            body=body,
            keep_alive=self._keep_alive,
            request_id=values.get(self._names.request_id.lower(), b""),
            remaining_s=_remaining_s(values.get(self._names.remaining_ms.lower())),
            key=_bearer_key(values.get(b"authorization")),
            has_length=b"content-length" in values or b"transfer-encoding" in values,
            counted_bytes=self._counted_bytes,
        )


def _remaining_s(value: bytes | None) -> float:
    if value is None:
        return DEFAULT_REMAINING_S
    digits = value.strip()
    if not digits.isdigit() or len(digits) > MAX_DEADLINE_DIGITS:
        raise RequestError(Cause.BAD_HEADER, "the deadline is no whole number")
    return int(digits) / 1000


def _bearer_key(value: bytes | None) -> str | None:
    if value is None or value[: len(BEARER_PREFIX)].lower() != BEARER_PREFIX:
        return None
    return value[len(BEARER_PREFIX) :].strip().decode("latin-1")
