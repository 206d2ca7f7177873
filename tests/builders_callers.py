"""Build a caller's connection over an in-memory transport."""

from __future__ import annotations

from typing import Any

import attrs
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport

from gentianhitch.buffers import BufferAccount
from gentianhitch.callers.caller_factory import CallerFactory
from gentianhitch.callers.complete_requests import CallerRequest
from gentianhitch.callers.connection_ends import EndedConnection
from gentianhitch.callers.pipelined_connection import PendingResponse
from gentianhitch.platform.caller_interface import HEADER_NAMES
from gentianhitch.proxy.model import CallerLimits

GET = b"GET /stock/1 HTTP/1.1\r\nHost: h\r\n\r\n"


class Transport(StringTransport):
    """In-memory transport with the methods of a TCP connection."""

    aborted = False
    half_closed = False

    def setTcpNoDelay(self, enabled: bool) -> None:  # noqa: N802
        pass

    def abortConnection(self) -> None:  # noqa: N802
        self.aborted = True

    def loseWriteConnection(self) -> None:  # noqa: N802
        self.half_closed = True


@attrs.define(eq=False)
class Served:
    """One request that was passed to ``serve``."""

    request: CallerRequest
    response: PendingResponse
    is_cancelled: bool = False

    def caller_disconnected(self, detail: str = "") -> None:
        self.is_cancelled = True

    def respond_now(self) -> None:
        self.response.send(b"given up;")


class Scenario:
    """A caller's connection over an in-memory transport."""

    def __init__(
        self, limits: CallerLimits | None = None, buffers: BufferAccount | None = None
    ) -> None:
        self.clock = Clock()
        self.served: list[Served] = []
        self.errors: list[str] = []
        self.ends: list[EndedConnection] = []
        caller_limits = limits or CallerLimits()
        self.factory = CallerFactory(
            self.clock,
            HEADER_NAMES,
            lambda: caller_limits,
            self._serve,
            buffers or BufferAccount(),
            self.ends.append,
            lambda failure: self.errors.append(failure.type.__name__),
        )
        self.connection: Any = self.factory.buildProtocol(None)
        self.transport = Transport()
        self.connection.makeConnection(self.transport)

    def _serve(self, request: CallerRequest, response: PendingResponse) -> Served:
        served = Served(request, response)
        self.served.append(served)
        return served

    def send(self, *lines: str, body: bytes = b"") -> None:
        head = "\r\n".join(("Host: shop.example:80", *lines)) + "\r\n\r\n"
        self.connection.dataReceived(
            b"GET /stock/1?x=%2F HTTP/1.1\r\n" + head.encode() + body
        )

    @property
    def written(self) -> bytes:
        value: bytes = self.transport.value()
        return value

    def close_by_caller(self) -> None:
        """End the connection as when the caller has read all and closed."""
        self.connection.connectionLost()
