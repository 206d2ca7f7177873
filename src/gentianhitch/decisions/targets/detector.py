"""Detect gray targets together with the other instances."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from functools import singledispatchmethod
from random import Random

import attrs

from gentianhitch.decisions.interfaces import AgreedState
from gentianhitch.decisions.interfaces import AgreedStates
from gentianhitch.decisions.interfaces import Attempt
from gentianhitch.decisions.steering import steered_instances
from gentianhitch.decisions.targets.availability import TargetAvailability
from gentianhitch.decisions.targets.ejection_config import EjectionConfig
from gentianhitch.decisions.targets.ejection_config import ejection_config_for
from gentianhitch.decisions.targets.ejection_coordinator import EjectionCoordinator
from gentianhitch.decisions.targets.ejection_coordinator import Send
from gentianhitch.decisions.targets.messages import EjectionGrants
from gentianhitch.decisions.targets.messages import EvidenceReport
from gentianhitch.decisions.targets.messages import Vote
from gentianhitch.decisions.targets.messages import VoteRequest
from gentianhitch.decisions.targets.outstanding import ActiveRequest
from gentianhitch.decisions.targets.outstanding import ActiveRequests
from gentianhitch.decisions.targets.service_health import ServiceHealth
from gentianhitch.decisions.targets.slots import Clock
from gentianhitch.decisions.targets.target_health import TargetHealth
from gentianhitch.instances.identity import InstanceId
from gentianhitch.instances.identity import Member
from gentianhitch.instances.transport import Transport
from gentianhitch.operators.document import BackendServer
from gentianhitch.operators.document import Document
from gentianhitch.operators.document import Route

MakeCoordinator = Callable[
    [str, InstanceId, Send, Counter[str], float], EjectionCoordinator
]
MESSAGES = (EvidenceReport, VoteRequest, Vote, EjectionGrants)
TICK_S = 0.25
URGENT_REPORT_INTERVAL_S = 0.5
REPORT_INTERVAL_S = 1.0
UNUSED_REPORT_INTERVAL_S = 2.0
COORDINATION_TIMEOUT_S = 30.0
"""Coordinators elect no leader after this long without traffic or absent targets."""

RECENT_USE_S = 10.0
PROBING_COORDINATORS = 3
"""Coordinators that probe a service's targets; two must agree that one is absent."""


