"""A fleet that judges targets over a lossy network, on a paused clock."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from random import Random
from typing import Any

import attrs

from gentianhitch.addresses import Address
from gentianhitch.decisions.interfaces import AgreedState
from gentianhitch.decisions.interfaces import Attempt
from gentianhitch.decisions.interfaces import Outcome
from gentianhitch.decisions.targets.detector import TICK_S
from gentianhitch.decisions.targets.detector import Detector
from gentianhitch.decisions.targets.outstanding import ActiveRequests
from gentianhitch.instances.identity import InstanceId
from gentianhitch.instances.identity import Member
from gentianhitch.operators.document import BackendServer
from gentianhitch.operators.document import Document
from gentianhitch.operators.document import Route
from gentianhitch.operators.document import Service
from gentianhitch.soak.agreement_model import AgreementModel
from gentianhitch.soak.network import Faults
from gentianhitch.soak.network import Network
from gentianhitch.soak.timeline import Timeline

INSTANCES = 11
SPARES = 4
LIARS = 3
TARGETS = 8
SLOTS = 6
FLOOR_SLOTS = 30
LOSS = 0.1
DUPLICATION = 0.05
MIN_DELAY_S = 0.001
MAX_DELAY_S = 0.3
USUAL_S = 0.02
ANSWERS_PER_TICK = 0.6
USUAL_ERROR_RATE = 0.003
KNOWN_ABSENT_S = 10.0
"""After this a leaving or cold target no longer counts as there."""

COLD_S = 8.0
GRAY_MEMORY_S = 320.0
"""A target that was gray this lately may still be ejected."""

SERVICE = "stock"
ROUTE = Route("GET", "/stock", SERVICE, idempotent=True)

MakeDetector = Callable[..., Detector]


@attrs.define
class TargetTruth:
    """What a target really is."""

    gray: bool = False
    last_gray: float = float("-inf")
    absent_since: float | None = None
    cold_until: float = 0.0


@attrs.define(eq=False)
class Node:
    """One run of an instance."""

    id: InstanceId
    address: Address
    detector: Detector
    random: Random
    lies_about: set[str] = attrs.Factory(set)
    running: bool = True


class EjectionModel:
    """Hold instances, targets and the network; each method is one event."""

    def __init__(self, random: Random, make_detector: MakeDetector = Detector) -> None:
        self.clock = Timeline()
        self.targets = [f"target-{index}" for index in range(TARGETS)]
        self.names = [f"instance-{index:02}" for index in range(INSTANCES + SPARES)]
        self._random = random
        self._make_detector = make_detector
        self._truth_by_target = {target: TargetTruth() for target in self.targets}
        network_clock: Any = self.clock
        self._network = Network(
            network_clock, random, Faults(LOSS, DUPLICATION, MIN_DELAY_S, MAX_DELAY_S)
        )
        self._retired: Counter[str] = Counter()
        self._document = _document(self.targets)
        self._agreement = AgreementModel(self.clock, random)
        self._nodes_by_name: dict[str, Node] = {}
        for name in self.names:
            self._start(name, 1)
        self._agreement.publish(self._state(self.names[:INSTANCES]))

    @property
    def now(self) -> float:
        """Return the time of the run."""
        return self.clock.seconds()

    def advance(self, seconds: float, check: Callable[[EjectionModel], None]) -> None:
        """Let time pass, checking often."""
        end = self.now + seconds
        while self.now < end:
            self.clock.run_until(min(self.now + TICK_S / 2, end))
            self._end_cold_starts()
            check(self)

    def make_gray(self, target: str) -> None:
        """Let a target fail all requests while it says it is well."""
        self._truth_by_target[target].gray = True

    def heal_target(self, target: str) -> None:
        """Let a target be well and there again."""
        truth = self._truth_by_target[target]
        truth.gray = False
        truth.absent_since = None

    def leave(self, target: str) -> None:
        """Let a target say that it leaves."""
        truth = self._truth_by_target[target]
        if truth.absent_since is None:
            truth.absent_since = self.now

    def start_cold(self, target: str) -> None:
        """Let a target start cold."""
        self.leave(target)
        self._truth_by_target[target].cold_until = self.now + COLD_S

    def lie(self, name: str, target: str) -> None:
        """Let an instance see only failures of a target, if few others do."""
        liars = [node for node in self._nodes_by_name.values() if node.lies_about]
        node = self._nodes_by_name[name]
        if node in liars or len(liars) < LIARS:
            node.lies_about.add(target)

    def cut(self, first: str, second: str) -> None:
        """Lose every message from one instance to another."""
        nodes = self._nodes_by_name
        self._network.cut(nodes[first].address, nodes[second].address)

    def heal_network(self) -> None:
        """End every cut."""
        self._network.heal_all()

    def restart(self, name: str) -> None:
        """Restart an instance with nothing kept, and agree on its new run."""
        node = self._nodes_by_name[name]
        node.running = False
        self._retired.update(node.detector.counts)
        self._agreement.forget(node.id)
        self._start(name, node.id.incarnation + 1)
        self._agreement.publish(self._state(list(self._agreement.newest_names)))

    def change_list(self, random: Random) -> None:
        """Agree on another list of instances."""
        self._agreement.publish(self._state(random.sample(self.names, INSTANCES)))

    def ejected(self) -> set[str]:
        """Return the targets that any instance that may act has ejected."""
        return {
            target
            for node in self._nodes_by_name.values()
            if self._agreement.is_fresh(node.id)
            for target in self.ejected_by(node)
        }

    def ejected_by(self, node: Node) -> set[str]:
        """Return the targets that one instance has ejected."""
        ejected = node.detector.service_health(SERVICE).ejected_scopes(self.now)
        return {scope.target for scope in ejected}

    def slots_of(self, targets: set[str]) -> int:
        """Return the slots of ``targets``."""
        return SLOTS * len(targets)

    def slots_below_floor(self) -> int:
        """Return how far ejections push what is there below the floor."""
        there = {t for t in self.targets if not self._known_absent(t)}
        ejected = self.ejected() & there
        if not ejected:
            return 0
        return FLOOR_SLOTS - self.slots_of(there - ejected)

    def falsely_ejected(self) -> set[str]:
        """Return the ejected targets that were never gray lately."""
        return {
            target
            for target in self.ejected()
            if self.now - self._truth_by_target[target].last_gray > GRAY_MEMORY_S
        }

    def count(self, name: str) -> int:
        """Return a counter, added over all runs of all instances."""
        living = sum(n.detector.counts[name] for n in self._nodes_by_name.values())
        return living + self._retired[name]

    def _known_absent(self, target: str) -> bool:
        since = self._truth_by_target[target].absent_since
        return since is not None and self.now - since > KNOWN_ABSENT_S

    def _end_cold_starts(self) -> None:
        for truth in self._truth_by_target.values():
            if truth.cold_until and self.now >= truth.cold_until:
                truth.cold_until = 0.0
                truth.absent_since = None

    def _start(self, name: str, incarnation: int) -> None:
        instance = InstanceId(name, incarnation)
        address = Address("127.0.0.1", 1000 + self.names.index(name))
        endpoint = self._network.attach(instance, address)
        random = Random(self._random.random())
        detector = self._make_detector(
            self._agreement.seen_by(instance), instance, endpoint, random, self.now
        )
        detector.subscribe(self.clock)
        node = Node(instance, address, detector, random)
        self._nodes_by_name[name] = node
        self.clock.callLater(random.random() * TICK_S, self._tick, node)

    def _tick(self, node: Node) -> None:
        if not node.running:
            return
        self.clock.callLater(TICK_S, self._tick, node)
        if self._agreement.is_fresh(node.id):
            for target in self.targets:
                self._try(node, target)
        node.detector.tick(ActiveRequests(), self.now)

    def _try(self, node: Node, target: str) -> None:
        truth = self._truth_by_target[target]
        if truth.gray:
            truth.last_gray = self.now
        if truth.absent_since is not None:
            if truth.cold_until:
                node.detector.availability.mark_cold(target, self.now)
            else:
                node.detector.availability.mark_leaving(target, self.now)
            return
        node.detector.availability.mark_serving(target)
        if target in self.ejected_by(node) or node.random.random() > ANSWERS_PER_TICK:
            return
        chance = 1.0 if truth.gray or target in node.lies_about else USUAL_ERROR_RATE
        failed = node.random.random() < chance
        outcome = Outcome.ERROR if failed else Outcome.OK
        attempt = Attempt(target, ROUTE, "workspace", outcome, USUAL_S)
        node.detector.record(attempt, None, self.now)

    def _state(self, names: list[str]) -> AgreedState:
        members = {
            name: Member(
                self._nodes_by_name[name].id,
                f"domain-{self.names.index(name) % 3}",
                self._nodes_by_name[name].address,
                self._nodes_by_name[name].address,
            )
            for name in names
        }
        return AgreedState(self._agreement.next_sequence(), members, self._document)


def _document(targets: list[str]) -> Document:
    servers = tuple(
        BackendServer(
            target,
            Address("127.0.0.1", 2000 + index),
            f"domain-{index % 3}",
            SERVICE,
            SLOTS,
            330,
        )
        for index, target in enumerate(targets)
    )
    return Document(
        "test", (), (Service(SERVICE, FLOOR_SLOTS, 1000),), servers, (ROUTE,)
    )
