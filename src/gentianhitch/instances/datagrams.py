"""Datagrams between entry instances: they need no connection that may go silent."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec
from twisted.internet.protocol import DatagramProtocol

from gentianhitch.addresses import Address
from gentianhitch.instances.codec import MalformedMessageError
from gentianhitch.proxy.balancing import AttemptResult


class Ask(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Ask how fresh the receiver's knowledge is, and for what differs.

    ``sent_s`` is the asker's clock; ``revision`` that of its listing. With the digests
    of its buckets it asks for those that differ.
    """

    sender: str
    sent_s: float
    revision: int
    digests: bytes = b""


class Told(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Answer an :class:`Ask`: what is known, and how long ago each part was proved.

    ``digest`` is that of the whole listing. ``buckets`` holds as many of the differing
    buckets as fit in a datagram, each encoded, by their numbers; ``remaining`` counts
    those left out.
    """

    sender: str
    asked_s: float
    listing_age_s: float
    listing_revision: int
    digest: bytes
    configuration_age_s: float
    configuration_revision: int
    is_compared: bool = False
    buckets: list[tuple[int, bytes]] = []
    remaining: int = 0


class Seen(msgspec.Struct, frozen=True, array_like=True):
    """One attempt at a backend server, and how long after it was sent it ended."""

    server: str
    started_ms: int
    route: str
    latency_ms: int
    result: AttemptResult


class Running(msgspec.Struct, frozen=True, array_like=True):
    """The requests of one route that run at one backend server, by their age."""

    server: str
    started_ms: int
    route: str
    ages_ms: list[int]


class Report(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """What an instance did since its last report.

    ``sent_s`` is the sender's clock. ``totals_by_workspace`` holds the admissions of
    its incarnation, those of them that are older than the window, and, if the report
    ``is_complete``, those of all instances in the window.
    """

    sender: str
    incarnation: int
    sent_s: float
    is_complete: bool
    totals_by_workspace: dict[str, tuple[int, int, int]]
    running: list[Running]
    seen: list[Seen]


Message = Ask | Told | Report

_decoder = msgspec.msgpack.Decoder(Message)
_encoder = msgspec.msgpack.Encoder()


def decode(data: bytes) -> Message:
    """Decode a datagram; raise MalformedMessageError."""
    try:
        return _decoder.decode(data)
    except msgspec.MsgspecError as error:
        raise MalformedMessageError(f"malformed datagram: {error}") from error


Receive = Callable[[Message, Address], None]


class Datagrams(DatagramProtocol):
    """Send and receive messages; lost ones are not repeated."""

    transport: Any = None

    def __init__(self, receive: Receive, count: Callable[[str], None]) -> None:
        self._receive = receive
        self._count = count

    def send(self, message: Message, to: Address) -> None:
        """Send one message."""
        data = _encoder.encode(message)
        try:
            self.transport.write(data, (to.host, to.port))
        except OSError:
            self._count("datagrams_not_sent")

    def datagramReceived(self, data: bytes, addr: Any) -> None:  # noqa: N802
        """Pass a message on."""
        try:
            message = decode(data)
        except MalformedMessageError:
            self._count("datagrams_malformed")
            return
        self._receive(message, Address(addr[0], addr[1]))
