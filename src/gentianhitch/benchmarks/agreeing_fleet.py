"""A fleet on a paused clock whose cost is counted."""

from __future__ import annotations

from random import Random

import attrs
from twisted.internet.defer import Deferred

from gentianhitch.addresses import Address
from gentianhitch.decisions.member_list import MemberList
from gentianhitch.decisions.member_list import encode_list
from gentianhitch.instances.identity import InstanceId
from gentianhitch.instances.identity import Member
from gentianhitch.operators.head import Head
from gentianhitch.operators.head import change_head
from gentianhitch.operators.pieces import store
from gentianhitch.platform.memory import MemoryPlatform
from gentianhitch.platform.memory import MemoryStore
from gentianhitch.soak.network import Faults
from gentianhitch.soak.network import Network
from gentianhitch.soak.network import SoakClock
from gentianhitch.soak.operating import ENVIRONMENT
from gentianhitch.soak.operating import decode_named_document
from gentianhitch.soak.operating import listed
from gentianhitch.soak.operating import promote
from gentianhitch.soak.process import Process

FAILURE_DOMAINS = 3
ONE_WAY_S = 0.0015
STEP_S = 0.02
FORM_S = 10.0
LEAVE_S = 1.0
WRITES = ("put", "delete", "grant_lease", "renew_lease")


@attrs.frozen
class Calls:
    """Calls at the platform; a waiting watch is one."""

    reads: int
    writes: int

    def since(self, earlier: Calls) -> Calls:
        """Return the calls made after ``earlier``."""
        return Calls(self.reads - earlier.reads, self.writes - earlier.writes)


@attrs.define(eq=False)
class AgreeingFleet:
    """``size`` instances that have agreed on their list."""

    size: int
    loss: float = 0.0
    network: Network = attrs.field(init=False)
    store: MemoryStore = attrs.field(init=False)
    processes: list[Process] = attrs.Factory(list)
    _starts: int = 0

    def __attrs_post_init__(self) -> None:
        faults = Faults(self.loss, 0.0, ONE_WAY_S, 2 * ONE_WAY_S)
        self.network = Network(SoakClock(), Random(self.size), faults)
        self.store = MemoryStore(self.network.clock)
        members = [self._member(number) for number in range(self.size)]
        self.store.listed = tuple(listed(member) for member in members)
        Deferred.fromCoroutine(self._write_list(tuple(members)))
        self.processes = [self._start(member) for member in members]
        self.advance(FORM_S)

    @property
    def now(self) -> float:
        """Return the time of the paused clock."""
        return self.network.clock.seconds()

    def advance(self, seconds: float) -> None:
        """Let time pass."""
        for _ in range(round(seconds / STEP_S)):
            self.network.clock.advance(STEP_S)

    def calls(self) -> Calls:
        """Return the calls counted at the platform so far."""
        by_kind = self.store.calls_by_kind
        writes = sum(by_kind[kind] for kind in WRITES)
        return Calls(sum(by_kind.values()) - writes, writes)

    def all_fresh(self) -> bool:
        """Tell whether every instance is fresh."""
        return all(process.fleet.is_fresh(self.now) for process in self.processes)

    def restart(self, number: int) -> None:
        """Stop one instance as planned, and start it again from nothing."""
        old = self.processes[number]
        old.fleet.begin_leaving()
        self.advance(LEAVE_S)
        old.kill()
        self.processes[number] = self._start(self._member(number))

    def promote(self, revision: int) -> int:
        """Change the document; return the sequence that holds it."""
        sequences: list[int] = []
        changing = Deferred.fromCoroutine(
            promote(
                MemoryPlatform(self.store), revision, f"document {revision}".encode()
            )
        )
        changing.addCallback(sequences.append)
        return sequences[0]

    async def _write_list(self, members: tuple[Member, ...]) -> None:
        platform = MemoryPlatform(self.store)
        digest = await store(platform, ENVIRONMENT, encode_list(MemberList(members)))

        def edit(head: Head) -> Head:
            return attrs.evolve(head, members_digest=digest)

        await change_head(platform, ENVIRONMENT, "first-list", edit)

    def _member(self, number: int) -> Member:
        self._starts += 1
        return Member(
            InstanceId(f"entry-{number}", self._starts),
            f"domain-{number % FAILURE_DOMAINS}",
            Address(f"127.0.{number // 250}.{number % 250 + 1}", 8000),
            Address(f"127.0.{number // 250}.{number % 250 + 1}", 4000),
        )

    def _start(self, member: Member) -> Process:
        return Process.start(member, self.network, self.store, decode_named_document)
