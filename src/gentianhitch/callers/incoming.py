"""Parse callers' requests while their bodies are still being received."""

from __future__ import annotations

from typing import Protocol as TypingProtocol

import attrs
import httptools

from gentianhitch.callers.errors import RequestError
from gentianhitch.callers.refusals import Cause
from gentianhitch.callers.requests import Headers
from gentianhitch.callers.requests import RequestHead
from gentianhitch.callers.requests import read_head
from gentianhitch.settings import LimitSettings

HEADER_OVERHEAD_BYTES = 4
"""The colon, the space and the line end, which the parser doesn't report."""


class BodyListener(TypingProtocol):
    """Receives notifications about the body of a request."""

    def body_updated(self) -> None:
        """Handle that body bytes were received, or that the body ended or failed."""
        ...


@attrs.define(eq=False)
class IncomingRequest:
    """One request as far as it has been received; the body is buffered until taken.

    ``fault`` is set when the remaining body will not be read.
    """

    head: RequestHead
    max_body_bytes: int
    received_bytes: int = 0
    buffered_bytes: int = 0
    complete: bool = False
    fault: Cause | None = None
    listener: BodyListener | None = None
    _parts: list[bytes] = attrs.Factory(list)

    def receive(self, data: bytes) -> None:
        """Buffer body bytes; fail if the body exceeds ``max_body_bytes``."""
        self.received_bytes += len(data)
        if self.received_bytes > self.max_body_bytes:
            self.fail(Cause.LARGE_BODY)
            return
        self.buffered_bytes += len(data)
        self._parts.append(data)

    def fail(self, cause: Cause) -> None:
        """Record that the remaining body will not be read; the first cause is kept."""
        if not self.complete and self.fault is None:
            self.fault = cause

    def peek(self) -> bytes:
        """Return the buffered body bytes without removing them."""
        body = b"".join(self._parts)
        self._parts = [body] if body else []
        return body

    def take(self) -> bytes:
        """Return the buffered body bytes and remove them from the buffer."""
        body = b"".join(self._parts)
        self._parts = []
        self.buffered_bytes = 0
        return body


class RequestReader:
    """Parses the requests of one connection, in order."""

    def __init__(self, limits: LimitSettings) -> None:
        self._limits = limits
        self._parser = httptools.HttpRequestParser(self)
        self._requests: list[IncomingRequest] = []
        self._current: IncomingRequest | None = None
        self._error: RequestError | None = None
        self._reset_head()

    def _reset_head(self) -> None:
        self._url = b""
        self._headers: Headers = []
        self._head_bytes = 0
        self._pending_head_bytes = 0

    @property
    def is_amid_request(self) -> bool:
        """Return whether a request has been received in part only."""
        return self._current is not None or self._pending_head_bytes > 0

    @property
    def unfinished(self) -> IncomingRequest | None:
        """Return the request whose body is still being received, if any."""
        return self._current

    def feed(self, data: bytes) -> list[IncomingRequest]:
        """Parse ``data`` and return the requests whose heads it completes.

        Errors are kept for ``take_error``.
        """
        self._requests = []
        if self._current is None:
            self._pending_head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserCallbackError as error:
            if not isinstance(error.__context__, RequestError):
                raise
            self._error = error.__context__
        except httptools.HttpParserUpgrade as upgrade:
            return self._decline_upgrade(data[upgrade.args[0] :])
        except httptools.HttpParserInvalidMethodError:
            self._error = RequestError(Cause.UNKNOWN_ROUTE, "unknown method")
        except httptools.HttpParserError as error:
            self._error = RequestError(Cause.MALFORMED, str(error))
        if self._pending_head_bytes > self._limits.max_head_bytes:
            self._error = RequestError(Cause.LARGE_HEAD)
        return self._requests

    def take_error(self) -> RequestError | None:
        """Return and clear the parse error; one within a body fails its request."""
        error, self._error = self._error, None
        if error is not None and self._current is not None:
            self._current.fail(error.cause)
            return None
        return error

    def _decline_upgrade(self, remaining: bytes) -> list[IncomingRequest]:
        """Ignore the Upgrade header and serve the request over HTTP/1.1 (RFC 9110)."""
        requests = self._requests
        head = requests[-1].head if requests else None
        if head is None or head.has_body or head.method == "CONNECT":
            # The parser takes such a request's body as data of the new protocol.
            self._requests = []
            self._error = RequestError(Cause.MALFORMED, "no protocol upgrade is known")
            return requests[:-1]
        self._parser = httptools.HttpRequestParser(self)
        return requests + self.feed(remaining) if remaining else requests

    def on_message_begin(self) -> None:
        """Count the request as unfinished, also if it starts amid fed data."""
        self._pending_head_bytes = max(self._pending_head_bytes, 1)

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target."""
        self._url += url
        self._add_head_bytes(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store one header; trailers are dropped."""
        self._add_head_bytes(len(name) + len(value) + HEADER_OVERHEAD_BYTES)
        if self._current is None:
            self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Check the head and start a request with it; raise RequestError."""
        if self._parser.get_http_version() != "1.1":
            raise RequestError(Cause.OLD_VERSION)
        head = read_head(
            self._parser.get_method().decode(),
            self._url,
            self._headers,
            keep_alive=bool(self._parser.should_keep_alive()),
        )
        self._current = IncomingRequest(head, self._limits.max_body_bytes)
        self._requests.append(self._current)
        self._reset_head()

    def on_body(self, data: bytes) -> None:
        """Buffer body bytes for the current request."""
        if self._current is not None:
            self._current.receive(data)

    def on_message_complete(self) -> None:
        """Mark the current request complete and prepare for the next head."""
        if self._current is not None:
            self._current.complete = True
            self._current = None
        self._reset_head()

    def _add_head_bytes(self, size: int) -> None:
        self._head_bytes += size
        if self._head_bytes > self._limits.max_head_bytes:
            raise RequestError(Cause.LARGE_HEAD)
