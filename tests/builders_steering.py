"""One failure domain whose instances are steered by their fullness, without a network.

Each named instance gets the same part of the demand. What an instance can't send at
once waits; above ``MAX_QUEUE_S`` it refuses. Callers follow the directory late.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from random import Random

import attrs

from gentianhitch.proxy.full_instances import FullInstances
from gentianhitch.proxy.model import Peer
from gentianhitch.proxy.own_limits import BYTES_PER_MBIT
from gentianhitch.proxy.own_limits import MAX_QUEUE_S
from gentianhitch.proxy.own_limits import Fullness
from gentianhitch.proxy.own_limits import OwnLoad
from gentianhitch.proxy.steering import ServingOrder
from tests.builders_proxy import make_peer

STEP_S = 0.1
REPORT_STEPS = 2
"""Reports come every 0.2 s."""

DIRECTORY_DELAY_S = 1.0

LARGE = {"capacity": 2.15, "link_mbps": 100.0}
SMALL = {"capacity": 0.43, "link_mbps": 5.0}


def make_mixed_fleet(large: int = 2, small: int = 36) -> list[Peer]:
    """Return one failure domain of the deployment with 115 instances."""
    return [
        *(make_peer(f"a-{number}", **LARGE) for number in range(large)),
        *(make_peer(f"a-{100 + number}", **SMALL) for number in range(small)),
    ]


def by_name(peers: list[Peer]) -> dict[str, Peer]:
    return {peer.name: peer for peer in peers}


@attrs.define(eq=False)
class _Instance:
    peer: Peer
    slowness: float = 1.0
    part: float = 0.0
    backlog_bytes: float = 0.0
    fullness: Fullness = attrs.Factory(Fullness)

    @property
    def bytes_per_s(self) -> float:
        return self.peer.link_mbps * BYTES_PER_MBIT / self.slowness

    @property
    def backlog_s(self) -> float:
        return self.backlog_bytes / self.bytes_per_s


class SteeredDomain:
    """Instances, their reports and the directory; ``demand_mbps`` is that of all.

    A share of the reports is lost at random. ``namings`` counts how often each instance
    was named that was not named before.
    """

    def __init__(self, peers: list[Peer], *, lost_share: float = 0.0) -> None:
        self.now = 100.0
        self.peers_by_name = by_name(peers)
        self.instances = {peer.name: _Instance(peer) for peer in peers}
        self.order = ServingOrder()
        self.order.serving(self.peers_by_name, self.now)
        self.full = FullInstances()
        self.named: frozenset[str] = frozenset()
        self.changes_s: list[float] = []
        self.namings: Counter[str] = Counter()
        self.served_bytes = 0.0
        self.refused_bytes = 0.0
        self._lost_share = lost_share
        self._random = Random(1)
        self._step = 0

    def remove(self, *names: str) -> None:
        """Take instances out of the listing, as when their leases end."""
        for name in names:
            del self.peers_by_name[name]
            del self.instances[name]

    def run(self, seconds: float, demand_mbps: Callable[[float], float]) -> None:
        """Let time pass; ``demand_mbps`` gets the seconds since the start."""
        begin_s = self.now
        while self.now < begin_s + seconds - STEP_S / 2:
            self._advance(demand_mbps(self.now - begin_s))

    def _advance(self, demand_mbps: float) -> None:
        self.now += STEP_S
        self._step += 1
        full = self.full.names(self.peers_by_name, self.now)
        named = self.order.named(self.peers_by_name, full, self.now)["a"]
        names = frozenset(peer.name for peer in named)
        if names != self.named:
            self.namings.update(names - self.named)
            self.named = names
            self.changes_s.append(self.now)
        for name, instance in self.instances.items():
            target = 1.0 / len(names) if name in names else 0.0
            instance.part += (target - instance.part) * STEP_S / DIRECTORY_DELAY_S
        total = sum(instance.part for instance in self.instances.values())
        for instance in self.instances.values():
            part = instance.part / total
            self._load(instance, demand_mbps * BYTES_PER_MBIT * part * STEP_S)
        if self._step % REPORT_STEPS == 0:
            self._report()

    def _load(self, instance: _Instance, arriving: float) -> None:
        sent = instance.bytes_per_s * STEP_S
        room = MAX_QUEUE_S * instance.bytes_per_s - instance.backlog_bytes + sent
        taken = min(arriving, room)
        self.refused_bytes += arriving - taken
        self.served_bytes += taken
        instance.backlog_bytes = max(instance.backlog_bytes + taken - sent, 0.0)

    def _report(self) -> None:
        for name, instance in self.instances.items():
            load = OwnLoad(instance.backlog_s, 0.0, False, True)
            percent = instance.fullness.update(load, self.now)
            if self._random.random() >= self._lost_share:
                self.full.record_report(name, percent, self.now)

    @property
    def refused_share(self) -> float:
        """Return the share of the demand that was refused so far."""
        return self.refused_bytes / (self.refused_bytes + self.served_bytes)
