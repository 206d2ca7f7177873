"""Faulty ways to eject, which must break the invariants."""

from __future__ import annotations

from collections import Counter

from gentianhitch.decisions.targets.detector import Detector
from gentianhitch.decisions.targets.ejection_coordinator import EjectionCoordinator
from gentianhitch.decisions.targets.ejection_coordinator import Send
from gentianhitch.decisions.targets.scopes import Scope
from gentianhitch.decisions.targets.service_health import POOR_SCORE
from gentianhitch.decisions.targets.service_health import ServiceHealth
from gentianhitch.instances.identity import InstanceId


class LocalHealth(ServiceHealth):
    """Ejects the scopes that this instance rates poor, without a grant."""

    def ejected_scopes(self, now: float) -> frozenset[Scope]:
        return frozenset(s for s, _ in self.evidence.scores(POOR_SCORE, now))


class LocalDetector(Detector):
    """Ejects on the evidence of this instance alone."""

    def service_health(self, service: str) -> ServiceHealth:
        if service not in self._health_by_service:
            health = LocalHealth(service, self.availability, self._random)
            self._health_by_service[service] = health
        return super().service_health(service)


class ImmediateCoordinator(EjectionCoordinator):
    """Grants as soon as it leads, without waiting for older leases to expire."""

    def takeover_wait_s(self) -> float:
        return 0.0


class ImmediateVoter(EjectionCoordinator):
    """Votes right after a restart, though its last vote may still be leased."""

    def __init__(
        self,
        service: str,
        me: InstanceId,
        send: Send,
        counts: Counter[str],
        now: float,
    ) -> None:
        super().__init__(service, me, send, counts, now)
        self._voter._vote_until = now
