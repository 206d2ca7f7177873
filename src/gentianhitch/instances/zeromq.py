"""Send messages between entry instances over ZeroMQ on the Twisted reactor."""

from __future__ import annotations

from collections import Counter
from collections import OrderedDict
from collections import defaultdict
from collections.abc import Callable
from typing import Any

import msgspec
import xxhash
import zmq
from loguru import logger
from twisted.internet.interfaces import IReadDescriptor
from zope.interface import implementer

from gentianhitch import json_codec
from gentianhitch.addresses import Address
from gentianhitch.errors import GentianhitchError
from gentianhitch.instances import codec
from gentianhitch.instances.identity import InstanceId
from gentianhitch.instances.transport import Handler
from gentianhitch.instances.transport import T

MAX_MESSAGE_BYTES = 1_000_000
HIGH_WATER_MARK = 256
MAX_PEER_SOCKETS = 512
MAX_READ_BATCH = 200
HEARTBEAT_INTERVAL_MS = 1_000
HEARTBEAT_TIMEOUT_MS = 3_000
RECONNECT_MS = 100
MAX_RECONNECT_MS = 2_000
FRAME_HEADER_BYTES = 2

_MAGIC = b"gentianhitch/1"


class TransportError(GentianhitchError):
    """A message is too large or an address cannot be bound."""


def _endpoint(address: Address) -> str:
    return f"tcp://{address}"


def _checksum(sender: bytes, body: bytes) -> bytes:
    return xxhash.xxh64_digest(sender + body)


def _wire_size_bytes(frames: list[bytes]) -> int:
    return sum(len(frame) + FRAME_HEADER_BYTES for frame in frames)


