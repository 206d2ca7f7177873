"""An entry point on a real port, and callers whose bytes wait in the kernel."""

from __future__ import annotations

import socket
from typing import Any

import attrs
from twisted.internet.task import Clock

from gentianhitch.buffers import BufferAccount
from gentianhitch.callers.caller_factory import CallerFactory
from gentianhitch.callers.complete_requests import CallerRequest
from gentianhitch.callers.pipelined_connection import PendingResponse
from gentianhitch.platform.caller_interface import HEADER_NAMES
from gentianhitch.proxy.model import CallerLimits
from tests.reactors import sleep

HOST = "127.0.0.1"
GET = b"GET /stock/1 HTTP/1.1\r\nHost: h\r\n\r\n"
CONNECT_TIMEOUT_S = 1.0
SETTLE_S = 0.05


class AnsweredRequest:
    """A request that got its response at once."""

    def caller_disconnected(self, detail: str = "") -> None:
        pass

    def respond_now(self) -> None:
        pass


def serve(request: CallerRequest, response: PendingResponse) -> AnsweredRequest:
    """Answer with an empty response."""
    closing = b"Connection: close\r\n" if response.will_close else b""
    response.send(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n" + closing + b"\r\n")
    return AnsweredRequest()


@attrs.define
class Entry:
    """Serves callers on a port; time-outs run by ``clock``, not by the reactor's."""

    reactor: Any
    limits: CallerLimits = attrs.Factory(CallerLimits)
    clock: Clock = attrs.Factory(Clock)
    factory: CallerFactory = attrs.field(init=False)
    port: Any = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.factory = CallerFactory(
            self.clock,
            HEADER_NAMES,
            lambda: self.limits,
            serve,
            BufferAccount(),
            lambda end: None,
            lambda failure: None,
        )
        self.port = self.reactor.listenTCP(0, self.factory, interface=HOST)

    def connect(self) -> KernelCaller:
        """Connect a caller; the connection waits in the backlog of the port."""
        return KernelCaller.connect(self.reactor, self.port.getHost().port)

    async def connect_kept(self) -> KernelCaller:
        """Connect a caller and serve its first request."""
        caller = self.connect()
        caller.send()
        assert await caller.outcome() == "200"
        return caller


@attrs.define
class KernelCaller:
    """A caller without a protocol: what it sends waits until the reactor reads."""

    reactor: Any
    connection: socket.socket

    @classmethod
    def connect(cls, reactor: Any, port: int) -> KernelCaller:
        """Open a connection, which waits in the backlog of the port."""
        return cls(reactor, socket.create_connection((HOST, port), CONNECT_TIMEOUT_S))

    def send(self, data: bytes = GET) -> None:
        """Send bytes, which are in the kernel's buffer of the port's side at once."""
        self.connection.sendall(data)

    async def outcome(self) -> str:
        """Return the status of the answer, "closed", "reset" or "open"."""
        await sleep(self.reactor, SETTLE_S)
        self.connection.setblocking(False)
        try:
            data = self.connection.recv(65536)
        except BlockingIOError:
            return "open"
        except ConnectionError:
            return "reset"
        return data.split(b" ")[1].decode() if data else "closed"
