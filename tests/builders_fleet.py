from __future__ import annotations

from random import Random

from gentianhitch.addresses import Address
from gentianhitch.instances.identity import InstanceId
from gentianhitch.instances.identity import Member
from gentianhitch.operators.document import BackendServer
from gentianhitch.operators.document import Document
from gentianhitch.operators.document import Service
from gentianhitch.platform.interface import ListedInstance
from gentianhitch.platform.interface import ListedState
from gentianhitch.platform.memory import MemoryStore
from gentianhitch.soak.network import Faults
from gentianhitch.soak.network import Network
from gentianhitch.soak.network import SoakClock
from gentianhitch.soak.process import Process


def make_address(number: int, port: int = 4000) -> Address:
    return Address(f"127.0.{number // 250}.{number % 250 + 1}", port)


def make_member(number: int, incarnation: int = 1, domains: int = 3) -> Member:
    return Member(
        InstanceId(f"entry-{number:03}", incarnation),
        f"domain-{number % domains}",
        make_address(number, 8000),
        make_address(number),
    )


def make_network(seed: int = 1, **faults: float) -> Network:
    return Network(SoakClock(), Random(seed), Faults(**faults))


def make_listed(member: Member) -> ListedInstance:
    return ListedInstance(
        member.id.name,
        member.failure_domain,
        member.callers,
        member.peers,
        ListedState.LIVE,
    )


def make_document(targets: int = 6, slots: int = 6, connections: int = 330) -> Document:
    servers = tuple(
        BackendServer(
            f"stock-{number}",
            make_address(number, 9000),
            f"domain-{number % 3}",
            "stock",
            slots,
            connections,
        )
        for number in range(targets)
    )
    return Document("trial", (), (Service("stock", 4, 1000),), servers, ())


def decode_no_document(data: bytes) -> Document:
    return Document(data.decode(), (), (), (), ())


class FleetWorld:
    """Instances, a network and a platform on one paused clock."""

    STEP_S = 0.02

    def __init__(self, size: int, seed: int = 1, **faults: float) -> None:
        self.network = make_network(seed, **faults)
        self.store = MemoryStore(self.network.clock)
        members = [make_member(number) for number in range(size)]
        self.store.listed = tuple(make_listed(member) for member in members)
        self.processes = [self.start(member) for member in members]

    def start(self, member: Member) -> Process:
        return Process.start(member, self.network, self.store, decode_no_document)

    def advance(self, seconds: float) -> None:
        for _ in range(round(seconds / self.STEP_S)):
            self.network.clock.advance(self.STEP_S)

    @property
    def now(self) -> float:
        return self.network.clock.seconds()

    def names(self) -> set[str]:
        return {process.member.id.name for process in self.processes}

    def fresh_names(self) -> set[str]:
        return {
            process.member.id.name
            for process in self.processes
            if process.fleet.is_fresh(self.now)
        }
