"""Pool with a bounded number of connections to each backend server."""

from __future__ import annotations

from typing import Any
from typing import Protocol as TypingProtocol

import attrs
from twisted.internet.interfaces import IAddress
from twisted.internet.protocol import ClientFactory
from twisted.python.failure import Failure

from gentianhitch.addresses import Address
from gentianhitch.backend_servers.connection import TargetConnection
from gentianhitch.backend_servers.errors import ConnectError
from gentianhitch.operators.document import BackendServer
from gentianhitch.socket_options import watch_for_silence

CONNECT_TIMEOUT_S = 0.5
MAX_IDLE_S = 4.0
MAX_PROVEN_IDLE_S = 1.0
"""Maximal idle time of connections for requests that must not be sent twice."""


class ConnectionWaiter(TypingProtocol):
    """Receives a connection or the failure to open one."""

    def connected(self, connection: TargetConnection) -> None:
        """Handle the connection, on which nothing was written yet."""
        ...

    def connect_failed(self, error: ConnectError) -> None:
        """Handle that no connection is available; nothing was written."""
        ...


@attrs.define
class Connecting:
    """A connection that is being opened for one waiter."""

    waiter: ConnectionWaiter | None

    def cancel(self) -> None:
        """Remove the waiter; the connection goes to the pool once it is open."""
        self.waiter = None


@attrs.define
class _TargetPool:
    """Connections to one address; ``idle`` is ordered by last use, latest last."""

    idle: list[TargetConnection] = attrs.Factory(list)
    open_connections: int = 0


class ConnectionPool:
    """Opens and reuses connections, per target at most its slots or connections."""

    def __init__(self, reactor: Any, clock: Any) -> None:
        self._reactor = reactor
        self._clock = clock
        self._pools_by_address: dict[Address, _TargetPool] = {}
        self.connections: set[TargetConnection] = set()

    def seconds(self) -> float:
        """Return the time of the pool's clock in seconds."""
        now: float = self._clock.seconds()
        return now

    def acquire(
        self, target: BackendServer, waiter: ConnectionWaiter, *, proven: bool
    ) -> Connecting | None:
        """Pass the waiter an idle connection now, or a new one later.

        With ``proven``, an idle one must have received data within MAX_PROVEN_IDLE_S.
        Return None if the waiter was called already.
        """
        pool = self._pools_by_address.get(target.address)
        if pool is None:
            pool = self._pools_by_address[target.address] = _TargetPool()
        max_age_s = MAX_PROVEN_IDLE_S if proven else MAX_IDLE_S
        connection = self._pop_idle(pool, max_age_s)
        if connection is not None:
            waiter.connected(connection)
            return None
        if not _make_room(pool, target):
            waiter.connect_failed(ConnectError(f"{target.name}: no connection left"))
            return None
        return self._open(pool, target, waiter)

    def close_idle(self, now: float, max_idle_s: float = MAX_IDLE_S) -> None:
        """Close connections that were idle for ``max_idle_s`` seconds or longer."""
        for pool in self._pools_by_address.values():
            for connection in tuple(pool.idle):
                if now - connection.last_received_s >= max_idle_s:
                    connection.close()

    def update_silence_limits(self, now: float) -> None:
        """Adapt the limits for silence; call this periodically."""
        for connection in self.connections:
            connection.update_silence_limit(now)

    def open_by_address(self) -> dict[Address, int]:
        """Return the number of open connections for each address."""
        return {
            address: pool.open_connections
            for address, pool in self._pools_by_address.items()
        }

    def _pop_idle(self, pool: _TargetPool, max_age_s: float) -> TargetConnection | None:
        if not pool.idle:
            return None
        # The last one was used most recently: if it is too old, all are.
        if self.seconds() - pool.idle[-1].last_received_s > max_age_s:
            return None
        return pool.idle.pop()

    def _open(
        self, pool: _TargetPool, target: BackendServer, waiter: ConnectionWaiter
    ) -> Connecting:
        pool.open_connections += 1
        connecting = Connecting(waiter)
        factory = _ConnectionFactory(_PoolOwner(self, pool), connecting)
        self._reactor.connectTCP(
            target.address.host,
            target.address.port,
            factory,
            timeout=CONNECT_TIMEOUT_S,
        )
        return connecting


def _make_room(pool: _TargetPool, target: BackendServer) -> bool:
    if pool.open_connections < min(target.slots, target.connections):
        return True
    if not pool.idle:
        return False
    pool.idle[0].close()
    return True


@attrs.define(eq=False)
class _PoolOwner:
    """Returns connections to the pool of their target."""

    _connection_pool: ConnectionPool
    _pool: _TargetPool

    def connection_made(self, connection: TargetConnection) -> None:
        """Add a new connection to all of the pool."""
        self._connection_pool.connections.add(connection)

    def connection_idle(self, connection: TargetConnection) -> None:
        """Add a connection to the idle ones."""
        self._pool.idle.append(connection)

    def connection_closed(self, connection: TargetConnection) -> None:
        """Remove a closed connection from the pool."""
        self._connection_pool.connections.discard(connection)
        self._pool.open_connections -= 1
        if connection in self._pool.idle:
            self._pool.idle.remove(connection)

    def connect_failed(self) -> None:
        """Subtract a connection that could not be opened."""
        self._pool.open_connections -= 1

    def seconds(self) -> float:
        """Return the time of the pool's clock in seconds."""
        return self._connection_pool.seconds()


class _ConnectionFactory(ClientFactory):
    """Builds the connection for one waiter."""

    noisy = False

    def __init__(self, owner: _PoolOwner, connecting: Connecting) -> None:
        self._owner = owner
        self._connecting = connecting

    def buildProtocol(self, addr: IAddress | None) -> TargetConnection:  # noqa: N802
        """Return the protocol of the new connection."""
        return _NewConnection(self._owner, self._connecting)

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:  # noqa: N802
        """Report the failure to the waiter, if it still waits."""
        self._owner.connect_failed()
        if self._connecting.waiter is not None:
            self._connecting.waiter.connect_failed(
                ConnectError(f"cannot connect: {reason.getErrorMessage()}")
            )


class _NewConnection(TargetConnection):
    """A connection that is passed to its waiter once it is open."""

    def __init__(self, owner: _PoolOwner, connecting: Connecting) -> None:
        super().__init__(owner)
        self._pool_owner = owner
        self._connecting = connecting

    def connectionMade(self) -> None:  # noqa: N802
        """Pass the connection to its waiter, or to the pool if there is none."""
        super().connectionMade()
        watch_for_silence(self.transport)
        self._pool_owner.connection_made(self)
        waiter, self._connecting.waiter = self._connecting.waiter, None
        if waiter is None:
            self._pool_owner.connection_idle(self)
        else:
            waiter.connected(self)
