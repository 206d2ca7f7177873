"""Pooled connections that return complete responses, one request at a time."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any
from typing import Protocol as TypingProtocol

import attrs
from twisted.internet.error import ConnectionDone
from twisted.internet.error import ConnectionLost
from twisted.internet.error import ConnectionRefusedError as RefusedError
from twisted.internet.interfaces import IAddress
from twisted.internet.interfaces import IHalfCloseableProtocol
from twisted.internet.protocol import ClientFactory
from twisted.internet.protocol import Protocol
from twisted.python.failure import Failure
from zope.interface import implementer

from gentianhitch.addresses import Address
from gentianhitch.arrived import has_arrived
from gentianhitch.backend_servers.complete_responses import CompleteResponse
from gentianhitch.backend_servers.complete_responses import CompleteResponseReader
from gentianhitch.backend_servers.errors import BackendServerError
from gentianhitch.backend_servers.errors import ConnectError
from gentianhitch.backend_servers.errors import InvalidResponseError
from gentianhitch.backend_servers.errors import NotOpenedError
from gentianhitch.backend_servers.errors import TruncatedResponseError
from gentianhitch.buffers import BufferAccount
from gentianhitch.resets import is_delivered
from gentianhitch.resets import was_reset
from gentianhitch.silence import SilenceLimit
from gentianhitch.socket_options import watch_for_silence
from gentianhitch.writing import write_at_once

CONNECT_TIMEOUT_S = 0.4
"""Above the round-trip time between failure domains; the kernel resends a SYN
only after 1 s."""

MAX_QUEUE_TIMEOUT_S = 0.5
"""Addition to the connect timeout, at most, for what a connect waits behind on the own
link: the kernel resends a SYN after 1 s, and the caller waits meanwhile."""

MAX_IDLE_S = 8.0
"""Below the 10 s after which backend servers close idle connections."""

USED_KEEP_ALIVE_SHARE = 0.8
"""Share of the idle timeout announced by a server after which connections close."""

MAX_REUSABLE_REQUEST_BYTES = 32 * 1024
"""A server may respond before it has read a longer request completely, and then the
connection can't be reused."""

DELIVERY_POLL_S = 0.01
"""Interval at which a connection that the server has ended is checked for a reset."""

MAX_DROPPED_RESPONSES = 16
"""A server that repeats a response does so a few times."""

ServerKey = tuple[str, int]


class ResponseWaiter(TypingProtocol):
    """Receives a connection and then the response to the request written on it."""

    def connected(self, connection: ServerConnection) -> None:
        """Handle the connection, on which nothing was written yet."""
        ...

    def connect_failed(self, error: ConnectError) -> None:
        """Handle that no connection could be opened; nothing was written."""
        ...

    def response_received(self, response: CompleteResponse) -> None:
        """Handle the complete response."""
        ...

    def response_failed(self, error: BackendServerError) -> None:
        """Handle the failure of the request; no complete response will follow."""
        ...


