"""Parse and check the heads of callers' requests."""

from __future__ import annotations

import re
import secrets
from enum import Enum
from urllib.parse import unquote_to_bytes

import attrs

from gentianhitch.callers.errors import RequestError
from gentianhitch.callers.refusals import Cause

HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
RESERVED_PREFIXES = (b"gentianhitch-", b"gentianhitch_")
"""Headers that only this system may set; some servers treat ``_`` like ``-``."""

NOT_FORWARDED = HOP_BY_HOP | {
    b"authorization",
    b"content-length",
    b"expect",
    b"x-request-id",
}
INTERNAL_PREFIX = "/.gentianhitch/"
BEARER_PREFIX = b"bearer "
REQUEST_ID_BYTES = 16

_REQUEST_ID = re.compile(rb"[A-Za-z0-9._:=+/@-]{1,128}")
_IDEMPOTENCY_KEY = re.compile(rb"[\x21-\x7e]{1,256}")

Headers = list[tuple[bytes, bytes]]


class RelayMode(Enum):
    """Why another instance relayed a request with an idempotency key.

    RUN: the sender takes this instance for the owner of the key, which runs it.
    QUERY_LOCAL and QUERY_HISTORY: the sender owns the key itself, and queries
    whether the key ran on this instance, or on any instance of the fleet.
    """

    RUN = b"run"
    QUERY_LOCAL = b"own"
    QUERY_HISTORY = b"history"


@attrs.define
class RequestHead:
    """The checked head of one request.

    ``target`` is the path and query as sent, ``path`` is decoded. ``headers`` are
    those to forward. ``deadline_ms`` is the remaining time that the caller allows.
    """

    method: str
    target: bytes
    path: str
    headers: Headers
    content_length: int
    chunked: bool
    keep_alive: bool
    expects_continue: bool
    request_id: bytes
    api_key: bytes | None
    deadline_ms: int | None
    idempotency_key: bytes | None
    relay: RelayMode | None

    @property
    def is_internal(self) -> bool:
        """Return whether the request is for an endpoint of this system itself."""
        return self.path.startswith(INTERNAL_PREFIX)

    @property
    def has_body(self) -> bool:
        """Return whether body bytes follow the head."""
        return self.chunked or self.content_length > 0


@attrs.define
class _HeaderValues:
    """Values of the headers that this system interprets."""

    content_length: int = 0
    chunked: bool = False
    expects_continue: bool = False
    request_id: bytes | None = None
    api_key: bytes | None = None
    deadline_ms: int | None = None
    idempotency_key: bytes | None = None
    relay: RelayMode | None = None
    has_authorization: bool = False
    connection: bytes = b""


def read_head(
    method: str, url: bytes, headers: Headers, *, keep_alive: bool
) -> RequestHead:
    """Build a request head from parsed fields; raise RequestError if one is invalid."""
    fields = _HeaderValues()
    for name, value in headers:
        reader = _READERS.get(name.lower())
        if reader is not None:
            reader(fields, value)
    target = origin_form(url)
    return RequestHead(
        method=method,
        target=target,
        path=_decode_path(target),
        headers=_forwarded_headers(headers, fields.connection),
        content_length=fields.content_length,
        chunked=fields.chunked,
        keep_alive=keep_alive,
        expects_continue=fields.expects_continue,
        request_id=fields.request_id or secrets.token_hex(REQUEST_ID_BYTES).encode(),
        api_key=fields.api_key,
        deadline_ms=fields.deadline_ms,
        idempotency_key=fields.idempotency_key,
        relay=fields.relay,
    )


def _forwarded_headers(headers: Headers, connection: bytes) -> Headers:
    dropped = NOT_FORWARDED
    if connection:
        dropped = dropped | {name.strip() for name in connection.split(b",")}
    return [
        (name, value)
        for name, value in headers
        if (lowered := name.lower()) not in dropped
        and not lowered.startswith(RESERVED_PREFIXES)
    ]


def _read_length(fields: _HeaderValues, value: bytes) -> None:
    fields.content_length = int(value)


