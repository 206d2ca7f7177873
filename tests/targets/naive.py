"""Naive ways to eject, which the invariants must catch."""

from __future__ import annotations

from collections import Counter

from gentianhitch.decisions.targets.detector import Detector
from gentianhitch.decisions.targets.ejection_coordinator import EjectionCoordinator
from gentianhitch.decisions.targets.ejection_coordinator import Send
from gentianhitch.decisions.targets.scopes import Scope
from gentianhitch.decisions.targets.service_health import POOR_SCORE
from gentianhitch.decisions.targets.service_health import ServiceHealth
from gentianhitch.instances.identity import InstanceId


class AloneView(ServiceHealth):
    def ejected_scopes(self, now: float) -> frozenset[Scope]:
        return frozenset(s for s, _ in self.evidence.scores(POOR_SCORE, now))


class AloneDetector(Detector):
    """Let each instance eject on its own evidence."""

    def service_health(self, service: str) -> ServiceHealth:
        if service not in self._views_by_service:
            view = AloneView(service, self.availability, self._random)
            self._views_by_service[service] = view
        return super().service_health(service)


class HastySteward(EjectionCoordinator):
    """Grant at once after becoming leader."""

    def wait_s(self) -> float:
        return 0.0


class ForgetfulSteward(EjectionCoordinator):
    """Vote at once after a restart."""

    def __init__(
        self, service: str, me: InstanceId, send: Send, counts: Counter[str], now: float
    ) -> None:
        super().__init__(service, me, send, counts, now)
        self._voter._vote_until = now