class Detector:
    """Detect gray targets; implements HealthTracker."""

    def __init__(
        self,
        agreement: AgreedStates,
        me: InstanceId,
        transport: Transport,
        random: Random,
        now: float,
        make_coordinator: MakeCoordinator = EjectionCoordinator,
    ) -> None:
        self.counts: Counter[str] = Counter()
        self.availability = TargetAvailability()
        self._agreement = agreement
        self._me = me
        self._transport = transport
        self._random = random
        self._now = now
        self._make_coordinator = make_coordinator
        self._states: tuple[AgreedState, ...] = ()
        self._configs_by_service: dict[str, EjectionConfig] = {}
        self._steered: frozenset[str] = frozenset()
        self._health_by_service: dict[str, ServiceHealth] = {}
        self._coordinators_by_service: dict[str, EjectionCoordinator] = {}
        self._reported_at_by_service: dict[str, float] = {}
        self._active_at_by_service: dict[str, float] = {}

    def subscribe(self, clock: Clock) -> None:
        """Subscribe to the messages of other instances."""
        for kind in MESSAGES:
            self._transport.subscribe(
                kind, lambda sender, body: self.receive(sender, body, clock.seconds())
            )

    def health_of(
        self, target: str, route: Route, workspace: str | None, now: float
    ) -> TargetHealth:
        """Return the health of ``target`` for one request."""
        return self.service_health(route.service).health_of(
            target, route, workspace, now
        )

    def record(self, attempt: Attempt, ended: ActiveRequest | None, now: float) -> None:
        """Record one attempt; ``ended`` is the request that held its slot."""
        self.service_health(attempt.route.service).record(attempt, ended, now)

    def service_health(self, service: str) -> ServiceHealth:
        """Return this instance's health record of a service, a new one if need be."""
        health = self._health_by_service.get(service)
        if health is None:
            health = ServiceHealth(service, self.availability, self._random)
            self._health_by_service[service] = health
        return health

    def probed_targets(self) -> list[BackendServer]:
        """Return the targets that this instance has to probe."""
        document = self._states[-1].document if self._states else None
        if document is None:
            return []
        probed = {
            service
            for service, config in self._configs_by_service.items()
            if self._me in config.ranked_coordinators[:PROBING_COORDINATORS]
        }
        return [t for t in document.backend_servers if t.service in probed]

    def tick(self, outstanding: ActiveRequests, now: float) -> None:
        """Record overdue requests, report and coordinate; call every TICK_S."""
        self._update(now)
        self._now = now
        for service, config in self._configs_by_service.items():
            health = self._health_by_service.get(service)
            if health is not None:
                for target in config.slots_by_target:
                    health.record_overdue(target, outstanding.running(target), now)
                health.refresh(now)
            self._report_if_due(service, config, now)
        for service, coordinator in self._coordinators_by_service.items():
            if service in self._configs_by_service and self._needs_coordination(
                service, now
            ):
                coordinator.tick(self._configs_by_service[service], now)

    def receive(self, sender: InstanceId, body: object, now: float) -> None:
        """Handle one message from another instance."""
        self._update(now)
        self._now = now
        self._handle(body, sender)

    def _update(self, now: float) -> None:
        is_fresh = self._agreement.is_fresh(now)
        states = self._agreement.active(now) if is_fresh else ()
        previous = [state.sequence for state in self._states]
        if previous == [state.sequence for state in states]:
            return
        self._states = states
        document = states[-1].document if states else None
        if document is None:
            self._configs_by_service = {}
            return
        self._configs_by_service = {
            service.name: self._derive_config(service.name, document)
            for service in document.services
        }
        self._forget_removed(document)
        self._update_coordinators(now)

    def _derive_config(self, service: str, document: Document) -> EjectionConfig:
        members = self._states[-1].members_by_name.values()
        steered_members = steered_instances(document, service, members)
        return ejection_config_for(service, self._states, steered_members)

    def _forget_removed(self, document: Document) -> None:
        self.availability.keep_only(
            {target.name for target in document.backend_servers}
        )
        for name, health in self._health_by_service.items():
            config = self._configs_by_service.get(name)
            health.keep_only(config.slots_by_target if config else ())
        for name in self._coordinators_by_service.keys() - self._configs_by_service:
            del self._coordinators_by_service[name]

    def _update_coordinators(self, now: float) -> None:
        for service, config in self._configs_by_service.items():
            if self._me in config.all_coordinators():
                if service not in self._coordinators_by_service:
                    self._coordinators_by_service[service] = self._make_coordinator(
                        service, self._me, self._send, self.counts, now
                    )
            else:
                self._coordinators_by_service.pop(service, None)

    def _send(self, member: Member, body: object) -> None:
        if member.id == self._me:
            self._handle(body, self._me)
        else:
            self._transport.send(member.peers, body)

    def _needs_coordination(self, service: str, now: float) -> bool:
        active = self._active_at_by_service.get(service)
        return active is not None and now - active <= COORDINATION_TIMEOUT_S

    def _report_if_due(self, service: str, config: EjectionConfig, now: float) -> None:
        health = self._health_by_service.get(service)
        used = health is not None and now - health.used_at <= RECENT_USE_S
        urgent = any(
            self.availability.is_absent(t, now) for t in config.slots_by_target
        )
        if not used and not urgent and self._me.name not in config.steered_names:
            return
        health = self.service_health(service)
        interval = REPORT_INTERVAL_S if used else UNUSED_REPORT_INTERVAL_S
        if health.is_urgent(config.slots_by_target, now):
            interval = URGENT_REPORT_INTERVAL_S
        if now - self._reported_at_by_service.get(service, -interval) < interval:
            return
        self._reported_at_by_service[service] = now
        report = health.report(config.slots_by_target, now)
        self.counts["ejection.reports"] += 1
        for member in config.all_coordinators().values():
            self._send(member, report)

    @singledispatchmethod
    def _handle(self, body: object, sender: InstanceId) -> None:
        raise NotImplementedError(type(body))

    @_handle.register
    def _on_report(self, body: EvidenceReport, sender: InstanceId) -> None:
        coordinator, config, member = self._coordinator_for(body.service, sender)
        if coordinator and config and member:
            if body.seen or body.scores or body.leaving or body.cold:
                self._active_at_by_service[body.service] = self._now
            coordinator.on_report(member, body, config, self._now)

    @_handle.register
    def _on_vote_request(self, body: VoteRequest, sender: InstanceId) -> None:
        coordinator, config, member = self._coordinator_for(body.service, sender)
        if coordinator and config and member:
            coordinator.on_vote_request(member, body, config, self._now)

    @_handle.register
    def _on_vote(self, body: Vote, sender: InstanceId) -> None:
        coordinator, config, member = self._coordinator_for(body.service, sender)
        if coordinator and config and member:
            coordinator.on_vote(sender, body, config, self._now)

    @_handle.register
    def _on_grants(self, body: EjectionGrants, sender: InstanceId) -> None:
        if body.service in self._configs_by_service:
            self.service_health(body.service).on_grants(sender, body, self._now)

    def _coordinator_for(
        self, service: str, sender: InstanceId
    ) -> tuple[EjectionCoordinator | None, EjectionConfig | None, Member | None]:
        member = next(
            (
                state.members_by_name[sender.name]
                for state in reversed(self._states)
                if sender.name in state.members_by_name
            ),
            None,
        )
        if member is not None:
            member = attrs.evolve(member, id=sender)
        coordinator = self._coordinators_by_service.get(service)
        return coordinator, self._configs_by_service.get(service), member
