"""Rate the targets of one service at one instance."""

from __future__ import annotations

from collections.abc import Collection
from random import Random

from gentianhitch.decisions.interfaces import Attempt
from gentianhitch.decisions.targets.availability import TargetAvailability
from gentianhitch.decisions.targets.connect_backoff import ConnectBackoffs
from gentianhitch.decisions.targets.evidence import ServiceEvidence
from gentianhitch.decisions.targets.granted_ejections import GrantedEjections
from gentianhitch.decisions.targets.messages import MAX_SCORES
from gentianhitch.decisions.targets.messages import MAX_TARGETS
from gentianhitch.decisions.targets.messages import EjectionGrants
from gentianhitch.decisions.targets.messages import EvidenceReport
from gentianhitch.decisions.targets.outstanding import ActiveRequest
from gentianhitch.decisions.targets.reports import GRAY_SCORE
from gentianhitch.decisions.targets.reports import score_of
from gentianhitch.decisions.targets.scopes import Scope
from gentianhitch.decisions.targets.scopes import scopes_for
from gentianhitch.decisions.targets.scopes import scopes_of
from gentianhitch.decisions.targets.target_health import TargetHealth
from gentianhitch.instances.identity import InstanceId
from gentianhitch.operators.document import Route

POOR_SCORE = 4.0
"""Local score from which a scope is used only if no other target has a slot."""

MIN_REPORTED_SCORE = 0.5


class ServiceHealth:
    """Rate targets by local evidence, granted ejections and availability."""

    def __init__(
        self, service: str, availability: TargetAvailability, random: Random
    ) -> None:
        self.evidence = ServiceEvidence()
        self.ejections = GrantedEjections()
        self.used_at = 0.0
        self._service = service
        self._availability = availability
        self._random = random
        self._connect_backoffs = ConnectBackoffs()
        self._poor: set[Scope] = set()
        self._suspect: set[Scope] = set()
        self._weights_by_scope: dict[Scope, float] = {}
        self._leaving: frozenset[str] = frozenset()

    def health_of(
        self, target: str, route: Route, workspace: str | None, now: float
    ) -> TargetHealth:
        """Return the health of ``target`` for one request."""
        if target in self._leaving or self._availability.is_leaving(target, now):
            return TargetHealth.UNUSABLE
        unreachable = self._connect_backoffs.is_backing_off(target, now)
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

    def record(self, attempt: Attempt, ended: ActiveRequest | None, now: float) -> None:
        """Record one attempt; ``ended`` is the request that held its slot."""
        self.used_at = now
        self._availability.record(attempt, now)
        self._connect_backoffs.record(attempt, now)
        cold = self._availability.has_cold_grace(attempt.target, now)
        overdue_count = ended.overdue_count if ended else 0
        self.evidence.record(attempt, now, cold=cold, overdue_count=overdue_count)
        for scope in scopes_of(attempt):
            self._rate(scope, now)

    def record_overdue(
        self, target: str, running: list[ActiveRequest], now: float
    ) -> None:
        """Record requests that run for too long as evidence of slowness."""
        if self._availability.has_cold_grace(target, now):
            return
        for request in running:
            if self.evidence.record_overdue(target, request, now):
                request.overdue_count += 1
                for scope in scopes_for(target, request.route, request.workspace):
                    self._rate(scope, now)

    def on_grants(self, leader: InstanceId, grants: EjectionGrants, now: float) -> None:
        """Apply the grants of a leader."""
        self.ejections.on_grants(leader, grants, now)
        for target in grants.cold:
            self._availability.mark_cold(target, now)
        self.refresh(now)

    def keep_only(self, targets: Collection[str]) -> None:
        """Delete the evidence on targets that are not in ``targets``."""
        self.evidence.keep_only(targets)
        self._connect_backoffs.keep_only(targets)
        for scopes in (self._poor, self._suspect):
            scopes -= {scope for scope in scopes if scope.target not in targets}

    def refresh(self, now: float) -> None:
        """Expire leases; clear the evidence against newly ejected targets."""
        previous = self._weights_by_scope
        self._weights_by_scope = self.ejections.weights(now)
        self._leaving = self.ejections.leaving(now)
        for scope, weight in self._weights_by_scope.items():
            if weight == 0.0 and previous.get(scope) != 0.0:
                self.evidence.clear(scope.target)
        for scope in self._poor | self._suspect:
            self._rate(scope, now)

    def ejected_scopes(self, now: float) -> frozenset[Scope]:
        """Return the scopes to which this instance sends no requests."""
        weights = self.ejections.weights(now)
        return frozenset(scope for scope, weight in weights.items() if weight == 0.0)

    def report(self, targets: Collection[str], now: float) -> EvidenceReport:
        """Build the next report on ``targets`` to the coordinators."""
        scores = self.evidence.scores(MIN_REPORTED_SCORE, now)[:MAX_SCORES]
        return EvidenceReport(
            self._service,
            self.ejections.next_number(now),
            tuple(self.evidence.recent_targets(now)[:MAX_TARGETS]),
            tuple(score_of(scope, score) for scope, score in scores),
            tuple(t for t in targets if self._availability.is_leaving(t, now))[
                :MAX_TARGETS
            ],
            tuple(t for t in targets if self._availability.reports_cold(t, now))[
                :MAX_TARGETS
            ],
        )

    def is_urgent(self, targets: Collection[str], now: float) -> bool:
        """Return whether to report at the urgent interval."""
        return bool(
            self._suspect
            or self._weights_by_scope
            or self._leaving
            or any(self._availability.is_absent(t, now) for t in targets)
        )

    def _rate(self, scope: Scope, now: float) -> None:
        score = self.evidence.score(scope, now)
        _set_member(self._suspect, scope, score >= GRAY_SCORE)
        _set_member(self._poor, scope, score >= POOR_SCORE)


def _set_member(scopes: set[Scope], scope: Scope, is_member: bool) -> None:
    if is_member:
        scopes.add(scope)
    else:
        scopes.discard(scope)