@implementer(IHalfCloseableProtocol)
class ServerConnection(Protocol):
    """One connection to a backend server.

    A response that doesn't echo the id of the pending request is dropped, and the
    connection waits for the one that does: only the id distinguishes a response from
    the repetition of an earlier one.
    """

    transport: Any = None

    def __init__(
        self, pool: ServerConnections, key: ServerKey, waiter: ResponseWaiter | None
    ) -> None:
        self._pool = pool
        self._key = key
        self._waiter = waiter
        self._reader = CompleteResponseReader()
        self._request_id: bytes | None = None
        self._is_reusable = True
        self._is_closed = False
        self._dropped_responses = 0
        self.idle_since_s = 0.0
        self.max_idle_s = MAX_IDLE_S

    def connectionMade(self) -> None:  # noqa: N802
        """Pass the connection to its waiter, or to the pool if there is none."""
        self.transport.setTcpNoDelay(True)
        watch_for_silence(self.transport)
        self._silence_limit = SilenceLimit(self.transport)
        self._pool.connections.add(self)
        waiter, self._waiter = self._waiter, None
        if waiter is None:
            self._pool.put_idle(self._key, self)
        else:
            waiter.connected(self)

    def send(self, request_id: bytes, data: bytes, waiter: ResponseWaiter) -> None:
        """Write one complete request."""
        self._waiter = waiter
        self._request_id = request_id
        self._is_reusable = len(data) <= MAX_REUSABLE_REQUEST_BYTES
        write_at_once(self.transport, data)

    @property
    def has_arrived(self) -> bool:
        """Return whether bytes, or the end of the connection, wait to be read."""
        return has_arrived(self.transport)

    def update_silence_limit(self, now: float) -> None:
        """Adapt the limit for silence while a request is pending."""
        if self._waiter is not None or self._silence_limit.is_extended:
            self._silence_limit.update(now)

    def close(self) -> None:
        """Reset the connection, which makes the server cancel a pending request."""
        self._waiter = None
        if not self._is_closed:
            self._is_closed = True
            self._release()
            self._pool.discard(self._key, self)
            self.transport.abortConnection()

    def _release(self) -> None:
        self._reader.release()
        self._pool.buffers.release(self)

    def drop_buffer(self) -> None:
        """Fail the request: its response takes more memory than any other."""
        if self._waiter is None:
            self.close()
        else:
            self._fail(InvalidResponseError("dropped: the buffers are full"))

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parse responses until the one to the pending request."""
        if self._is_closed:
            return
        if self._waiter is None:
            # No request is pending: a late or duplicate response.
            self.close()
            return
        error: InvalidResponseError | None = None
        try:
            responses: tuple[Any, ...] = tuple(self._reader.feed(data))
        except InvalidResponseError as invalid:
            error = invalid
            responses = invalid.responses
        for index, response in enumerate(responses):
            if self._is_awaited(response):
                has_surplus = index + 1 < len(responses) or error is not None
                self._finish(response, has_surplus=has_surplus)
                return
            # The server mixes up responses, so this connection is not used again.
            self._is_reusable = False
            self._dropped_responses += 1
        if error is None and self._dropped_responses > MAX_DROPPED_RESPONSES:
            error = InvalidResponseError("the responses belong to other requests")
        if error is not None:
            self._fail(error)
        else:
            self._pool.buffers.set_size(self, self._reader.buffered_bytes)

    def readConnectionLost(self) -> None:  # noqa: N802
        """Close the connection, once it is known whether the server resets it.

        A server that closes without reading on resets the connection when more of the
        request arrives; one that reads on acknowledges the rest of the request.
        """
        transport, is_reset = self.transport, was_reset(self.transport)
        if self._reader.is_until_close and not (is_reset or is_delivered(transport)):
            self._pool.clock.callLater(DELIVERY_POLL_S, self._check_delivery)
            return
        # This closes the socket, then calls ``connectionLost``.
        error = ConnectionLost() if is_reset else ConnectionDone()
        transport.connectionLost(Failure(error))

    def _check_delivery(self) -> None:
        if not self._is_closed:
            self.readConnectionLost()

    def writeConnectionLost(self) -> None:  # noqa: N802
        """Do nothing: the sending side is never ended alone."""

    def connectionLost(self, reason: Failure | None = None) -> None:  # noqa: N802
        """Complete a response without a length, or fail the request."""
        was_closed, self._is_closed = self._is_closed, True
        if was_closed:
            return
        self._pool.discard(self._key, self)
        is_clean = reason is not None and reason.check(ConnectionDone) is not None
        response = self._reader.end() if is_clean else None
        self._release()
        if self._waiter is None:
            return
        if response is not None and self._is_awaited(response):
            waiter, self._waiter = self._waiter, None
            waiter.response_received(response)
        else:
            self._fail(
                TruncatedResponseError(
                    "connection closed before the response was complete"
                )
            )

    def _is_awaited(self, response: CompleteResponse) -> bool:
        echoed = response.header(self._pool.request_id_header)
        return (echoed or b"") == self._request_id

    def _finish(self, response: CompleteResponse, *, has_surplus: bool) -> None:
        waiter, self._waiter = self._waiter, None
        self._request_id = None
        self._pool.buffers.release(self)
        is_clean = self._reader.is_between_responses and not has_surplus
        if self._is_reusable and response.keeps_alive and is_clean:
            self._update_max_idle(response)
            self._pool.put_idle(self._key, self)
        else:
            self.close()
        if waiter is not None:
            waiter.response_received(response)

    def _update_max_idle(self, response: CompleteResponse) -> None:
        value = response.header(b"keep-alive") or b""
        for part in value.split(b","):
            name, _, seconds = part.strip().partition(b"=")
            if name.lower() == b"timeout" and seconds.isdigit():
                self.max_idle_s = min(int(seconds) * USED_KEEP_ALIVE_SHARE, MAX_IDLE_S)

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
            error = ConnectError(
                f"cannot connect: {reason.getErrorMessage()}",
                is_refusal=reason.check(RefusedError) is not None,
            )
            self.waiter.connect_failed(error)


@attrs.define
class Connecting:
    """A connection that is being opened for one waiter."""

    _factory: _Factory

    def cancel(self) -> None:
        """Remove the waiter; the connection goes to the pool once it is open."""
        self._factory.waiter = None


class ServerConnections:
    """Pool of connections to each incarnation of a backend server.

    ``opened`` counts the connections that were started since the pool was created.
    ``own_queue_s`` returns for how long a packet waits at the instance's own link.
    """

    def __init__(
        self,
        reactor: Any,
        clock: Any,
        request_id_header: bytes,
        buffers: BufferAccount,
    ) -> None:
        self._reactor = reactor
        self.clock = clock
        self.request_id_header = request_id_header.lower()
        self._idle_by_server: dict[ServerKey, list[ServerConnection]] = {}
        self.connections: set[ServerConnection] = set()
        self.buffers = buffers
        self.opened = 0
        self.own_queue_s: Callable[[], float] = float

    def acquire(
        self,
        key: ServerKey,
        address: Address,
        waiter: ResponseWaiter,
        *,
        max_idle_s: float,
        may_open: bool = True,
    ) -> Connecting | None:
        """Pass the waiter an idle connection now, or a new one later.

        The idle one must not have been idle for more than ``max_idle_s`` seconds. No
        new one is opened unless ``may_open``. Return None if the waiter was called
        already.
        """
        now = self.clock.seconds()
        idle = self._idle_by_server.get(key)
        while idle:
            connection = idle.pop()
            idle_s = now - connection.idle_since_s
            if connection.has_arrived:
                # The server has ended it, or has sent what belongs to no request.
                connection.close()
                continue
            if idle_s <= min(max_idle_s, connection.max_idle_s):
                waiter.connected(connection)
                return None
            if idle_s <= connection.max_idle_s:
                # Keep it for requests that may be retried, which allow older ones.
                idle.append(connection)
                break
            connection.close()
        if not may_open:
            waiter.connect_failed(NotOpenedError("no open connection is idle"))
            return None
        return self.open(key, address, waiter)

    def open(
        self, key: ServerKey, address: Address, waiter: ResponseWaiter
    ) -> Connecting:
        """Open a new connection and pass it to the waiter."""
        self.opened += 1
        factory = _Factory(self, key, waiter)
        timeout_s = CONNECT_TIMEOUT_S + min(self.own_queue_s(), MAX_QUEUE_TIMEOUT_S)
        self._reactor.connectTCP(address.host, address.port, factory, timeout=timeout_s)
        return Connecting(factory)

    def servers_with_idle_connections(self) -> frozenset[str]:
        """Return the ids of the servers to which an idle connection exists."""
        return frozenset(key[0] for key, idle in self._idle_by_server.items() if idle)

    def put_idle(self, key: ServerKey, connection: ServerConnection) -> None:
        """Add a connection to the idle ones."""
        connection.idle_since_s = self.clock.seconds()
        self._idle_by_server.setdefault(key, []).append(connection)

    def discard(self, key: ServerKey, connection: ServerConnection) -> None:
        """Remove a connection that is closed."""
        self.connections.discard(connection)
        idle = self._idle_by_server.get(key)
        if idle and connection in idle:
            idle.remove(connection)

    def retain(self, keys: frozenset[ServerKey]) -> None:
        """Close the idle connections to servers other than ``keys``."""
        for key in tuple(self._idle_by_server):
            if key not in keys:
                for connection in self._idle_by_server.pop(key):
                    connection.close()

    def update_silence_limits(self, now: float) -> None:
        """Adapt the limits for silence; call this periodically."""
        for connection in self.connections:
            connection.update_silence_limit(now)

    def close_idle(self, now: float) -> None:
        """Close connections that were idle for longer than their ``max_idle_s``."""
        for idle in self._idle_by_server.values():
            for connection in tuple(idle):
                if now - connection.idle_since_s > connection.max_idle_s:
                    connection.close()
