from __future__ import annotations

import socket
import time
from collections.abc import Callable
from collections.abc import Iterator
from typing import Any

import pytest
import zmq
from twisted.internet.epollreactor import EPollReactor

from gentianhitch.addresses import Address
from gentianhitch.instances import codec
from gentianhitch.instances.identity import InstanceId
from gentianhitch.instances.zeromq import MAX_MESSAGE_BYTES
from gentianhitch.instances.zeromq import TransportError
from gentianhitch.instances.zeromq import ZeroMqTransport
from gentianhitch.metrics import Metrics

ANY_PORT = Address("127.0.0.1", 0)


@codec.message
class Text:
    value: str


class Pair:
    """Two transports on a reactor that the test iterates itself."""

    def __init__(self) -> None:
        self.reactor: Any = EPollReactor()
        self.metrics = Metrics()
        self.a = ZeroMqTransport(
            self.reactor, InstanceId("a", 1), "trial", ANY_PORT, self.metrics.count
        )
        self.b = ZeroMqTransport(self.reactor, InstanceId("b", 7), "trial", ANY_PORT)
        self.received: list[tuple[InstanceId, str]] = []
        self.a.subscribe(
            Text, lambda sender, body: self.received.append((sender, body.value))
        )

    def run_until(self, condition: Callable[[], bool]) -> None:
        deadline = time.monotonic() + 20
        while not condition():
            assert time.monotonic() < deadline, "condition not met within 20 s"
            self.reactor.runUntilCurrent()
            self.reactor.doIteration(0.01)


@pytest.fixture
def pair() -> Iterator[Pair]:
    pair = Pair()
    yield pair
    pair.a.close()
    pair.b.close()


class TestZeroMqTransport:
    def test_delivers_the_sender_with_the_message(self, pair: Pair) -> None:
        pair.b.send(pair.a.address, Text("hello"))
        pair.run_until(lambda: len(pair.received) == 1)
        assert pair.received == [(InstanceId("b", 7), "hello")]

    def test_forwards_every_count_once(self, pair: Pair) -> None:
        # Guards against double counts: the transport's counts and the forwarded ones
        # were added up in the report of an instance.
        pair.b.send(pair.a.address, Text("hello"))
        pair.run_until(lambda: len(pair.received) == 1)
        assert pair.metrics.counts_by_name["peers.received"] == 1
        assert pair.metrics.counts_by_name["peers.bytes_received"] > 0
        assert pair.metrics.counts_by_name == pair.a.counts_by_name

    def test_receives_a_burst_larger_than_one_batch(self, pair: Pair) -> None:
        pair.b.send(pair.a.address, Text("first"))
        pair.run_until(lambda: len(pair.received) == 1)
        for number in range(250):
            pair.b.send(pair.a.address, Text(str(number)))
        sent = pair.b.counts_by_name["peers.sent"]
        pair.run_until(lambda: len(pair.received) == sent)
        assert sent >= 201

    def test_drops_messages_to_a_peer_that_does_not_receive(self, pair: Pair) -> None:
        with socket.socket() as not_listening:
            not_listening.bind(("127.0.0.1", 0))
            target = Address("127.0.0.1", not_listening.getsockname()[1])
            for _ in range(1000):
                pair.b.send(target, Text("lost"))
        assert pair.b.counts_by_name["peers.sends_dropped"] >= 700

    @pytest.mark.parametrize(
        "frames",
        [
            [b"noise"],
            [b"gentianhitch/1", b"production", b"x", b"y", b"z"],
            [b"gentianhitch/1", b"trial", b"\x92\xa1a\x01", b"12345678", b"z"],
        ],
    )
    def test_counts_and_drops_malformed_messages(
        self, pair: Pair, frames: list[bytes]
    ) -> None:
        context = zmq.Context()
        raw_socket = context.socket(zmq.PUSH)
        raw_socket.connect(f"tcp://{pair.a.address}")
        raw_socket.send_multipart(frames)
        pair.run_until(lambda: pair.a.counts_by_name["peers.malformed"] == 1)
        pair.b.send(pair.a.address, Text("still heard"))
        pair.run_until(lambda: len(pair.received) == 1)
        raw_socket.close(linger=0)
        context.term()

    def test_handles_messages_after_a_handler_raised(self, pair: Pair) -> None:
        pair.a.subscribe(Text, lambda sender, body: 1 / 0)  # type: ignore[arg-type]
        pair.b.send(pair.a.address, Text("one"))
        pair.b.send(pair.a.address, Text("two"))
        pair.run_until(lambda: len(pair.received) == 2)
        assert pair.a.counts_by_name["peers.handler_errors"] == 2

    def test_refuses_a_message_above_the_size_limit(self, pair: Pair) -> None:
        with pytest.raises(TransportError, match="above"):
            pair.b.send(pair.a.address, Text("x" * MAX_MESSAGE_BYTES))
