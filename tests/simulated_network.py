"""Connect real protocols over simulated links that have a bandwidth."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import attrs
from twisted.internet.address import IPv4Address
from twisted.internet.error import ConnectionDone
from twisted.internet.error import ConnectionLost
from twisted.internet.error import ConnectionRefusedError
from twisted.internet.error import TimeoutError as ConnectTimeoutError
from twisted.internet.task import Clock
from twisted.python.failure import Failure

LATENCY_S = 0.005
QUANTUM_S = 0.01
"""Links hand out their bandwidth in steps of this length."""

RECEIVE_WINDOW_BYTES = 64 * 1024
"""What a host accepts on a connection whose program has paused reading."""


@attrs.define(eq=False)
class Network:
    """Move bytes between hosts; each has one rate for each direction.

    Connections share the links of their two hosts evenly. Datagrams only suffer the
    latency and the time that their own bytes take. The handshake of a connection waits
    behind what is queued at the links, up to ``queue_bytes`` for each direction of a
    link. A connect to or from a host in ``cut_hosts`` is never answered.
    """

    clock: Clock = attrs.Factory(Clock)
    rates_by_host: dict[str, float] = attrs.Factory(dict)
    listeners: dict[tuple[str, int], Any] = attrs.Factory(dict)
    datagram_ports: dict[tuple[str, int], Any] = attrs.Factory(dict)
    sent_by_host: dict[str, int] = attrs.Factory(dict)
    queue_bytes: int = 0
    cut_hosts: set[str] = attrs.Factory(set)
    _waiting: list[Transport] = attrs.Factory(list)
    _pumping: bool = False

    def add_host(self, host: str, bytes_per_s: float) -> Reactor:
        self.rates_by_host[host] = bytes_per_s
        self.sent_by_host[host] = 0
        return Reactor(self, host)

    def advance(self, seconds: float) -> None:
        """Let time pass in steps that are short beside the latency."""
        ends_s = self.clock.seconds() + seconds
        while self.clock.seconds() < ends_s:
            self.clock.advance(LATENCY_S)

    def enqueue(self, transport: Transport) -> None:
        if transport not in self._waiting:
            self._waiting.append(transport)
        if not self._pumping:
            self._pumping = True
            self.clock.callLater(0, self._pump)

    def handshake_s(self, near: str, far: str) -> float:
        """Return how long a connect from ``near`` to ``far`` takes to be answered."""
        if not self.cut_hosts.isdisjoint((near, far)):
            return float("inf")
        return 2 * LATENCY_S + self._queueing_s(near) + self._queueing_s(far)

    def _queueing_s(self, host: str) -> float:
        """Return how long a packet out of and one into ``host`` wait together."""
        outbound = sum(len(each.pending) for each in self._waiting if each.host == host)
        inbound = sum(
            len(each.pending) for each in self._waiting if each.peer.host == host
        )
        queued = min(outbound, self.queue_bytes) + min(inbound, self.queue_bytes)
        return queued / self.rates_by_host[host]

    def _pump(self) -> None:
        active = [each for each in self._waiting if each.may_transmit]
        senders: dict[str, int] = {}
        receivers: dict[str, int] = {}
        for each in active:
            senders[each.host] = senders.get(each.host, 0) + 1
            receivers[each.peer.host] = receivers.get(each.peer.host, 0) + 1
        for each in active:
            share = min(
                self.rates_by_host[each.host] / senders[each.host],
                self.rates_by_host[each.peer.host] / receivers[each.peer.host],
            )
            each.transmit(max(int(share * QUANTUM_S), 1))
        self._waiting = [each for each in active if each.may_transmit]
        self._pumping = bool(self._waiting)
        if self._pumping:
            self.clock.callLater(QUANTUM_S, self._pump)


class Transport:
    """One end of a connection."""

    disconnecting = False

    def __init__(self, network: Network, host: str, address: Any) -> None:
        self.network = network
        self.host = host
        self.address = address
        self.protocol: Any = None
        self.peer: Any = None
        self.pending = bytearray()
        self._arrived: list[bytes] = []
        self._unread = 0
        self._paused = False
        self._closed = False
        self._closing = False
        self._write_closing = False
        self._ended: BaseException | None = None

    # What protocols call.

    def write(self, data: bytes) -> None:
        if not (self._closed or self._closing):
            self.pending += data
            self.network.enqueue(self)

    def writeSequence(self, parts: Any) -> None:  # noqa: N802
        self.write(b"".join(parts))

    def loseConnection(self, reason: object = None) -> None:  # noqa: N802
        self._closing = True
        if not self.pending:
            self._close(ConnectionDone())

    def loseWriteConnection(self) -> None:  # noqa: N802
        self._write_closing = True
        self._end_writing()

    def abortConnection(self) -> None:  # noqa: N802
        self.pending.clear()
        self._close(ConnectionLost())

    def pauseProducing(self) -> None:  # noqa: N802
        self._paused = True

    def resumeProducing(self) -> None:  # noqa: N802
        self._paused = False
        self.network.clock.callLater(0, self._deliver)
        if self.peer.pending:
            self.network.enqueue(self.peer)

    def stopProducing(self) -> None:  # noqa: N802
        self.loseConnection()

    def registerProducer(self, producer: Any, streaming: bool) -> None:  # noqa: N802
        pass

    def unregisterProducer(self) -> None:  # noqa: N802
        pass

    def getPeer(self) -> Any:  # noqa: N802
        return self.peer.address

    def getHost(self) -> Any:  # noqa: N802
        return self.address

    def setTcpNoDelay(self, enabled: bool) -> None:  # noqa: N802
        pass

    def setTcpKeepAlive(self, enabled: bool) -> None:  # noqa: N802
        pass

    # What the network calls.

    @property
    def may_transmit(self) -> bool:
        """Return whether bytes wait that the peer has room for."""
        return bool(self.pending) and not self.peer.is_full

    @property
    def is_full(self) -> bool:
        """Return whether the program doesn't read and the window is used up."""
        return self._paused and self._unread >= RECEIVE_WINDOW_BYTES

    def transmit(self, size: int) -> None:
        piece = bytes(self.pending[:size])
        del self.pending[:size]
        self.peer.expect(len(piece))
        self.network.sent_by_host[self.host] += len(piece)
        self.network.clock.callLater(LATENCY_S, self.peer.arrive, piece)
        if self._closing and not self.pending:
            self._close(ConnectionDone())
        self._end_writing()

    def _end_writing(self) -> None:
        if self._write_closing and not self.pending and not self._closed:
            self.network.clock.callLater(LATENCY_S, self.peer.end, ConnectionDone())

    def expect(self, size: int) -> None:
        self._unread += size

    def arrive(self, piece: bytes) -> None:
        self._arrived.append(piece)
        self._deliver()

    def _deliver(self) -> None:
        while self._arrived and not self._paused and not self._closed:
            piece = self._arrived.pop(0)
            self._unread -= len(piece)
            self.protocol.dataReceived(piece)
        if self._ended is not None and not self._arrived and not self._closed:
            self._lose(self._ended)
            self.network.clock.callLater(LATENCY_S, self.peer.end, self._ended)

    def _close(self, reason: BaseException) -> None:
        if not self._closed:
            self.network.clock.callLater(LATENCY_S, self.peer.end, reason)
            self.network.clock.callLater(0, self._lose, reason)

    def end(self, reason: BaseException) -> None:
        self._ended = reason
        self._deliver()

    def _lose(self, reason: BaseException) -> None:
        if not self._closed:
            self._closed = True
            self.pending.clear()
            self.protocol.connectionLost(Failure(reason))


