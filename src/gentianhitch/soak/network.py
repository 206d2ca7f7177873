"""A message queue that loses, delays, reorders and cuts one way on a paused clock."""

from __future__ import annotations

from bisect import insort
from collections import defaultdict
from collections.abc import Callable
from random import Random
from typing import Any

import attrs
from twisted.internet.base import DelayedCall
from twisted.internet.interfaces import IDelayedCall
from twisted.internet.task import Clock

from gentianhitch.addresses import Address
from gentianhitch.instances import codec
from gentianhitch.instances.identity import InstanceId
from gentianhitch.instances.transport import Handler
from gentianhitch.instances.transport import T

ANY = None
"""Stands for every address in a one-way cut."""


class SoakClock(Clock):
    """A paused clock whose cost of a timer does not grow with their number."""

    def callLater(  # noqa: N802
        self, delay: float, callable: Callable[..., Any], *args: object, **kw: object
    ) -> IDelayedCall:
        """Call ``callable`` when the clock was advanced by ``delay``."""
        call = DelayedCall(
            self.seconds() + delay,
            callable,
            args,
            kw,
            self.calls.remove,
            lambda _: None,
            self.seconds,
        )
        insort(self.calls, call, key=DelayedCall.getTime)
        return call

    def advance(self, amount: float) -> None:
        """Move the clock on and fire what is due, in order."""
        self.rightNow += amount
        while self.calls and self.calls[0].getTime() <= self.seconds():
            call = self.calls.pop(0)
            call.called = 1
            call.func(*call.args, **call.kw)


@attrs.define
class Faults:
    """Say how the network treats each message; delays are in seconds."""

    loss: float = 0.0
    duplication: float = 0.0
    min_delay_s: float = 0.001
    max_delay_s: float = 0.005


@attrs.define
class Traffic:
    """Count what the network carried."""

    messages: int = 0
    bytes: int = 0
    lost: int = 0


@attrs.define(eq=False)
class Network:
    """Deliver messages between endpoints on one paused clock.

    Delays are drawn for each message, so messages overtake each other. Messages
    pass through the codec, so that what arrives is what the wire would carry.
    """

    clock: Clock
    random: Random
    faults: Faults = attrs.Factory(Faults)
    traffic: Traffic = attrs.Factory(Traffic)
    _endpoints_by_address: dict[Address, Endpoint] = attrs.Factory(dict)
    _cuts: set[tuple[Address | None, Address | None]] = attrs.Factory(set)

    def attach(self, instance: InstanceId, address: Address) -> Endpoint:
        """Open the endpoint of ``instance``; it replaces one at the same address."""
        endpoint = Endpoint(instance, address, self)
        self._endpoints_by_address[address] = endpoint
        return endpoint

    def detach(self, address: Address) -> None:
        """Close the endpoint at ``address``; what is under way to it is lost."""
        self._endpoints_by_address.pop(address, None)

    def is_attached(self, endpoint: Endpoint) -> bool:
        """Tell whether messages still reach ``endpoint``."""
        return self._endpoints_by_address.get(endpoint.address) is endpoint

    def cut(self, source: Address | None, target: Address | None) -> None:
        """Lose every message from ``source`` to ``target``; ANY stands for all."""
        self._cuts.add((source, target))

    def heal(self, source: Address | None, target: Address | None) -> None:
        """End one cut made with the same arguments."""
        self._cuts.discard((source, target))

    def heal_all(self) -> None:
        """End every cut."""
        self._cuts.clear()

    def carry(self, source: Endpoint, target: Address, body: object) -> None:
        """Lose the message, or deliver it once or twice after drawn delays."""
        data = codec.encode(body)
        self.traffic.messages += 1
        self.traffic.bytes += len(data)
        if self._is_cut(source.address, target) or self._draw(self.faults.loss):
            self.traffic.lost += 1
            return
        copies = 2 if self._draw(self.faults.duplication) else 1
        for _ in range(copies):
            delay = self.random.uniform(
                self.faults.min_delay_s, self.faults.max_delay_s
            )
            self.clock.callLater(delay, self._deliver, source.instance, target, data)

    def _deliver(self, sender: InstanceId, target: Address, data: bytes) -> None:
        endpoint = self._endpoints_by_address.get(target)
        if endpoint is None:
            self.traffic.lost += 1
            return
        endpoint.receive(sender, data)

    def _draw(self, probability: float) -> bool:
        return probability > 0 and self.random.random() < probability

    def _is_cut(self, source: Address, target: Address) -> bool:
        if not self._cuts:
            return False
        pairs = {(source, target), (source, ANY), (ANY, target), (ANY, ANY)}
        return not pairs.isdisjoint(self._cuts)


@attrs.define(eq=False)
class Endpoint:
    """Implement ``Transport`` for one instance on a ``Network``.

    While ``paused``, arriving messages wait and are handled on ``resume``, like
    those in the socket buffers of a stopped process.
    """

    instance: InstanceId
    address: Address
    network: Network
    paused: bool = False
    _handlers_by_kind: defaultdict[type, list[Callable[[InstanceId, Any], None]]] = (
        attrs.Factory(lambda: defaultdict(list))
    )
    _waiting: list[tuple[InstanceId, bytes]] = attrs.Factory(list)

    def send(self, peers: Address, body: object) -> None:
        """Give ``body`` to the network."""
        self.network.carry(self, peers, body)

    def subscribe(self, kind: type[T], handler: Handler[T]) -> None:
        """Call ``handler`` with the sender and each message of ``kind``."""
        self._handlers_by_kind[kind].append(handler)

    def receive(self, sender: InstanceId, data: bytes) -> None:
        """Handle one message, or keep it while paused."""
        if self.paused:
            self._waiting.append((sender, data))
            return
        body = codec.decode(data)
        for handler in self._handlers_by_kind[type(body)]:
            handler(sender, body)

    def pause(self) -> None:
        """Keep arriving messages until ``resume``."""
        self.paused = True

    def resume(self) -> None:
        """Handle the messages that arrived during the pause."""
        self.paused = False
        waiting, self._waiting = self._waiting, []
        for sender, data in waiting:
            self.receive(sender, data)