@implementer(IReadDescriptor)
class ZeroMqTransport:
    """Implements ``Transport`` with one PULL socket and one PUSH socket per peer.

    Sockets work in one direction only, so the envelope contains the sender. It also
    contains the environment, so that messages from another fleet are rejected.
    Sending never blocks: a message above the high-water mark is counted and dropped.
    """

    def __init__(
        self,
        reactor: Any,
        instance: InstanceId,
        environment: str,
        address: Address,
        count: Callable[[str, int], None] | None = None,
    ) -> None:
        self.counts_by_name: Counter[str] = Counter()
        self._forward_count = count
        self._reactor = reactor
        self._environment = environment.encode()
        self._sender = msgspec.msgpack.encode([instance.name, instance.incarnation])
        self._handlers_by_kind: defaultdict[
            type, list[Callable[[InstanceId, Any], None]]
        ] = defaultdict(list)
        self._sockets_by_address: OrderedDict[Address, Any] = OrderedDict()
        self._closed = False
        self._context = zmq.Context(io_threads=1)
        self._receiver = self._bind(address)
        bound = self._receiver.getsockopt(zmq.LAST_ENDPOINT).rstrip(b"\0").decode()
        self.address = Address.parse(bound.removeprefix("tcp://"))
        reactor.addReader(self)
        # The descriptor signals only changes, so earlier messages are read here.
        reactor.callLater(0, self.doRead)

    def send(self, peers: Address, body: object) -> None:
        """Send ``body`` to the instance at ``peers``; drop it if the queue is full."""
        data = codec.encode(body)
        if len(data) > MAX_MESSAGE_BYTES:
            raise TransportError(
                f"{type(body).__name__} of {len(data)} bytes is above the limit of "
                f"{MAX_MESSAGE_BYTES} bytes"
            )
        if self._closed:
            return
        frames = [
            _MAGIC,
            self._environment,
            self._sender,
            _checksum(self._sender, data),
            data,
        ]
        try:
            self._socket(peers).send_multipart(frames, zmq.NOBLOCK)
        except zmq.ZMQError:
            self._count("peers.sends_dropped")
        else:
            self._count("peers.sent")
            self._count("peers.bytes_sent", _wire_size_bytes(frames))

    def subscribe(self, kind: type[T], handler: Handler[T]) -> None:
        """Call ``handler`` with the sender and each message of ``kind``."""
        self._handlers_by_kind[kind].append(handler)

    def close(self) -> None:
        """Close all sockets; messages not yet sent are dropped."""
        if self._closed:
            return
        self._closed = True
        self._reactor.removeReader(self)
        for socket in [self._receiver, *self._sockets_by_address.values()]:
            socket.close(linger=0)
        self._sockets_by_address.clear()
        self._context.term()

    def fileno(self) -> int:
        """Return the descriptor that becomes readable when the socket changes."""
        return -1 if self._closed else int(self._receiver.getsockopt(zmq.FD))

    def logPrefix(self) -> str:  # noqa: N802
        """Return the name of this reader in the reactor's logs."""
        return "peers"

    def connectionLost(self, reason: object) -> None:  # noqa: N802
        """Close all sockets when the reactor removes this reader."""
        self.close()

    def doRead(self) -> None:  # noqa: N802
        """Handle all queued messages, in batches so that the reactor is not blocked.

        The descriptor is edge-triggered and may not signal queued messages again, so
        reading continues until none is left.
        """
        for _ in range(MAX_READ_BATCH):
            if self._closed:
                return
            try:
                frames = self._receiver.recv_multipart(zmq.NOBLOCK)
            except zmq.Again:
                return
            except zmq.ZMQError:
                self._count("peers.receive_errors")
                return
            self._handle(frames)
        self._reactor.callLater(0, self.doRead)

    def _handle(self, frames: list[bytes]) -> None:
        try:
            sender, body = self._unpack(frames)
        except (codec.MalformedMessageError, *json_codec.DecodeError):
            self._count("peers.malformed")
            return
        self._count("peers.received")
        self._count("peers.bytes_received", _wire_size_bytes(frames))
        for handler in self._handlers_by_kind[type(body)]:
            try:
                handler(sender, body)
            except Exception:
                # An exception from here would make the reactor remove the reader.
                self._count("peers.handler_errors")
                logger.exception(
                    "handler of {} raised an error; other handlers still run",
                    type(body).__name__,
                )

    def _unpack(self, frames: list[bytes]) -> tuple[InstanceId, object]:
        if len(frames) != 5 or frames[0] != _MAGIC or frames[1] != self._environment:
            raise codec.MalformedMessageError(
                "envelope has another format or environment"
            )
        sender, checksum, data = frames[2:]
        if checksum != _checksum(sender, data):
            raise codec.MalformedMessageError(
                "checksum does not match the sender and body"
            )
        name, incarnation = msgspec.msgpack.decode(sender, type=tuple[str, int])
        return InstanceId(name, incarnation), codec.decode(data)

    def _bind(self, address: Address) -> Any:
        socket = self._new_socket(zmq.PULL, address)
        socket.setsockopt(zmq.MAXMSGSIZE, MAX_MESSAGE_BYTES + 1024)
        try:
            socket.bind(_endpoint(address))
        except zmq.ZMQError as error:
            socket.close(linger=0)
            self._context.term()
            raise TransportError(f"cannot listen at {address}: {error}") from error
        return socket

    def _socket(self, peers: Address) -> Any:
        socket = self._sockets_by_address.get(peers)
        if socket is None:
            socket = self._new_socket(zmq.PUSH, peers)
            socket.connect(_endpoint(peers))
            self._sockets_by_address[peers] = socket
            if len(self._sockets_by_address) > MAX_PEER_SOCKETS:
                _, oldest = self._sockets_by_address.popitem(last=False)
                oldest.close(linger=0)
        self._sockets_by_address.move_to_end(peers)
        return socket

    def _new_socket(self, kind: int, address: Address) -> Any:
        socket = self._context.socket(kind)
        socket.setsockopt(zmq.LINGER, 0)
        socket.setsockopt(zmq.SNDHWM, HIGH_WATER_MARK)
        socket.setsockopt(zmq.RCVHWM, HIGH_WATER_MARK)
        socket.setsockopt(zmq.HEARTBEAT_IVL, HEARTBEAT_INTERVAL_MS)
        socket.setsockopt(zmq.HEARTBEAT_TIMEOUT, HEARTBEAT_TIMEOUT_MS)
        socket.setsockopt(zmq.RECONNECT_IVL, RECONNECT_MS)
        socket.setsockopt(zmq.RECONNECT_IVL_MAX, MAX_RECONNECT_MS)
        socket.setsockopt(zmq.IPV6, int(":" in address.host))
        return socket

    def _count(self, name: str, amount: int = 1) -> None:
        self.counts_by_name[name] += amount
        if self._forward_count is not None:
            self._forward_count(name, amount)
