"""Run the agreement between instances under random faults."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from random import Random
from typing import Any

import attrs
from twisted.internet.defer import Deferred

from gentianhitch.addresses import Address
from gentianhitch.decisions.exchange import Exchange
from gentianhitch.decisions.freshness import Freshness
from gentianhitch.instances.identity import InstanceId
from gentianhitch.instances.identity import Member
from gentianhitch.operators import pieces
from gentianhitch.operators.document import Document
from gentianhitch.operators.head import DocumentReference
from gentianhitch.operators.head import Head
from gentianhitch.operators.head import HeadError
from gentianhitch.operators.head import change_head
from gentianhitch.platform.interface import ListedInstance
from gentianhitch.platform.interface import ListedState
from gentianhitch.platform.memory import MemoryPlatform
from gentianhitch.platform.memory import MemoryStore
from gentianhitch.soak.fleet_invariants import BrokenInvariantError
from gentianhitch.soak.fleet_invariants import FleetInvariants
from gentianhitch.soak.network import ANY
from gentianhitch.soak.network import Faults
from gentianhitch.soak.network import Network
from gentianhitch.soak.network import SoakClock
from gentianhitch.soak.process import Process

INSTANCES = 5
FAILURE_DOMAINS = 3
STEP_S = 0.05
START_S = 12.0
SETTLE_S = 30.0
OUTAGE_S = 20.0
LONGEST_PAUSE_S = 180.0
LIST_LAG_S = 3.0
MAX_DELAY_S = 0.2
SLOW_DELAY_S = 4.0


def decode_document(data: bytes) -> Document:
    """Make a document that only has a name."""
    return Document(data.decode(), (), (), (), ())


@attrs.define(eq=False)
class FleetModel:
    """Cause faults in a small fleet and check its invariants at every step."""

    seed: int
    size: int = INSTANCES
    freshness: Callable[[Member], Freshness] = Freshness
    exchange: Callable[[Freshness], Exchange] = Exchange
    random: Random = attrs.field(init=False)
    network: Network = attrs.field(init=False)
    store: MemoryStore = attrs.field(init=False)
    invariants: FleetInvariants = attrs.Factory(FleetInvariants)
    processes_by_name: dict[str, Process] = attrs.Factory(dict)
    dropped_names: set[str] = attrs.Factory(set)
    counts_by_action: Counter[str] = attrs.Factory(Counter)
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
            decode_document,
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
        call = self._promote(self._promotions)
        Deferred.fromCoroutine(call).addErrback(lambda f: f.trap(HeadError))

    async def _promote(self, revision: int) -> None:
        data = f"document {revision}".encode()
        platform = MemoryPlatform(self.store)
        try:
            digest = await pieces.store(platform, "trial", data)
        except pieces.PieceError:
            return
        change_id = f"promotion-{revision}"
        reference = DocumentReference(revision, digest, "operator", change_id)

        def edit(head: Head) -> Head:
            return attrs.evolve(head, document=reference)

        await change_head(platform, "trial", change_id, edit)

    def update_list(self) -> None:
        """Show the running instances in the platform's list, after a lag."""
        listed = tuple(
            ListedInstance(
                process.member.id.name,
                process.member.failure_domain,
                process.member.callers,
                process.member.peers,
                ListedState.LIVE,
            )
            for name, process in sorted(self.processes_by_name.items())
            if name not in self.dropped_names
        )
        self.network.clock.callLater(LIST_LAG_S, setattr, self.store, "listed", listed)

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


Action = Callable[[FleetModel, Random], Any]

ACTIONS_BY_NAME: dict[str, tuple[int, Action]] = {
    "advance": (30, lambda m, r: m.advance(r.uniform(0.1, 3.0))),
    "promote": (20, lambda m, r: m.promote()),
    "restart": (8, lambda m, r: m.start(r.choice(m.names))),
    "kill": (3, lambda m, r: m.kill(r.choice(m.names))),
    "pause": (6, lambda m, r: m.pause(r.choice(m.names))),
    "resume": (8, lambda m, r: m.resume(r.choice(m.names))),
    "cut": (12, lambda m, r: m.cut_one_way(r.choice(m.names), r.choice(m.names))),
    "partition": (8, lambda m, r: m.partition()),
    "slow_down": (3, lambda m, r: m.slow_down()),
    "replace_while_spreading": (5, lambda m, r: m.replace_while_spreading()),
    "heal": (4, lambda m, r: m.heal()),
    "isolate": (4, lambda m, r: m.isolate(r.choice(m.names))),
    "cut_platform": (
        6,
        lambda m, r: m.cut_platform(r.choice(m.names), one_way=r.random() < 0.5),
    ),
    "store_outage": (3, lambda m, r: setattr(m.store, "outage", True)),
    "lost_replies": (3, lambda m, r: setattr(m.store, "lost_replies", 2)),
    "drop_from_list": (2, lambda m, r: m.drop_from_list(r.choice(m.names))),
    "long_pause": (1, lambda m, r: m.advance(r.uniform(10.0, LONGEST_PAUSE_S))),
    "settle": (2, lambda m, r: m.settle()),
    "outage": (1, lambda m, r: m.outage()),
}


@attrs.frozen
class FleetReport:
    """What a run without a broken invariant has done."""

    seed: int
    steps: int
    seconds: float
    sequence: int
    actions_by_name: dict[str, int]
    checks_by_name: dict[str, int]


def run(
    seed: int, steps: int, build: Callable[[int], FleetModel] = FleetModel
) -> FleetReport:
    """Do ``steps`` random actions; raise BrokenInvariantError."""
    model = build(seed)
    names = list(ACTIONS_BY_NAME)
    weights = [weight for weight, _ in ACTIONS_BY_NAME.values()]
    for step in range(steps):
        name = model.random.choices(names, weights)[0]
        model.counts_by_action[name] += 1
        try:
            ACTIONS_BY_NAME[name][1](model, model.random)
            model.advance(model.random.uniform(STEP_S, 0.5))
        except BrokenInvariantError as error:
            where = f"seed {seed}, step {step} ({name}), {model.now:.2f} s"
            raise BrokenInvariantError(f"{where}: {error}") from error
    sequence = max(p.fleet.freshness.sequence for p in model.processes)
    return FleetReport(
        seed,
        steps,
        round(model.now, 1),
        sequence,
        dict(model.counts_by_action),
        dict(model.invariants.checks_by_name),
    )
