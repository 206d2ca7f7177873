from __future__ import annotations

import pytest

from gentianhitch.instances import codec
from gentianhitch.instances.identity import InstanceId
from gentianhitch.soak.network import ANY
from gentianhitch.soak.network import Endpoint
from gentianhitch.soak.network import Network
from tests.builders_fleet import make_address
from tests.builders_fleet import make_network

A = make_address(1)
B = make_address(2)


@codec.message
class Number:
    value: int


def attach(network: Network) -> tuple[Endpoint, Endpoint, list[int]]:
    received: list[int] = []
    a = network.attach(InstanceId("a", 1), A)
    b = network.attach(InstanceId("b", 1), B)
    b.subscribe(Number, lambda sender, body: received.append(body.value))
    return a, b, received


class TestNetwork:
    def test_delays_and_reorders(self) -> None:
        network = make_network(max_delay_s=1.0)
        a, _, received = attach(network)
        for value in range(20):
            a.send(B, Number(value))
        assert received == []
        network.clock.advance(1.0)
        assert sorted(received) == list(range(20))
        assert received != sorted(received)

    def test_loses_and_duplicates_the_asked_share(self) -> None:
        network = make_network(loss=0.5, duplication=0.5)
        a, _, received = attach(network)
        for value in range(400):
            a.send(B, Number(value))
        network.clock.advance(1.0)
        assert 150 < len(set(received)) < 250
        assert 1.3 < len(received) / len(set(received)) < 1.7

    @pytest.mark.parametrize("cut", [(A, B), (A, ANY), (ANY, B)])
    def test_cuts_one_way(self, cut: tuple[object, object]) -> None:
        network = make_network()
        a, b, received = attach(network)
        back: list[int] = []
        a.subscribe(Number, lambda sender, body: back.append(body.value))
        network.cut(*cut)  # type: ignore[arg-type]
        a.send(B, Number(1))
        b.send(A, Number(2))
        network.clock.advance(1.0)
        assert (received, back) == ([], [2])
        network.heal_all()
        a.send(B, Number(3))
        network.clock.advance(1.0)
        assert received == [3]

    def test_keeps_messages_of_a_paused_endpoint(self) -> None:
        network = make_network()
        a, b, received = attach(network)
        b.pause()
        a.send(B, Number(1))
        network.clock.advance(100.0)
        assert received == []
        b.resume()
        assert received == [1]