@attrs.define(eq=False)
class Port:
    """A listener at one address."""

    address: IPv4Address
    close: Callable[[], object]

    def getHost(self) -> IPv4Address:  # noqa: N802
        return self.address

    def stopListening(self) -> None:  # noqa: N802
        self.close()


@attrs.define(eq=False)
class DatagramTransport:
    """Send datagrams from one host."""

    network: Network
    host: str
    port: int

    def write(self, data: bytes, to: tuple[str, int]) -> None:
        receiver = self.network.datagram_ports.get(to)
        self.network.sent_by_host[self.host] += len(data)
        if receiver is not None:
            delay_s = LATENCY_S + len(data) / self.network.rates_by_host[self.host]
            self.network.clock.callLater(
                delay_s, receiver.datagramReceived, data, (self.host, self.port)
            )


@attrs.define(eq=False)
class Reactor:
    """What one host's program sees of the network and of time."""

    network: Network
    host: str
    stopped: bool = False

    def seconds(self) -> float:
        return self.network.clock.seconds()

    def callLater(self, delay_s: float, call: Any, *args: Any, **named: Any) -> Any:  # noqa: N802
        return self.network.clock.callLater(delay_s, call, *args, **named)

    def listenTCP(  # noqa: N802
        self, port: int, factory: Any, backlog: int = 50, interface: str = ""
    ) -> Port:
        key = (self.host, port)
        self.network.listeners[key] = factory
        factory.doStart()
        address = IPv4Address("TCP", self.host, port)
        return Port(address, lambda: self.network.listeners.pop(key, None))

    def listenUDP(self, port: int, protocol: Any, interface: str = "") -> Port:  # noqa: N802
        protocol.transport = DatagramTransport(self.network, self.host, port)
        key = (self.host, port)
        self.network.datagram_ports[key] = protocol
        address = IPv4Address("UDP", self.host, port)
        return Port(address, lambda: self.network.datagram_ports.pop(key, None))

    def connectTCP(  # noqa: N802
        self,
        host: str,
        port: int,
        factory: Any,
        timeout: float = 30,
        bindAddress: Any = None,  # noqa: N803
    ) -> None:
        factory.doStart()
        handshake_s = self.network.handshake_s(self.host, host)
        if handshake_s > timeout:
            timed_out = Failure(ConnectTimeoutError())
            self.callLater(timeout, factory.clientConnectionFailed, None, timed_out)
        else:
            self.callLater(handshake_s, self._connect, host, port, factory)

    def _connect(self, host: str, port: int, factory: Any) -> None:
        server = self.network.listeners.get((host, port))
        if server is None:
            refused = Failure(ConnectionRefusedError())
            factory.clientConnectionFailed(None, refused)
            return
        near = IPv4Address("TCP", self.host, 0)
        far = IPv4Address("TCP", host, port)
        here = Transport(self.network, self.host, near)
        there = Transport(self.network, host, far)
        here.peer, there.peer = there, here
        there.protocol = server.buildProtocol(near)
        here.protocol = factory.buildProtocol(far)
        there.protocol.makeConnection(there)
        here.protocol.makeConnection(here)

    def stop(self) -> None:
        self.stopped = True
