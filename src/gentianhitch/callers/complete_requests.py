"""Read callers' requests whole, in the order in which they come."""

from __future__ import annotations

import attrs
import httptools

from gentianhitch.callers.errors import RequestError
from gentianhitch.callers.refusals import Cause
from gentianhitch.callers.requests import HOP_BY_HOP
from gentianhitch.callers.requests import Headers
from gentianhitch.callers.requests import origin_form
from gentianhitch.proxy.model import CallerLimits

HEADER_OVERHEAD_BYTES = 4
"""The colon, the space and the line end of one header."""

BEARER = b"bearer "
MAX_DEADLINE_DIGITS = 12
DEFAULT_REMAINING_S = 30.0
"""How long a caller waits that does not say so."""

NOT_FORWARDED = HOP_BY_HOP | {b"authorization", b"content-length", b"expect"}


@attrs.frozen
class HeaderNames:
    """Names of the headers that the instance reads or sets, as they are sent."""

    request_id: bytes
    remaining_ms: bytes
    expected_server: bytes
    workspace: bytes
    signature: bytes
    not_executed: bytes

    def own(self) -> frozenset[bytes]:
        """Return the headers, in lower case, that no caller may set."""
        names = (self.remaining_ms, self.expected_server, self.workspace)
        return frozenset(name.lower() for name in names)


@attrs.define
class CallerRequest:
    """One whole request; ``headers`` are those to forward.

    ``remaining_s`` is how long the caller still waited when it sent the request.
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

    @property
    def path(self) -> str:
        """Return the path without its query."""
        return self.target.partition(b"?")[0].decode("latin-1")


class CompleteRequestReader:
    """Collect the requests of one connection."""

    def __init__(self, names: HeaderNames, limits: CallerLimits) -> None:
        self._names = names
        self._dropped = NOT_FORWARDED | names.own()
        self._limits = limits
        self._parser = httptools.HttpRequestParser(self)
        self._requests: list[CallerRequest] = []
        self.awaits_continue = False
        self.is_amid_request = False
        self._clear()

    def _clear(self) -> None:
        self._url = b""
        self._headers: Headers = []
        self._head_bytes = 0
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._method = b""
        self._keep_alive = False
        self._head_seen = False

    def feed(self, data: bytes) -> tuple[list[CallerRequest], RequestError | None]:
        """Return the requests that ``data`` completes, and what is wrong after."""
        self._requests = []
        error: RequestError | None = None
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserCallbackError as failure:
            if not isinstance(failure.__context__, RequestError):
                raise
            error = failure.__context__
        except httptools.HttpParserUpgrade:
            error = RequestError(Cause.MALFORMED, "no protocol upgrade is known")
        except httptools.HttpParserError as failure:
            error = RequestError(Cause.MALFORMED, str(failure))
        return self._requests, error

    def on_message_begin(self) -> None:
        """Note that a request has begun."""
        self._clear()
        self.is_amid_request = True

    def on_url(self, url: bytes) -> None:
        """Keep the request target."""
        self._url += url
        self._count_head(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep one header; trailers are dropped."""
        self._count_head(len(name) + len(value) + HEADER_OVERHEAD_BYTES)
        if not self._head_seen:
            self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Note what is known before the body."""
        self._head_seen = True
        self._method = self._parser.get_method()
        self._keep_alive = bool(self._parser.should_keep_alive())
        self.awaits_continue = any(
            name.lower() == b"expect" and value.lower() == b"100-continue"
            for name, value in self._headers
        )

    def on_body(self, data: bytes) -> None:
        """Keep body bytes."""
        self._body_bytes += len(data)
        if self._body_bytes > self._limits.max_body_bytes:
            raise RequestError(Cause.LARGE_BODY)
        self._body.append(data)

    def on_message_complete(self) -> None:
        """Keep a whole request."""
        self.awaits_continue = False
        self._requests.append(self._build())
        self._clear()
        self.is_amid_request = False

    def _count_head(self, size: int) -> None:
        self._head_bytes += size
        if self._head_bytes > self._limits.max_head_bytes:
            raise RequestError(Cause.LARGE_HEAD)

    def _build(self) -> CallerRequest:
        values: dict[bytes, bytes] = {}
        for name, value in self._headers:
            values.setdefault(name.lower(), value)
        listed = values.get(b"connection", b"").lower().split(b",")
        dropped = self._dropped | {name.strip() for name in listed}
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
            body=b"".join(self._body),
            keep_alive=self._keep_alive,
            request_id=values.get(self._names.request_id.lower(), b""),
            remaining_s=_remaining_s(values.get(self._names.remaining_ms.lower())),
            key=_bearer_key(values.get(b"authorization")),
            has_length=b"content-length" in values or b"transfer-encoding" in values,
        )


def _remaining_s(value: bytes | None) -> float:
    if value is None:
        return DEFAULT_REMAINING_S
    digits = value.strip()
    if not digits.isdigit() or len(digits) > MAX_DEADLINE_DIGITS:
        raise RequestError(Cause.BAD_HEADER, "the deadline is no whole number")
    return int(digits) / 1000


def _bearer_key(value: bytes | None) -> str | None:
    if value is None or value[: len(BEARER)].lower() != BEARER:
        return None
    return value[len(BEARER) :].strip().decode("latin-1")
