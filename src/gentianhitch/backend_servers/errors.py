"""Errors of connections to backend servers."""

from __future__ import annotations

from typing import Any

from gentianhitch.errors import GentianhitchError


class BackendServerError(GentianhitchError):
    """Base class of errors at the edge to backend servers."""


class ConnectError(BackendServerError):
    """No connection could be had; nothing was written."""


class TruncatedResponseError(BackendServerError):
    """The connection ended before the whole answer came."""


class InvalidResponseError(BackendServerError):
    """The answer is malformed, without an end, overlong or of another request.

    ``answers`` holds whole answers that came before the fault.
    """

    answers: tuple[Any, ...] = ()