def _read_transfer_encoding(fields: _HeaderValues, value: bytes) -> None:
    if value.strip().lower() != b"chunked":
        raise RequestError(Cause.MALFORMED, "only chunked transfer encoding is known")
    fields.chunked = True


def _read_expect(fields: _HeaderValues, value: bytes) -> None:
    fields.expects_continue = value.strip().lower() == b"100-continue"


def _read_connection(fields: _HeaderValues, value: bytes) -> None:
    lowered = value.lower()
    fields.connection = (
        fields.connection + b"," + lowered if fields.connection else lowered
    )


def _read_request_id(fields: _HeaderValues, value: bytes) -> None:
    if fields.request_id is not None or not _REQUEST_ID.fullmatch(value):
        raise RequestError(Cause.BAD_HEADER, "X-Request-Id")
    fields.request_id = value


def _read_idempotency_key(fields: _HeaderValues, value: bytes) -> None:
    if fields.idempotency_key is not None or not _IDEMPOTENCY_KEY.fullmatch(value):
        raise RequestError(Cause.BAD_HEADER, "Idempotency-Key")
    fields.idempotency_key = value


def _read_deadline(fields: _HeaderValues, value: bytes) -> None:
    text = value.strip()
    digits = text.removeprefix(b"-")
    if fields.deadline_ms is not None or not digits.isdigit() or len(digits) > 12:
        raise RequestError(Cause.BAD_HEADER, "Gentianhitch-Deadline-Ms")
    fields.deadline_ms = int(text)


def _read_relay(fields: _HeaderValues, value: bytes) -> None:
    try:
        fields.relay = RelayMode(value)
    except ValueError as error:
        raise RequestError(Cause.BAD_HEADER, "Gentianhitch-Relay") from error


def _read_authorization(fields: _HeaderValues, value: bytes) -> None:
    if fields.has_authorization:
        raise RequestError(Cause.UNAUTHORISED)
    fields.has_authorization = True
    if value[: len(BEARER_PREFIX)].lower() == BEARER_PREFIX:
        fields.api_key = value[len(BEARER_PREFIX) :].strip()


_READERS = {
    b"content-length": _read_length,
    b"transfer-encoding": _read_transfer_encoding,
    b"expect": _read_expect,
    b"connection": _read_connection,
    b"x-request-id": _read_request_id,
    b"idempotency-key": _read_idempotency_key,
    b"gentianhitch-deadline-ms": _read_deadline,
    b"gentianhitch-relay": _read_relay,
    b"authorization": _read_authorization,
}


def origin_form(url: bytes) -> bytes:
    """Return the path and query of a request target, which may be an absolute URL.

    Raise RequestError for targets of other forms.
    """
    if url.startswith(b"/"):
        return url
    scheme, separator, after_scheme = url.partition(b"://")
    if not separator or scheme.lower() not in (b"http", b"https"):
        raise RequestError(Cause.MALFORMED, "the request target is no path")
    authority_end = re.search(rb"[/?]", after_scheme)
    if authority_end is None:
        return b"/"
    target = after_scheme[authority_end.start() :]
    return target if target.startswith(b"/") else b"/" + target


def _decode_path(target: bytes) -> str:
    """Decode a path; raise RequestError if a backend server may read another route.

    Encoded slashes and dot segments are refused, since servers disagree on them.
    """
    raw = target.partition(b"?")[0]
    path = raw
    if b"%" in raw:
        path = unquote_to_bytes(raw)
        if path.count(b"/") != raw.count(b"/"):
            raise RequestError(Cause.AMBIGUOUS_PATH)
    if b"/." in path or b"//" in path or b"\\" in path or b"#" in target:
        _check_segments(path, target)
    try:
        text = path.decode()
    except UnicodeDecodeError as error:
        raise RequestError(Cause.MALFORMED, "the path is not UTF-8") from error
    if not text.isprintable():
        raise RequestError(Cause.MALFORMED, "the path holds control characters")
    return text


def _check_segments(path: bytes, target: bytes) -> None:
    segments = path.split(b"/")
    ambiguous = b"\\" in path or b"#" in target or b"//" in path
    if ambiguous or b"." in segments or b".." in segments:
        raise RequestError(Cause.AMBIGUOUS_PATH)
