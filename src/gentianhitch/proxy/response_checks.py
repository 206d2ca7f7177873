"""Tell what a backend server's answer says of the request and of the server."""

from __future__ import annotations

from http import HTTPStatus

from gentianhitch.backend_servers.complete_responses import CompleteResponse
from gentianhitch.callers.complete_requests import HeaderNames
from gentianhitch.proxy.balancing import AttemptResult

DECLINED_STATUSES = frozenset({400, 421, 429, 503})
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""Callers take these to say that the request has not run and never will."""


def is_declined(answer: CompleteResponse, names: HeaderNames) -> bool:
    """Tell whether the server says that it did not run the request."""
    marked = answer.header(names.not_executed.lower()) is not None
    return marked and answer.status in DECLINED_STATUSES


def is_unusable(answer: CompleteResponse, names: HeaderNames) -> bool:
    """Tell whether an answer must not be passed on.

    It is not what the server itself wrote, or its status promises "not run" without
    the mark that says so.
    """
    if answer.status in NOT_RUN_STATUSES:
        return True
    if answer.header(b"content-encoding") is not None:
        return True
    signed = answer.header(names.signature.lower()) is not None
    return answer.status < HTTPStatus.BAD_REQUEST and not signed


def attempt_result(answer: CompleteResponse) -> AttemptResult:
    """Return what an answer that may be passed on tells of the server."""
    if answer.status == HTTPStatus.GATEWAY_TIMEOUT:
        # The server worked on the request until its deadline.
        return AttemptResult.FAILED
    failed = answer.status >= HTTPStatus.INTERNAL_SERVER_ERROR
    return AttemptResult.ERROR if failed else AttemptResult.GOOD
