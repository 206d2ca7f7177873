"""Connections that carry one request at a time and wait for its whole answer."""

from __future__ import annotations

from typing import Any
from typing import Protocol as TypingProtocol

import attrs
from twisted.internet.error import ConnectionDone
from twisted.internet.interfaces import IAddress
from twisted.internet.protocol import ClientFactory
from twisted.internet.protocol import Protocol
from twisted.python.failure import Failure

from gentianhitch.addresses import Address
from gentianhitch.backend_servers.complete_responses import CompleteResponse
from gentianhitch.backend_servers.complete_responses import CompleteResponseReader
from gentianhitch.backend_servers.complete_responses import ResponseMemory
from gentianhitch.backend_servers.errors import BackendServerError
from gentianhitch.backend_servers.errors import ConnectError
from gentianhitch.backend_servers.errors import InvalidResponseError
from gentianhitch.backend_servers.errors import TruncatedResponseError
from gentianhitch.socket_options import watch_for_silence
from gentianhitch.writing import write_at_once

CONNECT_TIMEOUT_S = 0.4
"""Above a round trip between failure domains; the kernel repeats after 1 s only."""

MAX_IDLE_S = 8.0
"""Below the 10 s after which backend servers close idle connections."""

KEEP_ALIVE_SHARE = 0.8
"""Part of the idle time that a server announces which is made use of."""

MAX_REUSABLE_REQUEST_BYTES = 32 * 1024
"""A server may answer before it has read a longer request."""

ServerKey = tuple[str, int]


class ResponseWaiter(TypingProtocol):
    """Wait for a connection and then for one answer."""

    def connected(self, connection: ServerConnection) -> None:
        """Take the connection; nothing was written yet."""
        ...

    def connect_failed(self, error: ConnectError) -> None:
        """Learn that there is none; nothing was written."""
        ...

    def response_received(self, answer: CompleteResponse) -> None:
        """Take the whole answer."""
        ...

    def response_failed(self, error: BackendServerError) -> None:
        """Learn that no whole answer will come."""
        ...


