"""A client and a target on the loopback network, for measurements in one process."""

from __future__ import annotations

import time
from typing import Any

import attrs
from twisted.internet.defer import Deferred
from twisted.internet.defer import gatherResults
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.endpoints import connectProtocol
from twisted.internet.protocol import Factory
from twisted.internet.protocol import Protocol

from gentianhitch.addresses import Address

HOST = "127.0.0.1"
KEY = b"bench-key"
PATH = b"/stock/1"
REQUEST = b"GET %b HTTP/1.1\r\nHost: bench\r\nAuthorization: Bearer %b\r\n\r\n" % (
    PATH,
    KEY,
)
HEAD_END = b"\r\n\r\n"


class FixedTarget(Protocol):
    """Give the same answer to each request that ends in an empty line."""

    transport: Any = None
    answer = b""

    def connectionMade(self) -> None:  # noqa: N802
        """Send small answers at once."""
        self.transport.setTcpNoDelay(True)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Answer each request; requests here come whole and without a body."""
        self.transport.write(self.answer * data.count(HEAD_END))


def listen_target(reactor: Any, answer_bytes: int) -> Address:
    """Listen with a target whose answers carry ``answer_bytes`` bytes."""
    body = b"x" * answer_bytes
    head = b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n"
    target = type("Target", (FixedTarget,), {"answer": head % answer_bytes + body})
    return listen(reactor, Factory.forProtocol(target))


def listen(reactor: Any, factory: Factory) -> Address:
    """Listen on a free port and return the address."""
    port = reactor.listenTCP(0, factory, interface=HOST, backlog=1024)
    return Address(HOST, port.getHost().port)


class Client(Protocol):
    """Send requests over one connection and note when each answer is whole."""

    transport: Any = None

    def __init__(self) -> None:
        self._missing = 0
        self._buffer = b""
        self._answered: Deferred[float] | None = None

    def connectionMade(self) -> None:  # noqa: N802
        """Send small requests at once."""
        self.transport.setTcpNoDelay(True)

    def send(self) -> Deferred[float]:
        """Send one request; fire with the time when its answer is whole."""
        answered = self._answered = Deferred()
        self.transport.write(REQUEST)
        return answered

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Count the bytes of the answer."""
        if self._missing:
            self._missing -= len(data)
        else:
            self._buffer += data
            head, separator, rest = self._buffer.partition(HEAD_END)
            if not separator:
                return
            self._buffer = b""
            self._missing = _declared_length(head) - len(rest)
        if self._missing == 0 and self._answered is not None:
            answered, self._answered = self._answered, None
            answered.callback(time.perf_counter())


def _declared_length(head: bytes) -> int:
    if b" 200 " not in head.split(b"\r\n", 1)[0]:
        raise ValueError(f"unexpected answer {head[:200]!r}")
    _, _, rest = head.lower().partition(b"content-length: ")
    return int(rest.split(b"\r\n", 1)[0])


async def connect(reactor: Any, address: Address, count: int) -> list[Client]:
    """Open ``count`` connections."""
    endpoint = TCP4ClientEndpoint(reactor, address.host, address.port)
    opening = [_connect(endpoint) for _ in range(count)]
    clients: list[Client] = await gatherResults(opening)
    return clients


def _connect(endpoint: TCP4ClientEndpoint) -> Any:
    return connectProtocol(endpoint, Client())  # type: ignore[no-untyped-call]


@attrs.frozen
class ClosedLoop:
    """Result of a closed loop: answers and the seconds they took."""

    answers: int
    seconds: float
    processor_s: float


async def run_closed_loop(clients: list[Client], seconds: float) -> ClosedLoop:
    """Send one request after the other on each connection."""
    start = time.perf_counter()
    processor_start = time.process_time()
    end = start + seconds
    counts = await gatherResults(
        [Deferred.fromCoroutine(_repeat(client, end)) for client in clients]
    )
    return ClosedLoop(
        answers=sum(counts),
        seconds=time.perf_counter() - start,
        processor_s=time.process_time() - processor_start,
    )


async def _repeat(client: Client, end: float) -> int:
    count = 0
    while time.perf_counter() < end:
        await client.send()
        count += 1
    return count
