"""One attempt at one backend server."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any
from typing import Protocol

from gentianhitch.backend_servers.complete_responses import CompleteResponse
from gentianhitch.backend_servers.errors import BackendServerError
from gentianhitch.backend_servers.errors import ConnectError
from gentianhitch.backend_servers.server_connections import Connecting
from gentianhitch.backend_servers.server_connections import ServerConnection
from gentianhitch.proxy.model import BackendServer


class AttemptOwner(Protocol):
    """Receives what becomes of an attempt."""

    def guard(self, step: Callable[..., None], *args: Any) -> None:
        """Run a step of the request, whose errors must not leave it unanswered."""
        ...

    def write(self, attempt: Attempt, connection: ServerConnection) -> None:
        """Write the request to the connection that was made."""
        ...

    def connect_failed(self, attempt: Attempt, error: ConnectError) -> None:
        """Handle the failure to connect: nothing was written."""
        ...

    def handle_response(self, attempt: Attempt, response: CompleteResponse) -> None:
        """Handle a complete response."""
        ...

    def handle_failure(self, attempt: Attempt, error: BackendServerError) -> None:
        """Handle the failure of a request that was written."""
        ...


class Attempt:
    """One attempt at one server, from the connect to the response.

    ``is_paid`` if a retry of the budget was spent for it.
    """

    def __init__(
        self, owner: AttemptOwner, server: BackendServer, *, is_paid: bool = False
    ) -> None:
        self._owner = owner
        self.server = server
        self.is_paid = is_paid
        self.token: int | None = None
        self.connection: ServerConnection | None = None
        self.connecting: Connecting | None = None
        self.is_newly_connected = False
        self.sent_s = 0.0

    def connected(self, connection: ServerConnection) -> None:
        """Send the request on ``connection``."""
        self.is_newly_connected = self.connecting is not None
        self.connecting = None
        self._owner.guard(self._owner.write, self, connection)

    def connect_failed(self, error: ConnectError) -> None:
        """Have another server tried: nothing was written."""
        self.connecting = None
        self._owner.guard(self._owner.connect_failed, self, error)

    def response_received(self, response: CompleteResponse) -> None:
        """Pass a response to the dispatch."""
        self.connection = None
        self._owner.guard(self._owner.handle_response, self, response)

    def response_failed(self, error: BackendServerError) -> None:
        """Pass a failure to the dispatch."""
        self.connection = None
        self._owner.guard(self._owner.handle_failure, self, error)

    def cancel(self) -> None:
        """Close the connection, so that the server cancels the request."""
        if self.connecting is not None:
            self.connecting.cancel()
            self.connecting = None
        if self.connection is not None:
            self.connection.close()
            self.connection = None
