"""Instances of the model that runs the limits on a paused clock."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from random import Random
from typing import Any

import attrs
from twisted.internet.task import Clock

from gentianhitch.addresses import Address
from gentianhitch.decisions.interfaces import AgreedState
from gentianhitch.decisions.interfaces import TokenVerdict
from gentianhitch.decisions.limits.constants import MAX_WAIT_S
from gentianhitch.decisions.limits.constants import POLL_INTERVAL_S
from gentianhitch.decisions.limits.constants import ROUND_INTERVAL_S
from gentianhitch.decisions.limits.limiter import LocalLimiter
from gentianhitch.instances.identity import InstanceId
from gentianhitch.instances.identity import Member
from gentianhitch.operators.document import Document
from gentianhitch.operators.document import Workspace
from gentianhitch.soak.limits_agreement import ModelAgreement
from gentianhitch.soak.limits_agreement import ModelHistory
from gentianhitch.soak.limits_ledger import FleetLedger
from gentianhitch.soak.network import Endpoint
from gentianhitch.soak.network import Network

HEAR_S = 0.5
"""Time between two pieces of evidence that an instance hears."""

LimiterFactory = Callable[..., LocalLimiter]


@attrs.frozen
class ModelRequest:
    """One request; ``fits`` if one limiter for the fleet would admit it."""

    workspace: str
    arrived: float
    fits: bool


@attrs.define(eq=False)
class ModelInstance:
    """One run of an entry instance with its limiter."""

    member: Member
    limiter: LocalLimiter
    agreement: ModelAgreement
    endpoint: Endpoint
    paused: bool = False
    cut: bool = False
    leaving: bool = False
    waiting: list[ModelRequest] = attrs.Factory(list)


class ModelFleet:
    """Run instances, route requests to them and check every admission."""

    def __init__(
        self,
        random: Random,
        network: Network,
        workspaces: tuple[Workspace, ...],
        *,
        factory: LimiterFactory = LocalLimiter,
        **options: Any,
    ) -> None:
        self.random = random
        self.network = network
        self.clock: Clock = network.clock
        self.history = ModelHistory()
        self.ledger = FleetLedger()
        self.workspaces = workspaces
        self.instances_by_name: dict[str, ModelInstance] = {}
        self.admitted: Counter[str] = Counter()
        self.refused: Counter[str] = Counter()
        self.wrongly_refused: Counter[str] = Counter()
        self.waits_s: list[float] = []
        self._factory = factory
        self._options = options
        self._incarnation = 0
        self._every(ROUND_INTERVAL_S, self._round)
        self._every(POLL_INTERVAL_S, self._poll)
        self._every(HEAR_S, self.hear_all)

    def start(self, name: str, failure_domain: str, address: Address) -> ModelInstance:
        """Start a new run of an instance; it has heard nothing."""
        self._incarnation += 1
        own_id = InstanceId(name, self._incarnation)
        endpoint = self.network.attach(own_id, address)
        agreement = ModelAgreement(self.history)
        limiter = self._factory(
            own_id, address, agreement, endpoint, self.clock.seconds(), **self._options
        )
        for kind in limiter.message_types:
            endpoint.subscribe(kind, self._receiver(limiter))
        member = Member(own_id, failure_domain, address, address)
        instance = ModelInstance(member, limiter, agreement, endpoint)
        self.instances_by_name[name] = instance
        return instance

    def stop(self, name: str) -> None:
        """End the run of an instance without notice."""
        instance = self.instances_by_name.pop(name)
        self.network.detach(instance.member.peers)

    def publish(self, members_by_name: dict[str, Member]) -> None:
        """Agree on a list and the present document."""
        sequence = len(self.history.states) + 1
        document = Document("soak", self.workspaces, (), (), ())
        self.history.publish(AgreedState(sequence, members_by_name, document))
        if sequence == 1:
            self._apply_limits()

    def hear(self, instance: ModelInstance) -> None:
        """Let an instance hear what the majority knows, or something newer."""
        if instance.paused or instance.cut or not self.history.states:
            return
        lowest = self.history.common()
        highest = len(self.history.states)
        instance.agreement.hear(
            self.random.randint(lowest, highest), self.clock.seconds()
        )

    def hear_all(self) -> None:
        """Let every instance hear, in force or not."""
        if not self.history.states:
            return
        instances = list(self.instances_by_name.values())
        for instance in instances:
            self.hear(instance)
        newest_by_name = {one.member.id.name: one.agreement.newest for one in instances}
        if self.history.advance(newest_by_name, self.clock.seconds()):
            self._apply_limits()

    def request(self, instance: ModelInstance, workspace: str) -> None:
        """Bring one request to an instance."""
        if instance.paused:
            return
        now = self.clock.seconds()
        fits = self.ledger.has_token(workspace, now)
        self._take(instance, ModelRequest(workspace, now, fits), None)

    def advance(self, seconds: float, step: float = 0.005) -> None:
        """Let time pass."""
        self.clock.pump([step] * max(1, round(seconds / step)))

    def _take(
        self, instance: ModelInstance, request: ModelRequest, since: float | None
    ) -> None:
        now = self.clock.seconds()
        verdict = instance.limiter.take(request.workspace, now, since=since)
        if verdict is TokenVerdict.WAIT:
            instance.waiting.append(request)
        elif verdict is TokenVerdict.ADMITTED:
            self.ledger.admit(request.workspace, now)
            self.admitted[request.workspace] += 1
            self.waits_s.append(now - request.arrived)
        else:
            self._count_refused(request)

    def _count_refused(self, request: ModelRequest) -> None:
        self.refused[request.workspace] += 1
        fits = self.ledger.has_token(request.workspace, self.clock.seconds())
        if fits and request.fits:
            self.wrongly_refused[request.workspace] += 1

    def _serve(self, instance: ModelInstance) -> None:
        waiting, instance.waiting = instance.waiting, []
        for request in waiting:
            if self.clock.seconds() - request.arrived >= MAX_WAIT_S:
                instance.limiter.expire_wait(request.workspace)
                self._count_refused(request)
            else:
                self._take(instance, request, request.arrived)

    def _receiver(self, limiter: LocalLimiter) -> Callable[[InstanceId, Any], None]:
        def receive(sender: InstanceId, body: Any) -> None:
            limiter.receive(sender, body, self.clock.seconds())

        return receive

    def _round(self) -> None:
        for instance in list(self.instances_by_name.values()):
            if not instance.paused:
                instance.limiter.tick(self.clock.seconds())

    def _poll(self) -> None:
        for instance in list(self.instances_by_name.values()):
            if instance.paused:
                continue
            if instance.limiter.token_fetcher.is_active:
                instance.limiter.poll(self.clock.seconds())
            if instance.waiting:
                self._serve(instance)

    def _apply_limits(self) -> None:
        document = self.history.state(self.history.in_force).document
        assert document is not None
        for workspace in document.workspaces:
            self.ledger.limit(
                workspace.name, workspace.rate, workspace.burst, self.clock.seconds()
            )

    def _every(self, interval: float, call: Callable[[], None]) -> None:
        # Not a LoopingCall: an error must end the run at once.
        call()
        self.clock.callLater(interval, self._every, interval, call)
