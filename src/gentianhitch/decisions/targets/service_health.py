"""Rate the targets of one service at one instance."""

from __future__ import annotations

from collections.abc import Collection
from random import Random

from gentianhitch.decisions.interfaces import Attempt
from gentianhitch.decisions.targets.availability import TargetAvailability
from gentianhitch.decisions.targets.connect_backoff import Paths
from gentianhitch.decisions.targets.evidence import ServiceEvidence
from gentianhitch.decisions.targets.granted_ejections import GrantedEjections
from gentianhitch.decisions.targets.messages import MAX_NAMES
from gentianhitch.decisions.targets.messages import MAX_SCORES
from gentianhitch.decisions.targets.messages import EjectionGrants
from gentianhitch.decisions.targets.messages import EvidenceReport
from gentianhitch.decisions.targets.outstanding import RunningRequest
from gentianhitch.decisions.targets.reports import SHOWS_GRAY
from gentianhitch.decisions.targets.reports import score_of
from gentianhitch.decisions.targets.scopes import Scope
from gentianhitch.decisions.targets.scopes import scopes_for
from gentianhitch.decisions.targets.scopes import scopes_of
from gentianhitch.decisions.targets.target_health import TargetHealth
from gentianhitch.instances.identity import InstanceId
from gentianhitch.operators.document import Route

POOR_SCORE = 4.0
"""Own evidence from which a target is used only when no other has a slot."""

REPORTED_SCORE = 0.5


class ServiceHealth:
    """Combine own evidence, granted ejections and hints of one service."""

    def __init__(self, service: str, hints: TargetAvailability, random: Random) -> None:
        self.evidence = ServiceEvidence()
        self.ejections = GrantedEjections()
        self.used = 0.0
        self._service = service
        self._hints = hints
        self._random = random
        self._paths = Paths()
        self._poor: set[Scope] = set()
        self._suspect: set[Scope] = set()
        self._weights_by_scope: dict[Scope, float] = {}
        self._leaving: frozenset[str] = frozenset()

    def health_of(
        self, target: str, route: Route, workspace: str | None, now: float
    ) -> TargetHealth:
        """Return the standing of ``target`` for one request."""
        if target in self._leaving or self._hints.is_leaving(target, now):
            return TargetHealth.UNUSABLE
        unreachable = self._paths.is_backing_off(target, now)
        if not self._poor and not self._weights_by_scope and not unreachable:
            return TargetHealth.GOOD
        scopes = scopes_for(target, route, workspace)
        weight = min(self._weights_by_scope.get(scope, 1.0) for scope in scopes)
        if weight == 0.0:
            return TargetHealth.UNUSABLE
        if unreachable or any(scope in self._poor for scope in scopes):
            return TargetHealth.POOR
        return (
            TargetHealth.GOOD if self._random.random() < weight else TargetHealth.POOR
        )

    def record(
        self, attempt: Attempt, ended: RunningRequest | None, now: float
    ) -> None:
        """Keep what one ended attempt shows."""
        self.used = now
        self._hints.record(attempt, now)
        self._paths.record(attempt, now)
        cold = self._hints.is_cold(attempt.target, now)
        overdue_count = ended.overdue_count if ended else 0
        self.evidence.record(attempt, now, cold=cold, overdue_count=overdue_count)
        for scope in scopes_of(attempt):
            self._rate(scope, now)

    def record_overdue(
        self, target: str, running: list[RunningRequest], now: float
    ) -> None:
        """Take requests that run for too long as evidence."""
        if self._hints.is_cold(target, now):
            return
        for request in running:
            if self.evidence.record_overdue(target, request, now):
                request.overdue_count += 1
                for scope in scopes_for(target, request.route, request.workspace):
                    self._rate(scope, now)

    def on_grants(self, leader: InstanceId, grants: EjectionGrants, now: float) -> None:
        """Apply a leader's grants."""
        self.ejections.on_grants(leader, grants, now)
        for target in grants.cold:
            self._hints.mark_cold(target, now)
        self.refresh(now)

    def keep_only(self, targets: Collection[str]) -> None:
        """Forget every target that is not in ``targets``."""
        self.evidence.keep_only(targets)
        self._paths.keep_only(targets)
        for scopes in (self._poor, self._suspect):
            scopes -= {scope for scope in scopes if scope.target not in targets}

    def refresh(self, now: float) -> None:
        """Let leases end and forget evidence that an ejection has answered."""
        before = self._weights_by_scope
        self._weights_by_scope = self.ejections.weights(now)
        self._leaving = self.ejections.leaving(now)
        for scope, weight in self._weights_by_scope.items():
            if weight == 0.0 and before.get(scope) != 0.0:
                self.evidence.clear(scope.target)
        for scope in self._poor | self._suspect:
            self._rate(scope, now)

    def ejected_scopes(self, now: float) -> frozenset[Scope]:
        """Return the scopes to which this instance sends nothing."""
        weights = self.ejections.weights(now)
        return frozenset(scope for scope, weight in weights.items() if weight == 0.0)

    def report(self, targets: Collection[str], now: float) -> EvidenceReport:
        """Build the next report to the stewards, on ``targets``."""
        scores = self.evidence.scores(REPORTED_SCORE, now)[:MAX_SCORES]
        return EvidenceReport(
            self._service,
            self.ejections.next_number(now),
            tuple(self.evidence.seen(now)[:MAX_NAMES]),
            tuple(score_of(scope, score) for scope, score in scores),
            tuple(t for t in targets if self._hints.is_leaving(t, now))[:MAX_NAMES],
            tuple(t for t in targets if self._hints.reports_cold(t, now))[:MAX_NAMES],
        )

    def is_urgent(self, targets: Collection[str], now: float) -> bool:
        """Tell whether a report cannot wait."""
        return bool(
            self._suspect
            or self._weights_by_scope
            or self._leaving
            or any(self._hints.is_away(t, now) for t in targets)
        )

    def _rate(self, scope: Scope, now: float) -> None:
        score = self.evidence.score(scope, now)
        _keep(self._suspect, scope, score >= SHOWS_GRAY)
        _keep(self._poor, scope, score >= POOR_SCORE)


def _keep(scopes: set[Scope], scope: Scope, kept: bool) -> None:
    if kept:
        scopes.add(scope)
    else:
        scopes.discard(scope)
