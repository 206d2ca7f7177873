from __future__ import annotations

import itertools
from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Iterable
from random import Random
from typing import Any
from typing import TypeVar

import attrs
from twisted.internet.defer import Deferred

from gentianhitch.addresses import Address
from gentianhitch.decisions.exchange import EvidenceExchange
from gentianhitch.decisions.freshness import Freshness
from gentianhitch.decisions.member_list import MemberList
from gentianhitch.instances.identity import InstanceId
from gentianhitch.instances.identity import Member
from gentianhitch.instances.messages import ExchangeReply
from gentianhitch.operators.document import BackendServer
from gentianhitch.operators.document import Document
from gentianhitch.operators.document import Service
from gentianhitch.platform.memory import MemoryPlatform
from gentianhitch.platform.memory import MemoryStore
from gentianhitch.soak.network import Faults
from gentianhitch.soak.network import Network
from gentianhitch.soak.network import SoakClock
from gentianhitch.soak.operating import decode_named_document
from gentianhitch.soak.operating import listed
from gentianhitch.soak.operating import promote
from gentianhitch.soak.process import Process

T = TypeVar("T")


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


class FleetWorld:
    """Instances, a network and a platform on one paused clock."""

    STEP_S = 0.02

    def __init__(self, size: int, seed: int = 1, **faults: float) -> None:
        self.network = make_network(seed, **faults)
        self.store = MemoryStore(self.network.clock)
        members = [make_member(number) for number in range(size)]
        self.store.listed = tuple(listed(member) for member in members)
        self.processes = [self.start(member) for member in members]

    def start(self, member: Member) -> Process:
        return Process.start(member, self.network, self.store, decode_named_document)

    def advance(self, seconds: float) -> None:
        for _ in range(round(seconds / self.STEP_S)):
            self.network.clock.advance(self.STEP_S)

    def start_number(self, number: int, incarnation: int = 1) -> Process:
        process = self.start(make_member(number, incarnation))
        self.processes.append(process)
        return process

    def replace(self, number: int) -> None:
        old = self.processes.pop(0)
        old.kill()
        self.start_number(number, old.member.id.incarnation + 1)

    def cut(self, some: Iterable[int], others: Iterable[int]) -> None:
        for one, other in itertools.product(some, others):
            addresses = make_address(one), make_address(other)
            self.network.cut(*addresses)
            self.network.cut(*reversed(addresses))

    def promote(self, revision: int, data: bytes = b"document") -> int:
        return self.run(promote(MemoryPlatform(self.store), revision, data))

    def run(self, call: Coroutine[Deferred[Any], Any, T]) -> T:
        results: list[T] = []
        Deferred.fromCoroutine(call).addCallback(results.append)
        return results[0]

    def sequences(self) -> set[int]:
        return {process.fleet.freshness.sequence for process in self.processes}

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


@attrs.frozen
class Reply:
    asker: str
    replier: InstanceId
    body: ExchangeReply


class Peers:
    """Decisions of a few instances, whose exchanges the test times itself.

    All hold sequence 1, in force, and have just heard each other at 0.
    """

    def __init__(
        self,
        letters: str,
        freshness: Callable[[Member], Freshness] = Freshness,
        exchange: Callable[[Freshness], EvidenceExchange] = EvidenceExchange,
    ) -> None:
        self._make = lambda member: freshness(member)
        self._make_exchange = exchange
        self._letters = letters
        self._incarnations_by_letter = dict.fromkeys(letters, 1)
        self.freshness_by_letter: dict[str, Freshness] = {}
        self.exchange_by_letter: dict[str, EvidenceExchange] = {}
        self._lists_by_sequence = {1: self.make_list(letters)}
        for letter in letters:
            self._start(letter)
            self.learn(letter, 1, now=0.0)
        self.exchange_all(letters, now=0.0)

    def _start(self, letter: str) -> None:
        self.freshness_by_letter[letter] = self._make(self.member(letter))
        exchange = self._make_exchange(self.freshness_by_letter[letter])
        self.exchange_by_letter[letter] = exchange

    def member(self, letter: str) -> Member:
        number = ord(letter) - ord("a")
        id_ = InstanceId(letter, self._incarnations_by_letter[letter])
        return attrs.evolve(make_member(number), id=id_)

    def make_list(self, letters: str) -> MemberList:
        whole = letters == self._letters
        members = tuple(self.member(letter) for letter in letters)
        return MemberList(members, None if whole else "first")

    def restart(self, letter: str, now: float) -> None:
        self._incarnations_by_letter[letter] += 1
        self._start(letter)

    def learn(
        self, letters: str, sequence: int, now: float, names: str | None = None
    ) -> None:
        first = self._lists_by_sequence[1]
        agreed = self.make_list(names) if names else first
        previous = first if names else None
        for letter in letters:
            freshness = self.freshness_by_letter[letter]
            freshness.add_list(sequence, agreed, previous, now)
            if sequence == 1:
                freshness.record_in_force(1)

    def ask(self, asker: str, replier: str, now: float, first: bool = False) -> Reply:
        exchange = self.exchange_by_letter[asker]
        if first:
            exchange = self._make_exchange(self.freshness_by_letter[asker])
        request = exchange.build_request(self.member(replier), now)
        body = self.exchange_by_letter[replier].build_reply(request, now)
        assert body is not None
        return Reply(asker, self.member(replier).id, body)

    def bring(self, reply: Reply, now: float) -> None:
        self.exchange_by_letter[reply.asker].handle_reply(
            reply.body, reply.replier, now
        )

    def exchange_all(self, letters: str, now: float) -> None:
        for asker in letters:
            for replier in letters:
                if asker != replier:
                    self.bring(self.ask(asker, replier, now), now)

    def is_fresh(self, letter: str, now: float) -> bool:
        return self.freshness_by_letter[letter].is_fresh(now)

    def in_force(self, letter: str, now: float) -> int:
        return self.freshness_by_letter[letter].oldest_active(now)