class ServerConnection(Protocol):
    """One connection; an answer of another request is dropped and waited past."""

    transport: Any = None

    def __init__(
        self, pool: ServerConnections, key: ServerKey, waiter: ResponseWaiter | None
    ) -> None:
        self._pool = pool
        self._key = key
        self._waiter = waiter
        self._reader = CompleteResponseReader(pool.memory)
        self._request_id: bytes | None = None
        self._reusable = True
        self._closed = False
        self.idle_since_s = 0.0
        self.max_idle_s = MAX_IDLE_S

    def connectionMade(self) -> None:  # noqa: N802
        """Hand the connection to its waiter."""
        self.transport.setTcpNoDelay(True)
        watch_for_silence(self.transport)
        waiter, self._waiter = self._waiter, None
        if waiter is None:
            self._pool.put_idle(self._key, self)
        else:
            waiter.connected(self)

    def send(self, request_id: bytes, data: bytes, waiter: ResponseWaiter) -> None:
        """Write one whole request."""
        self._waiter = waiter
        self._request_id = request_id
        self._reusable = len(data) <= MAX_REUSABLE_REQUEST_BYTES
        write_at_once(self.transport, data)

    def close(self) -> None:
        """Close at once, which tells the server to drop what it still does."""
        self._waiter = None
        if not self._closed:
            self._closed = True
            self._reader.release()
            self._pool.discard(self._key, self)
            self.transport.abortConnection()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Read answers until the one that is waited for."""
        if self._closed:
            return
        if self._waiter is None:
            # Nobody asked: a late or doubled answer.
            self.close()
            return
        fault: InvalidResponseError | None = None
        try:
            answers: tuple[Any, ...] = tuple(self._reader.feed(data))
        except InvalidResponseError as error:
            fault = error
            answers = error.answers
        for index, answer in enumerate(answers):
            if self._is_awaited(answer):
                surplus = index + 1 < len(answers) or fault is not None
                self._finish(answer, surplus=surplus)
                return
            # What belongs to another request shows that the server is confused.
            self._reusable = False
        if fault is not None:
            self._fail(fault)

    def connectionLost(self, reason: Failure | None = None) -> None:  # noqa: N802
        """End an answer without a length, or fail the request."""
        was_closed, self._closed = self._closed, True
        if was_closed:
            return
        self._pool.discard(self._key, self)
        clean = reason is not None and reason.check(ConnectionDone) is not None
        answer = self._reader.end() if clean else None
        self._reader.release()
        if self._waiter is None:
            return
        if answer is not None and self._is_awaited(answer):
            waiter, self._waiter = self._waiter, None
            waiter.response_received(answer)
        else:
            self._fail(TruncatedResponseError("the connection ended before the answer"))

    def _is_awaited(self, answer: CompleteResponse) -> bool:
        echoed = answer.header(self._pool.request_id_header)
        return echoed is None or echoed == self._request_id

    def _finish(self, answer: CompleteResponse, *, surplus: bool) -> None:
        waiter, self._waiter = self._waiter, None
        self._request_id = None
        clean = self._reader.is_between_responses and not surplus
        if self._reusable and answer.keeps_alive and clean:
            self._note_idle_time(answer)
            self._pool.put_idle(self._key, self)
        else:
            self.close()
        if waiter is not None:
            waiter.response_received(answer)

    def _note_idle_time(self, answer: CompleteResponse) -> None:
        value = answer.header(b"keep-alive") or b""
        for part in value.split(b","):
            name, _, seconds = part.strip().partition(b"=")
            if name.lower() == b"timeout" and seconds.isdigit():
                self.max_idle_s = min(int(seconds) * KEEP_ALIVE_SHARE, MAX_IDLE_S)

    def _fail(self, error: BackendServerError) -> None:
        waiter = self._waiter
        self.close()
        if waiter is not None:
            waiter.response_failed(error)


class _Factory(ClientFactory):
    noisy = False

    def __init__(
        self, pool: ServerConnections, key: ServerKey, waiter: ResponseWaiter
    ) -> None:
        self._pool = pool
        self._key = key
        self.waiter: ResponseWaiter | None = waiter

    def buildProtocol(self, addr: IAddress | None) -> ServerConnection:  # noqa: N802
        return ServerConnection(self._pool, self._key, self.waiter)

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:  # noqa: N802
        if self.waiter is not None:
            error = ConnectError(f"cannot connect: {reason.getErrorMessage()}")
            self.waiter.connect_failed(error)


@attrs.define
class Connecting:
    """A connection being made; ``cancel`` leaves it to later requests."""

    _factory: _Factory

    def cancel(self) -> None:
        """Forget who waits."""
        self._factory.waiter = None


class ServerConnections:
    """Keep idle connections to each incarnation of a backend server."""

    def __init__(self, reactor: Any, clock: Any, request_id_header: bytes) -> None:
        self._reactor = reactor
        self._clock = clock
        self.request_id_header = request_id_header.lower()
        self._idle_by_server: dict[ServerKey, list[ServerConnection]] = {}
        self.memory = ResponseMemory()
        self.opened = 0

    def acquire(
        self,
        key: ServerKey,
        address: Address,
        waiter: ResponseWaiter,
        *,
        max_idle_s: float,
    ) -> Connecting | None:
        """Give the waiter an idle connection now, or a new one later."""
        now = self._clock.seconds()
        idle = self._idle_by_server.get(key)
        while idle:
            connection = idle.pop()
            idle_s = now - connection.idle_since_s
            if idle_s <= min(max_idle_s, connection.max_idle_s):
                waiter.connected(connection)
                return None
            if idle_s <= connection.max_idle_s:
                # Good enough for a request that may be repeated.
                idle.append(connection)
                break
            connection.close()
        self.opened += 1
        factory = _Factory(self, key, waiter)
        self._reactor.connectTCP(
            address.host, address.port, factory, timeout=CONNECT_TIMEOUT_S
        )
        return Connecting(factory)

    def servers_with_idle_connections(self) -> frozenset[str]:
        """Return the ids of the servers to which a connection is ready."""
        return frozenset(key[0] for key, idle in self._idle_by_server.items() if idle)

    def put_idle(self, key: ServerKey, connection: ServerConnection) -> None:
        """Keep a connection for later requests."""
        connection.idle_since_s = self._clock.seconds()
        self._idle_by_server.setdefault(key, []).append(connection)

    def discard(self, key: ServerKey, connection: ServerConnection) -> None:
        """Forget a connection."""
        idle = self._idle_by_server.get(key)
        if idle and connection in idle:
            idle.remove(connection)

    def retain(self, keys: frozenset[ServerKey]) -> None:
        """Close the idle connections to servers that are no longer listed."""
        for key in tuple(self._idle_by_server):
            if key not in keys:
                for connection in self._idle_by_server.pop(key):
                    connection.close()

    def close_idle(self, now: float) -> None:
        """Close connections that were idle too long."""
        for idle in self._idle_by_server.values():
            for connection in tuple(idle):
                if now - connection.idle_since_s > connection.max_idle_s:
                    connection.close()
