"""A small fleet whose faults are chosen from outside."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

import attrs
from twisted.internet.defer import Deferred

from gentianhitch.addresses import Address
from gentianhitch.decisions.exchange import EvidenceExchange
from gentianhitch.decisions.freshness import Freshness
from gentianhitch.instances.identity import InstanceId
from gentianhitch.instances.identity import Member
from gentianhitch.operators.head import HeadError
from gentianhitch.operators.pieces import PieceError
from gentianhitch.platform.memory import MemoryPlatform
from gentianhitch.platform.memory import MemoryStore
from gentianhitch.soak.fleet_invariants import BrokenInvariantError
from gentianhitch.soak.fleet_invariants import FleetInvariants
from gentianhitch.soak.network import ANY
from gentianhitch.soak.network import Faults
from gentianhitch.soak.network import Network
from gentianhitch.soak.network import SoakClock
from gentianhitch.soak.operating import decode_named_document
from gentianhitch.soak.operating import listed
from gentianhitch.soak.operating import promote
from gentianhitch.soak.process import Process

INSTANCES = 5
FAILURE_DOMAINS = 3
STEP_S = 0.05
START_S = 12.0
SETTLE_S = 30.0
OUTAGE_S = 20.0
LIST_LAG_S = 3.0
MAX_DELAY_S = 0.2
SLOW_DELAY_S = 4.0


@attrs.define(eq=False)
class FleetModel:
    """Cause faults in a small fleet and check its invariants at every step."""

    seed: int
    size: int = INSTANCES
    freshness: Callable[[Member], Freshness] = Freshness
    exchange: Callable[[Freshness], EvidenceExchange] = EvidenceExchange
    random: Random = attrs.field(init=False)
    network: Network = attrs.field(init=False)
    store: MemoryStore = attrs.field(init=False)
    invariants: FleetInvariants = attrs.Factory(FleetInvariants)
    processes_by_name: dict[str, Process] = attrs.Factory(dict)
    dropped_names: set[str] = attrs.Factory(set)
    _starts: int = 0
    _promotions: int = 0

    def __attrs_post_init__(self) -> None:
        self.random = Random(self.seed)
        faults = Faults(0.05, 0.05, 0.001, MAX_DELAY_S)
        self.network = Network(SoakClock(), self.random, faults)
        self.store = MemoryStore(self.network.clock)
        for number in range(self.size):
            self.start(f"entry-{number}")
        self.update_list()
        self.advance(START_S)

    @property
    def now(self) -> float:
        """Return the time of the run."""
        return self.network.clock.seconds()

    @property
    def processes(self) -> list[Process]:
        """Return the running processes."""
        return list(self.processes_by_name.values())

    @property
    def names(self) -> list[str]:
        """Return every name, in order."""
        return [f"entry-{number}" for number in range(self.size)]

    def advance(self, seconds: float) -> None:
        """Let time pass, and check the invariants at each step."""
        for _ in range(round(seconds / STEP_S)):
            self.network.clock.advance(STEP_S)
            self.invariants.check(self.processes, self.now)

    def start(self, name: str) -> None:
        """Start an instance from nothing, in place of the one of this name."""
        old = self.processes_by_name.get(name)
        if old is not None:
            old.kill()
        self._starts += 1
        number = self.names.index(name)
        member = Member(
            InstanceId(name, self._starts),
            f"domain-{number % FAILURE_DOMAINS}",
            Address(f"127.0.0.{number + 1}", 8000),
            Address(f"127.0.0.{number + 1}", 4000),
        )
        seeds = tuple(Address(f"127.0.0.{n + 1}", 4000) for n in range(self.size))
        self.processes_by_name[name] = Process.start(
            member,
            self.network,
            self.store,
            decode_named_document,
            seeds,
            self.freshness,
            self.exchange,
        )

    def kill(self, name: str) -> None:
        """End an instance."""
        process = self.processes_by_name.pop(name, None)
        if process is not None:
            process.kill()

    def pause(self, name: str) -> None:
        """Stop an instance without its noticing."""
        if name in self.processes_by_name:
            self.processes_by_name[name].pause()

    def resume(self, name: str) -> None:
        """Let a paused instance go on."""
        process = self.processes_by_name.get(name)
        if process is not None and process.paused:
            process.resume()
            self.invariants.check(self.processes, self.now)

    def isolate(self, name: str) -> None:
        """Let nothing reach an instance, neither from peers nor the platform."""
        process = self.processes_by_name.get(name)
        if process is not None:
            self.network.cut(ANY, process.member.peers)
            process.platform.replies_lost = True
            self.invariants.note_cut(process, self.now + 0.2)

    def cut_one_way(self, source: str, target: str) -> None:
        """Lose every message from one instance to another."""
        number_of = self.names.index
        self.network.cut(
            Address(f"127.0.0.{number_of(source) + 1}", 4000),
            Address(f"127.0.0.{number_of(target) + 1}", 4000),
        )

    def partition(self) -> None:
        """Cut the instances into two sides, one of them also from the platform."""
        names = self.names
        self.random.shuffle(names)
        size = self.random.randint(1, self.size - 1)
        for name in names[:size]:
            self.cut_platform(name, one_way=self.random.random() < 0.5)
            for other in names[size:]:
                self.cut_one_way(name, other)
                self.cut_one_way(other, name)

    def slow_down(self) -> None:
        """Let messages take up to seconds."""
        self.network.faults.max_delay_s = SLOW_DELAY_S

    def replace_while_spreading(self) -> None:
        """Promote, and restart instances while the change spreads."""
        self.promote()
        for _ in range(self.random.randint(1, self.size)):
            self.advance(self.random.uniform(STEP_S, 0.8))
            self.start(self.random.choice(self.names))

    def cut_platform(self, name: str, *, one_way: bool) -> None:
        """Cut an instance from the platform; one way only its answers are lost."""
        process = self.processes_by_name.get(name)
        if process is not None:
            process.platform.replies_lost = True
            process.platform.requests_lost = not one_way

    def heal(self) -> None:
        """End every cut, pause and outage, and start who does not run."""
        self.network.heal_all()
        self.network.faults.max_delay_s = MAX_DELAY_S
        self.invariants.note_healed()
        self.store.outage = False
        self.store.lost_replies = 0
        self.dropped_names.clear()
        for name in self.names:
            if name not in self.processes_by_name:
                self.start(name)
            process = self.processes_by_name[name]
            process.platform.replies_lost = process.platform.requests_lost = False
            self.resume(name)
        self.update_list()

    def promote(self) -> None:
        """Change the document as an operator does."""
        self._promotions += 1
        data = f"document {self._promotions}".encode()
        call = promote(MemoryPlatform(self.store), self._promotions, data)
        promoting = Deferred.fromCoroutine(call)
        promoting.addErrback(lambda failure: failure.trap(HeadError, PieceError))

    def update_list(self) -> None:
        """Show the running instances in the platform's list, after a lag."""
        shown = tuple(
            listed(process.member)
            for name, process in sorted(self.processes_by_name.items())
            if name not in self.dropped_names
        )
        self.network.clock.callLater(LIST_LAG_S, setattr, self.store, "listed", shown)

    def drop_from_list(self, name: str) -> None:
        """Let the platform's list drop an instance that is still alive."""
        self.dropped_names.add(name)
        self.update_list()

    def settle(self) -> None:
        """Heal everything and require that all agree and are fresh."""
        self.heal()
        self.advance(SETTLE_S)
        self.require_all_fresh("after everything healed")
        sequences = {p.fleet.freshness.sequence for p in self.processes}
        if len(sequences) != 1:
            raise BrokenInvariantError(f"healed, but at sequences {sorted(sequences)}")
        for process in self.processes:
            missing = set(self.names) - set(process.fleet.members)
            if missing:
                raise BrokenInvariantError(f"healed, but not listed: {missing}")

    def outage(self) -> None:
        """Take the platform away from a healthy fleet; all must stay fresh."""
        self.settle()
        self.store.outage = True
        for _ in range(round(OUTAGE_S)):
            self.advance(1.0)
            self.require_all_fresh("in an outage")
        replaced = self.random.choice(self.names)
        self.start(replaced)
        self.advance(OUTAGE_S / 2)
        self.require_all_fresh(f"in an outage, {replaced} replaced")

    def require_all_fresh(self, when: str) -> None:
        """Raise BrokenInvariantError unless every instance is fresh."""
        stale = [
            str(process.member.id)
            for process in self.processes
            if not process.fleet.is_fresh(self.now)
        ]
        if stale:
            raise BrokenInvariantError(f"not fresh {when}: {stale}")
        self.invariants.checks_by_name["all fresh"] += 1
