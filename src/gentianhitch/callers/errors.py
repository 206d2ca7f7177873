"""Errors raised while reading and checking callers' requests."""

from __future__ import annotations

from gentianhitch.callers.refusals import Cause
from gentianhitch.errors import GentianhitchError


class RequestError(GentianhitchError):
    """Raised when a request is refused; ``cause`` gives the reason and the status."""

    def __init__(self, cause: Cause, detail: str = "") -> None:
        super().__init__(detail or cause.label)
        self.cause = cause
        self.detail = detail
