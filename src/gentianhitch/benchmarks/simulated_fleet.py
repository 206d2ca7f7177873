"""Entry instances' decisions on targets, on a paused clock without sockets."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Any

import attrs
from twisted.python.failure import Failure

from gentianhitch.benchmarks.deployments import DEADLINE_MS
from gentianhitch.benchmarks.deployments import WORKSPACE_WEIGHTS
from gentianhitch.benchmarks.deployments import Deployment
from gentianhitch.benchmarks.deployments import document
from gentianhitch.benchmarks.deployments import members
from gentianhitch.benchmarks.deployments import routes
from gentianhitch.benchmarks.simulated_targets import NOT_RUN
from gentianhitch.benchmarks.simulated_targets import Answer
from gentianhitch.benchmarks.simulated_targets import Asked
from gentianhitch.benchmarks.simulated_targets import SimulatedTarget
from gentianhitch.decisions.interfaces import AgreedState
from gentianhitch.decisions.interfaces import Attempt
from gentianhitch.decisions.interfaces import Outcome
from gentianhitch.decisions.steering import steered_instances
from gentianhitch.decisions.targets.detector import TICK_S
from gentianhitch.decisions.targets.detector import Detector
from gentianhitch.decisions.targets.selector import TargetPool
from gentianhitch.decisions.targets.slots import QueuedSlots
from gentianhitch.decisions.targets.target_health import HealthTracker
from gentianhitch.decisions.targets.target_health import TargetHealth
from gentianhitch.instances.identity import Member
from gentianhitch.operators.document import BackendServer
from gentianhitch.operators.document import Route
from gentianhitch.soak.network import Faults
from gentianhitch.soak.network import Network
from gentianhitch.soak.timeline import Timeline

MEAN_SERVICE_S = 0.0205
ROUTE_WEIGHTS = (70, 25, 5)


@attrs.frozen
class Always:
    """Agree on one state for ever."""

    state: AgreedState

    def is_fresh(self, now: float) -> bool:
        """Return True."""
        return True

    def active(self, now: float) -> tuple[AgreedState, ...]:
        """Return the one state."""
        return (self.state,)


@attrs.define
class Tally:
    """Count requests; ``hurt`` ones met the fault."""

    requests: int = 0
    hurt: int = 0
    shed: int = 0
    refused: int = 0
    answered: int = 0
    first_hurt_by_instance: dict[str, float] = attrs.Factory(dict)


@attrs.define(eq=False)
class Instance:
    """One entry instance; ``detector`` is None under a plain judge."""

    member: Member
    judge: HealthTracker
    detector: Detector | None
    pool: TargetPool
    slots: QueuedSlots


MakeJudge = Callable[[], HealthTracker]


class SimulatedFleet:
    """Drive one service of a deployment at a part of its capacity."""

    def __init__(
        self,
        deployment: Deployment,
        service: str,
        load: float,
        seed: int,
        make_judge: MakeJudge | None = None,
    ) -> None:
        self.clock = Timeline()
        self.random = Random(seed)
        self.tally = Tally()
        self.service = service
        self.deployment = deployment
        declared = document(deployment)
        self._state = AgreedState(1, members(), declared)
        network_clock: Any = self.clock
        self._network = Network(network_clock, self.random, self._delays())
        self._routes = routes(service)
        self._workspaces = [workspace.name for workspace in declared.workspaces]
        self.targets_by_name = {
            server.name: SimulatedTarget(server, self.random, DEADLINE_MS / 1000)
            for server in declared.backend_servers
            if server.service == service
        }
        everyone = list(self._state.members_by_name.values())
        self.instances = [self._instance(member, make_judge) for member in everyone]
        near = steered_instances(declared, service, everyone)
        self.steered = [i for i in self.instances if i.member in near]
        slots = sum(t.declared.slots for t in self.targets_by_name.values())
        self.rate = load * slots / MEAN_SERVICE_S
        self._arrive_later()

    def run_until(self, end: float) -> None:
        """Advance the run."""
        self.clock.run_until(end)

    def ejected_by(self, instance: Instance, target: str) -> bool:
        """Tell whether an instance sends nothing to ``target`` for some request."""
        now = self.clock.seconds()
        if instance.detector is not None:
            ejected = instance.detector.service_health(self.service).ejected_scopes(now)
            return any(scope.target == target for scope in ejected)
        return any(
            instance.judge.health_of(target, route, workspace, now)
            is TargetHealth.UNUSABLE
            for route in self._routes
            for workspace in self._workspaces
        )

    def is_held_back(self, target: str) -> bool:
        """Tell whether any instance gives ``target`` less than its full load."""
        now = self.clock.seconds()
        return any(
            scope.target == target
            for instance in self.steered
            if instance.detector is not None
            for scope in instance.detector.service_health(
                self.service
            ).ejections.weights(now)
        )

    def avoided_by(self, instance: Instance, target: str) -> bool:
        """Tell whether an instance gives ``target`` last preference or nothing."""
        now = self.clock.seconds()
        return all(
            instance.judge.health_of(target, route, workspace, now)
            is not TargetHealth.GOOD
            for route in self._routes
            for workspace in self._workspaces
        )

    def _delays(self) -> Faults:
        far = self.deployment.between_domains_s
        return Faults(min_delay_s=far / 2, max_delay_s=far * 2)

    def _instance(self, member: Member, make_judge: MakeJudge | None) -> Instance:
        agreement = Always(self._state)
        random = Random(self.random.random())
        detector = None
        if make_judge is None:
            endpoint = self._network.attach(member.id, member.peers)
            detector = Detector(agreement, member.id, endpoint, random, 0.0)
            detector.subscribe(self.clock)
            judge: HealthTracker = detector
        else:
            judge = make_judge()
        pool = TargetPool(
            agreement, member.id.name, member.failure_domain, judge, random
        )
        instance = Instance(
            member, judge, detector, pool, QueuedSlots(pool, self.clock)
        )
        if detector is not None:
            self.clock.callLater(random.random() * TICK_S, self._tick, instance)
        return instance

    def _tick(self, instance: Instance) -> None:
        if instance.detector is not None:
            instance.detector.tick(instance.pool.outstanding, self.clock.seconds())
            self.clock.callLater(TICK_S, self._tick, instance)

    def _arrive_later(self) -> None:
        self.clock.callLater(self.random.expovariate(self.rate), self._arrive)

    def _arrive(self) -> None:
        self._arrive_later()
        self.tally.requests += 1
        instance = self.random.choice(self.steered)
        (route,) = self.random.choices(self._routes, ROUTE_WEIGHTS)
        (workspace,) = self.random.choices(self._workspaces, WORKSPACE_WEIGHTS)
        deadline = self.clock.seconds() + DEADLINE_MS / 1000
        self._acquire(instance, route, workspace, deadline)

    def _acquire(
        self,
        instance: Instance,
        route: Route,
        workspace: str,
        deadline: float,
        exclude: frozenset[str] = frozenset(),
    ) -> None:
        waiting = instance.slots.acquire(
            self.service, route, workspace, deadline, exclude
        )
        waiting.addCallbacks(
            lambda target: self._send(instance, target, route, workspace, deadline),
            self._refused,
        )

    def _refused(self, _: Failure) -> None:
        self.tally.refused += 1

    def _send(
        self,
        instance: Instance,
        declared: BackendServer,
        route: Route,
        workspace: str,
        deadline: float,
    ) -> None:
        target = self.targets_by_name[declared.name]
        now = self.clock.seconds()
        answer = target.ask(Asked(now, instance.member.id.name, route, workspace))
        self.tally.hurt += answer.hurt
        if answer.hurt:
            name = instance.member.id.name
            self.tally.first_hurt_by_instance.setdefault(name, now)
        self.tally.shed += answer.outcome is Outcome.SHED
        latency_s = answer.latency_s
        if declared.failure_domain != instance.member.failure_domain:
            latency_s += 2 * self.deployment.between_domains_s

        def end() -> None:
            target.finish(answer)
            self._end(instance, declared.name, route, workspace, answer, latency_s)
            if answer.outcome in NOT_RUN:
                exclude = frozenset({declared.name})
                self._acquire(instance, route, workspace, deadline, exclude)

        self.clock.callLater(latency_s, end)

    def _end(
        self,
        instance: Instance,
        target: str,
        route: Route,
        workspace: str,
        answer: Answer,
        latency_s: float,
    ) -> None:
        self.tally.answered += answer.outcome is Outcome.OK
        attempt = Attempt(target, route, workspace, answer.outcome, latency_s)
        instance.pool.record(attempt, self.clock.seconds())
