"""Classify the responses of backend servers."""

from __future__ import annotations

from http import HTTPStatus

from gentianhitch.backend_servers.complete_responses import CompleteResponse
from gentianhitch.callers.complete_requests import HeaderNames
from gentianhitch.proxy.server_records import AttemptResult

DECLINED_STATUSES = frozenset({400, 421, 429, 503})
OVERLOAD_STATUSES = frozenset({429, 503})
"""Declines that tell of the server; the others tell of the request or its address."""

LEAVING_VALUE = b"1"
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""To callers these mean that the request has not run and never will."""


def is_declined(response: CompleteResponse, names: HeaderNames) -> bool:
    """Return whether the server marked the request as not executed."""
    is_marked = response.header(names.not_executed.lower()) is not None
    return is_marked and response.status in DECLINED_STATUSES


def says_leaving(response: CompleteResponse, names: HeaderNames) -> bool:
    """Return whether the server that was expected says that it is leaving."""
    if response.status == HTTPStatus.MISDIRECTED_REQUEST:
        # It comes from another server.
        return False
    return response.header(names.server_leaving.lower()) == LEAVING_VALUE


def is_unusable(response: CompleteResponse, names: HeaderNames) -> bool:
    """Return whether a response must not be forwarded to the caller.

    Either it is not what the server sent, or its status means "not run" but the header
    that confirms it is missing.
    """
    if response.status in NOT_RUN_STATUSES:
        return True
    if response.header(b"content-encoding") is not None:
        return True
    is_signed = response.header(names.signature.lower()) is not None
    return response.status < HTTPStatus.BAD_REQUEST and not is_signed


def attempt_result(response: CompleteResponse) -> AttemptResult:
    """Return the result of an attempt whose response may be forwarded."""
    if response.status == HTTPStatus.GATEWAY_TIMEOUT:
        # The server worked on the request until its deadline.
        return AttemptResult.FAILED
    is_error = response.status >= HTTPStatus.INTERNAL_SERVER_ERROR
    return AttemptResult.ERROR if is_error else AttemptResult.GOOD
