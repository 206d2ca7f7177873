"""Run the limits of workspaces under random faults."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from random import Random

import attrs

from gentianhitch.addresses import Address
from gentianhitch.decisions.limits.errors import LimitExceededError
from gentianhitch.decisions.limits.limiter import LocalLimiter
from gentianhitch.instances.identity import Member
from gentianhitch.operators.document import Workspace
from gentianhitch.soak.limits_fleet import LimiterFactory
from gentianhitch.soak.limits_fleet import ModelFleet
from gentianhitch.soak.limits_fleet import ModelInstance
from gentianhitch.soak.network import ANY
from gentianhitch.soak.network import Faults
from gentianhitch.soak.network import Network
from gentianhitch.soak.network import SoakClock

INSTANCES = 9
FAILURE_DOMAINS = 3
RATES = (1.0, 2.0, 10.0, 60.0)
BURSTS = (1.0, 4.0, 12.0, 40.0)
LONGEST_FAULT_S = 20.0
LIST_S = 10.0
"""Time between two looks whether the agreed list is still right."""

OUTAGE_S = 3 * 3600.0


@attrs.frozen
class SoakReport:
    """What a run without a broken invariant has done."""

    admitted: int
    refused: int
    actions_by_name: dict[str, int]


class LimitsModel:
    """Cause random faults in a small fleet."""

    def __init__(
        self, seed: int, *, factory: LimiterFactory = LocalLimiter, max_owners: int = 4
    ) -> None:
        self.random = Random(seed)
        faults = Faults(
            loss=self.random.choice((0.0, 0.02, 0.2)),
            duplication=self.random.choice((0.0, 0.1, 0.5)),
            max_delay_s=self.random.choice((0.005, 0.05, 0.5)),
        )
        self.network = Network(SoakClock(), self.random, faults)
        workspaces = (Workspace("small", 2.0, 4.0), Workspace("large", 60.0, 40.0))
        self.fleet = ModelFleet(
            self.random,
            self.network,
            workspaces,
            factory=factory,
            max_owners=max_owners,
        )
        self.outage_until = 0.0
        self.next_list = LIST_S
        self.actions_by_name: Counter[str] = Counter()
        self._addresses_by_name = {
            f"entry-{number}": Address("127.0.0.1", 9000 + number)
            for number in range(INSTANCES)
        }
        for name in self._addresses_by_name:
            self._start(name)
        self.fleet.publish(self._listed())
        self.fleet.hear_all()
        self._actions: list[tuple[int, Callable[[], None]]] = [
            (20, self.requests),
            (10, self.hot_requests),
            (30, self.saturate),
            (10, self.let_time_pass),
            (2, self.kill),
            (2, self.stop_planned),
            (3, self.pause),
            (3, self.cut_evidence),
            (3, self.cut_messages),
            (2, self.change_list),
            (1, self.change_document),
            (1, self.outage),
        ]

    def step(self) -> None:
        """Do one random action and let a moment pass."""
        weights = [weight for weight, _ in self._actions]
        _, action = self.random.choices(self._actions, weights)[0]
        self.actions_by_name[action.__name__] += 1
        action()
        self.fleet.advance(self.random.uniform(0.005, 0.3), step=0.02)
        if self.fleet.clock.seconds() >= self.next_list:
            self.next_list = self.fleet.clock.seconds() + LIST_S
            self.follow_list()

    def requests(self) -> None:
        """Bring requests to random instances."""
        for _ in range(self.random.randint(1, 40)):
            self.fleet.request(self._any(), self._any_workspace())

    def hot_requests(self) -> None:
        """Bring many requests of one workspace to one instance."""
        instance, workspace = self._any(), self._any_workspace()
        for _ in range(self.random.randint(1, 40)):
            self.fleet.request(instance, workspace)

    def saturate(self) -> None:
        """Bring more to every instance than the limit allows for a while."""
        for _ in range(self.random.randint(1, 30)):
            for instance in list(self.fleet.instances_by_name.values()):
                for workspace in self.fleet.workspaces:
                    self.fleet.request(instance, workspace.name)
            self.fleet.advance(self.random.uniform(0.02, 0.3), step=0.02)

    def let_time_pass(self) -> None:
        """Let buckets fill and leases end."""
        self.fleet.advance(self.random.uniform(0.5, 8.0), step=0.05)

    def kill(self) -> None:
        """End an instance without notice; start it again at the same address."""
        name = self._any().member.id.name
        self.fleet.stop(name)
        self._later(lambda: self._start(name))

    def stop_planned(self) -> None:
        """Let an instance hand its shares over before it is replaced."""
        instance = self._any()
        if instance.leaving or instance.paused:
            return
        instance.leaving = True
        instance.limiter.begin_leaving(self.fleet.clock.seconds())
        self._later(lambda: self._replace(instance))

    def pause(self) -> None:
        """Stop a process for a while; its messages wait."""
        instance = self._any()
        instance.paused = True
        instance.endpoint.pause()
        self._later(lambda: self._resume(instance))

    def cut_evidence(self) -> None:
        """Cut an instance off from platform and majority."""
        instance = self._any()
        instance.cut = True
        self._later(lambda: setattr(instance, "cut", False))

    def cut_messages(self) -> None:
        """Cut messages to or from an instance, from one other or from all."""
        source: Address | None = self._any().member.peers
        target: Address | None = self._any().member.peers
        side = self.random.randrange(3)
        source = ANY if side == 0 else source
        target = ANY if side == 1 else target
        self.network.cut(source, target)
        self._later(lambda: self.network.heal(source, target))

    def follow_list(self) -> None:
        """Agree on the instances that run, if that has changed."""
        members_by_name = self._listed()
        listed = self.fleet.history.states[-1].members_by_name
        if members_by_name != listed and not self._in_outage():
            self.fleet.publish(members_by_name)

    def change_list(self) -> None:
        """Agree on another list, which may miss or mark live instances."""
        if self._in_outage():
            return
        members_by_name = self._listed()
        name = self.random.choice(sorted(members_by_name))
        if self.random.random() < 0.5 and len(members_by_name) > 3:
            del members_by_name[name]
        elif self.random.random() < 0.5:
            members_by_name[name] = attrs.evolve(members_by_name[name], leaving=True)
        self.fleet.publish(members_by_name)

    def change_document(self) -> None:
        """Agree on other limits."""
        if self._in_outage():
            return
        self.fleet.workspaces = tuple(
            attrs.evolve(
                workspace,
                rate=self.random.choice(RATES),
                burst=self.random.choice(BURSTS),
            )
            for workspace in self.fleet.workspaces
        )
        self.fleet.publish(self.fleet.history.states[-1].members_by_name)

    def outage(self) -> None:
        """Let the platform be away for hours while every instance is replaced."""
        end = self.fleet.clock.seconds() + self.random.uniform(60.0, OUTAGE_S)
        self.outage_until = end
        self.fleet.advance(self.random.uniform(0.0, 10.0), step=0.05)
        for name in self._addresses_by_name:
            instance = self.fleet.instances_by_name.get(name)
            if instance is not None:
                instance.limiter.begin_leaving(self.fleet.clock.seconds())
                self.fleet.advance(self.random.uniform(0.2, 4.0), step=0.05)
                self._replace(instance)
            self.saturate()
        self.fleet.advance(end - self.fleet.clock.seconds() - 30.0, step=10.0)

    def _replace(self, instance: ModelInstance) -> None:
        name = instance.member.id.name
        if self.fleet.instances_by_name.get(name) is instance:
            self.fleet.stop(name)
            self._start(name)

    def _resume(self, instance: ModelInstance) -> None:
        instance.paused = False
        instance.endpoint.resume()

    def _start(self, name: str) -> None:
        if name not in self.fleet.instances_by_name:
            number = sorted(self._addresses_by_name).index(name)
            domain = f"domain-{number % FAILURE_DOMAINS}"
            self.fleet.start(name, domain, self._addresses_by_name[name])

    def _listed(self) -> dict[str, Member]:
        return {
            name: instance.member
            for name, instance in sorted(self.fleet.instances_by_name.items())
        }

    def _any(self) -> ModelInstance:
        names = sorted(self.fleet.instances_by_name)
        if not names:
            self._start("entry-0")
            names = ["entry-0"]
        return self.fleet.instances_by_name[self.random.choice(names)]

    def _any_workspace(self) -> str:
        return self.random.choice(self.fleet.workspaces).name

    def _in_outage(self) -> bool:
        return self.fleet.clock.seconds() < self.outage_until

    def _later(self, call: Callable[[], None]) -> None:
        self.fleet.clock.callLater(self.random.uniform(0.1, LONGEST_FAULT_S), call)


def run(seed: int, steps: int, *, factory: LimiterFactory = LocalLimiter) -> SoakReport:
    """Do ``steps`` random actions; raise LimitExceededError on a broken limit."""
    model = LimitsModel(seed, factory=factory)
    for step in range(steps):
        try:
            model.step()
        except LimitExceededError as error:
            raise LimitExceededError(f"seed {seed}, step {step}: {error}") from error
    return SoakReport(
        sum(model.fleet.admitted.values()),
        sum(model.fleet.refused.values()),
        dict(model.actions_by_name),
    )
