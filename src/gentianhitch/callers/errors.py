"""Errors at the edge to callers."""

from __future__ import annotations

from gentianhitch.callers.refusals import Cause
from gentianhitch.errors import GentianhitchError


class RequestError(GentianhitchError):
    """A request can't be served; ``cause`` says why."""

    def __init__(self, cause: Cause, detail: str = "") -> None:
        super().__init__(detail or cause.label)
        self.cause = cause
        self.detail = detail
