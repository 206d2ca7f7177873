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
from gentianhitch.decisions.targets.outstanding import OutstandingRequests
from gentianhitch.decisions.targets.outstanding import RunningRequest
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
REPORT_S = 0.5
IDLE_REPORT_S = 1.0
UNUSED_REPORT_S = 2.0
ACTIVE_S = 30.0
"""Stewards of a service without traffic or hints for so long elect nobody."""

USED_S = 10.0
PROBING_STEWARDS = 3
"""Stewards of a service that probe its targets; hints need two that agree."""


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
        self._make_steward = make_coordinator
        self._states: tuple[AgreedState, ...] = ()
        self._configs_by_service: dict[str, EjectionConfig] = {}
        self._steered: frozenset[str] = frozenset()
        self._views_by_service: dict[str, ServiceHealth] = {}
        self._coordinators_by_service: dict[str, EjectionCoordinator] = {}
        self._reported_by_service: dict[str, float] = {}
        self._active_by_service: dict[str, float] = {}

    def subscribe(self, clock: Clock) -> None:
        """Receive the other instances' messages from now on."""
        for kind in MESSAGES:
            self._transport.subscribe(
                kind, lambda sender, body: self.receive(sender, body, clock.seconds())
            )

    def health_of(
        self, target: str, route: Route, workspace: str | None, now: float
    ) -> TargetHealth:
        """Return the standing of ``target`` for one request."""
        return self.service_health(route.service).health_of(
            target, route, workspace, now
        )

    def record(
        self, attempt: Attempt, ended: RunningRequest | None, now: float
    ) -> None:
        """Keep what one ended attempt shows."""
        self.service_health(attempt.route.service).record(attempt, ended, now)

    def service_health(self, service: str) -> ServiceHealth:
        """Return what this instance knows of a service."""
        view = self._views_by_service.get(service)
        if view is None:
            view = ServiceHealth(service, self.availability, self._random)
            self._views_by_service[service] = view
        return view

    def probed_targets(self) -> list[BackendServer]:
        """Return the targets of the services for which this instance is to probe."""
        document = self._states[-1].document if self._states else None
        if document is None:
            return []
        probed = {
            service
            for service, setting in self._configs_by_service.items()
            if self._me in setting.preferred[:PROBING_STEWARDS]
        }
        return [t for t in document.backend_servers if t.service in probed]

    def tick(self, outstanding: OutstandingRequests, now: float) -> None:
        """Note overdue requests, report, and act as a steward; call every TICK_S."""
        self._update(now)
        self._now = now
        for service, setting in self._configs_by_service.items():
            view = self._views_by_service.get(service)
            if view is not None:
                for target in setting.slots_by_target:
                    view.record_overdue(target, outstanding.running(target), now)
                view.refresh(now)
            self._report_if_due(service, setting, now)
        for service, steward in self._coordinators_by_service.items():
            if service in self._configs_by_service and self._is_active(service, now):
                steward.tick(self._configs_by_service[service], now)

    def receive(self, sender: InstanceId, body: object, now: float) -> None:
        """Handle one message from another instance."""
        self._update(now)
        self._now = now
        self._handle(body, sender)

    def _update(self, now: float) -> None:
        fresh = self._agreement.is_fresh(now)
        states = self._agreement.active(now) if fresh else ()
        known = [state.sequence for state in self._states]
        if known == [state.sequence for state in states]:
            return
        self._states = states
        document = states[-1].document if states else None
        if document is None:
            self._configs_by_service = {}
            return
        self._configs_by_service = {
            service.name: self._derive(service.name, document)
            for service in document.services
        }
        self._forget(document)
        self._appoint(now)

    def _derive(self, service: str, document: Document) -> EjectionConfig:
        members = self._states[-1].members_by_name.values()
        near = steered_instances(document, service, members)
        return ejection_config_for(service, self._states, near)

    def _forget(self, document: Document) -> None:
        self.availability.keep_only(
            {target.name for target in document.backend_servers}
        )
        for name, view in self._views_by_service.items():
            setting = self._configs_by_service.get(name)
            view.keep_only(setting.slots_by_target if setting else ())
        for name in self._coordinators_by_service.keys() - self._configs_by_service:
            del self._coordinators_by_service[name]

    def _appoint(self, now: float) -> None:
        for service, setting in self._configs_by_service.items():
            if self._me in setting.everyone():
                if service not in self._coordinators_by_service:
                    self._coordinators_by_service[service] = self._make_steward(
                        service, self._me, self._send, self.counts, now
                    )
            else:
                self._coordinators_by_service.pop(service, None)

    def _send(self, member: Member, body: object) -> None:
        if member.id == self._me:
            self._handle(body, self._me)
        else:
            self._transport.send(member.peers, body)

    def _is_active(self, service: str, now: float) -> bool:
        active = self._active_by_service.get(service)
        return active is not None and now - active <= ACTIVE_S

    def _report_if_due(self, service: str, setting: EjectionConfig, now: float) -> None:
        view = self._views_by_service.get(service)
        used = view is not None and now - view.used <= USED_S
        urgent = any(self.availability.is_away(t, now) for t in setting.slots_by_target)
        if not used and not urgent and self._me.name not in setting.near:
            return
        view = self.service_health(service)
        interval = IDLE_REPORT_S if used else UNUSED_REPORT_S
        if view.is_urgent(setting.slots_by_target, now):
            interval = REPORT_S
        if now - self._reported_by_service.get(service, -interval) < interval:
            return
        self._reported_by_service[service] = now
        report = view.report(setting.slots_by_target, now)
        self.counts["ejection.reports"] += 1
        for member in setting.everyone().values():
            self._send(member, report)

    @singledispatchmethod
    def _handle(self, body: object, sender: InstanceId) -> None:
        raise NotImplementedError(type(body))

    @_handle.register
    def _on_report(self, body: EvidenceReport, sender: InstanceId) -> None:
        steward, setting, member = self._coordinator_for(body.service, sender)
        if steward and setting and member:
            if body.seen or body.scores or body.leaving or body.cold:
                self._active_by_service[body.service] = self._now
            steward.on_report(member, body, setting, self._now)

    @_handle.register
    def _on_request(self, body: VoteRequest, sender: InstanceId) -> None:
        steward, setting, member = self._coordinator_for(body.service, sender)
        if steward and setting and member:
            steward.on_request(member, body, setting, self._now)

    @_handle.register
    def _on_vote(self, body: Vote, sender: InstanceId) -> None:
        steward, setting, member = self._coordinator_for(body.service, sender)
        if steward and setting and member:
            steward.on_vote(sender, body, setting, self._now)

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
        steward = self._coordinators_by_service.get(service)
        return steward, self._configs_by_service.get(service), member
