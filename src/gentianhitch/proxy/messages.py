"""Encode requests for backend servers and responses for callers."""

from __future__ import annotations

from http import HTTPStatus

from gentianhitch.backend_servers.complete_responses import CompleteResponse
from gentianhitch.callers.complete_requests import CallerRequest
from gentianhitch.callers.complete_requests import HeaderNames
from gentianhitch.callers.requests import HOP_BY_HOP

HEADERS_NOT_FORWARDED = HOP_BY_HOP | {b"content-length"}
METHODS_WITH_BODY = frozenset({b"POST", b"PUT", b"PATCH"})


def encode_request(
    request: CallerRequest,
    names: HeaderNames,
    *,
    server_id: str,
    workspace: str | None,
    remaining_s: float,
) -> bytes:
    """Encode a request, naming the server that is expected to run it."""
    lines = [b"%b %b HTTP/1.1" % (request.method, request.target)]
    lines += [b"%b: %b" % header for header in request.headers]
    lines.append(b"%b: %d" % (names.remaining_ms, max(int(remaining_s * 1000), 1)))
    lines.append(b"%b: %b" % (names.expected_server, server_id.encode()))
    if workspace is not None:
        lines.append(b"%b: %b" % (names.workspace, workspace.encode()))
    if request.body or request.has_length or request.method in METHODS_WITH_BODY:
        lines.append(b"Content-Length: %d" % len(request.body))
    lines.append(b"\r\n")
    return b"\r\n".join(lines) + request.body


def encode_response(
    response: CompleteResponse, request: CallerRequest, *, close: bool
) -> bytes:
    """Encode a complete response for the caller of ``request``."""
    not_forwarded = HEADERS_NOT_FORWARDED
    connection_header = response.header(b"connection")
    if connection_header is not None:
        not_forwarded = not_forwarded | {
            option.strip() for option in connection_header.lower().split(b",")
        }
    lines = [b"HTTP/1.1 %d %b" % (response.status, response.reason)]
    lines += [
        b"%b: %b" % header
        for header in response.headers
        if header[0].lower() not in not_forwarded
    ]
    if response.status != HTTPStatus.NO_CONTENT:
        lines.append(b"Content-Length: %d" % len(response.body))
    if close:
        lines.append(b"Connection: close")
    lines.append(b"\r\n")
    head = b"\r\n".join(lines)
    return head if request.method == b"HEAD" else head + response.body
