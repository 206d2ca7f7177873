"""Errors of connections and responses of backend servers."""

from __future__ import annotations

from typing import Any

from gentianhitch.errors import GentianhitchError


class BackendServerError(GentianhitchError):
    """Base class of errors on connections to backend servers."""


class ConnectError(BackendServerError):
    """No connection is available or could be opened; nothing was written.

    ``is_refusal`` if the server's machine answered that nobody accepts connections.
    """

    def __init__(self, message: str, *, is_refusal: bool = False) -> None:
        super().__init__(message)
        self.is_refusal = is_refusal


class NotOpenedError(ConnectError):
    """No open connection is idle, and none was to be opened."""


class TruncatedResponseError(BackendServerError):
    """The connection was closed before the response was complete."""


class InvalidResponseError(BackendServerError):
    """The response is malformed, unframed, too long or that of another request.

    ``responses`` holds the complete responses that preceded the invalid data.
    """

    responses: tuple[Any, ...] = ()
