"""Encode HTTP requests to backend servers and responses to callers."""

from __future__ import annotations

from http import HTTPStatus

from gentianhitch.backend_servers.responses import ResponseHead
from gentianhitch.callers.requests import HOP_BY_HOP
from gentianhitch.callers.requests import RESERVED_PREFIXES
from gentianhitch.callers.requests import RelayMode
from gentianhitch.callers.requests import RequestHead
from gentianhitch.decisions.idempotency import StoredResponse

RESPONSE_HEADERS_NOT_FORWARDED = HOP_BY_HOP | {
    b"content-length",
    b"shed",
    b"x-request-id",
}
METHODS_WITH_BODY = frozenset({"POST", "PUT", "PATCH"})
LAST_CHUNK = b"0\r\n\r\n"
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"

_REASONS = {status.value: status.phrase.encode() for status in HTTPStatus}


def encode_request(
    head: RequestHead, *, workspace: str | None, remaining_ms: int, body: bytes | None
) -> bytes:
    """Encode a request for a backend server, without the API key.

    ``body`` is None if it is sent later, after the head.
    """
    lines = _request_lines(head, remaining_ms, body)
    if workspace is not None:
        lines.append(b"Gentianhitch-Workspace: " + workspace.encode())
    return _join(lines, body)


def encode_relay(
    head: RequestHead, *, mode: RelayMode, remaining_ms: int, body: bytes | None
) -> bytes:
    """Encode a request for another entry instance, which checks the API key itself."""
    lines = _request_lines(head, remaining_ms, body)
    if head.api_key is not None:
        lines.append(b"Authorization: Bearer " + head.api_key)
    lines.append(b"Gentianhitch-Relay: " + mode.value)
    return _join(lines, body)


def _request_lines(
    head: RequestHead, remaining_ms: int, body: bytes | None
) -> list[bytes]:
    lines = [b"%b %b HTTP/1.1" % (head.method.encode(), head.target)]
    lines += [b"%b: %b" % header for header in head.headers]
    lines.append(b"X-Request-Id: " + head.request_id)
    lines.append(b"Gentianhitch-Deadline-Ms: %d" % remaining_ms)
    if body is not None:
        if body or head.has_body or head.method in METHODS_WITH_BODY:
            lines.append(b"Content-Length: %d" % len(body))
    elif head.chunked:
        lines.append(b"Transfer-Encoding: chunked")
    else:
        lines.append(b"Content-Length: %d" % head.content_length)
    return lines


def _join(lines: list[bytes], body: bytes | None) -> bytes:
    lines.append(b"\r\n")
    encoded = b"\r\n".join(lines)
    return encoded + body if body else encoded


def encode_response_head(
    head: ResponseHead, *, request_id: bytes, close: bool, relayed: bool = False
) -> bytes:
    """Encode the head of a response to the caller.

    Headers reserved for this system are kept only from another instance
    (``relayed``), not from backend servers.
    """
    reserved_prefixes = () if relayed else RESERVED_PREFIXES
    dropped = RESPONSE_HEADERS_NOT_FORWARDED
    for name, value in head.headers:
        if name.lower() == b"connection":
            dropped = dropped | {part.strip() for part in value.lower().split(b",")}
    reason = head.reason or _REASONS.get(head.status, b"")
    lines = [b"HTTP/1.1 %d %b" % (head.status, reason)]
    lines += [
        b"%b: %b" % (name, value)
        for name, value in head.headers
        if (lowered := name.lower()) not in dropped
        and not lowered.startswith(reserved_prefixes)
    ]
    lines.append(b"X-Request-Id: " + request_id)
    if head.content_length is not None:
        lines.append(b"Content-Length: %d" % head.content_length)
    elif head.has_body:
        lines.append(b"Transfer-Encoding: chunked")
    if close:
        lines.append(b"Connection: close")
    lines.append(b"\r\n")
    return b"\r\n".join(lines)


def encode_stored_response(
    response: StoredResponse, *, request_id: bytes, close: bool
) -> bytes:
    """Encode the stored response of an earlier request for its repeat."""
    head = ResponseHead(
        status=response.status,
        reason=response.reason,
        headers=[*response.headers, (b"Gentianhitch-Replayed", b"yes")],
        content_length=len(response.body),
        has_body=True,
        request_id=None,
        shed=None,
    )
    encoded = encode_response_head(
        head, request_id=request_id, close=close, relayed=True
    )
    return encoded + response.body


def encode_chunk(data: bytes) -> bytes:
    """Encode one chunk of a chunked body; empty data gives no chunk, not the last."""
    return b"%x\r\n%b\r\n" % (len(data), data) if data else b""
