"""Encode requests for targets and answers for callers."""

from __future__ import annotations

from http import HTTPStatus

from gentianhitch.backend_servers.answers import AnswerHead
from gentianhitch.callers.requests import HOP_BY_HOP
from gentianhitch.callers.requests import OWN_PREFIXES
from gentianhitch.callers.requests import RequestHead

ANSWER_NOT_FORWARDED = HOP_BY_HOP | {b"content-length", b"shed", b"x-request-id"}
LAST_CHUNK = b"0\r\n\r\n"
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"

_REASONS = {status.value: status.phrase.encode() for status in HTTPStatus}


def encode_request(
    head: RequestHead, *, workspace: str | None, remaining_ms: int, body: bytes | None
) -> bytes:
    """Encode a request without its key; ``body`` is None when it comes later."""
    lines = [b"%b %b HTTP/1.1" % (head.method.encode(), head.target)]
    lines += [b"%b: %b" % header for header in head.headers]
    lines.append(b"X-Request-Id: " + head.request_id)
    lines.append(b"Gentianhitch-Deadline-Ms: %d" % remaining_ms)
    if workspace is not None:
        lines.append(b"Gentianhitch-Workspace: " + workspace.encode())
    if body is not None:
        if body or head.has_body or head.method in ("POST", "PUT", "PATCH"):
            lines.append(b"Content-Length: %d" % len(body))
    elif head.chunked:
        lines.append(b"Transfer-Encoding: chunked")
    else:
        lines.append(b"Content-Length: %d" % head.content_length)
    lines.append(b"\r\n")
    encoded = b"\r\n".join(lines)
    return encoded + body if body else encoded


def encode_answer_head(head: AnswerHead, *, request_id: bytes, close: bool) -> bytes:
    """Encode the head of an answer for the caller."""
    dropped = ANSWER_NOT_FORWARDED
    for name, value in head.headers:
        if name.lower() == b"connection":
            dropped = dropped | {part.strip() for part in value.lower().split(b",")}
    reason = head.reason or _REASONS.get(head.status, b"")
    lines = [b"HTTP/1.1 %d %b" % (head.status, reason)]
    lines += [
        b"%b: %b" % (name, value)
        for name, value in head.headers
        if (lowered := name.lower()) not in dropped
        and not lowered.startswith(OWN_PREFIXES)
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


def encode_chunk(data: bytes) -> bytes:
    """Encode one chunk of a chunked body."""
    return b"%x\r\n%b\r\n" % (len(data), data) if data else b""
