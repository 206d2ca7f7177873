"""Judge the targets of one service at one instance."""

from __future__ import annotations

from random import Random

from gentianhitch.decisions.interfaces import Attempt
from gentianhitch.decisions.targets.evidence import ServiceEvidence
from gentianhitch.decisions.targets.hints import TargetHints
from gentianhitch.decisions.targets.messages import MAX_NAMES
from gentianhitch.decisions.targets.messages import MAX_SCORES
from gentianhitch.decisions.targets.messages import EjectionGrants
from gentianhitch.decisions.targets.messages import EvidenceReport
from gentianhitch.decisions.targets.outstanding import Running
from gentianhitch.decisions.targets.reports import score_of
from gentianhitch.decisions.targets.scopes import Scope
from gentianhitch.decisions.targets.scopes import scopes_for
from gentianhitch.decisions.targets.scopes import scopes_of
from gentianhitch.decisions.targets.standing import Standing
from gentianhitch.decisions.targets.view import EjectionView
from gentianhitch.instances.identity import InstanceId
from gentianhitch.operators.document import Route

POOR_SCORE = 5.0
"""Own evidence from which a target is used only when no other has a slot."""

REPORTED_SCORE = 1.0


class ServiceView:
    """Combine own evidence, granted ejections and hints of one service."""

    def __init__(self, service: str, hints: TargetHints, random: Random) -> None:
        self.evidence = ServiceEvidence()
        self.ejections = EjectionView()
        self.used = 0.0
        self._service = service
        self._hints = hints
        self._random = random
        self._poor: set[Scope] = set()
        self._weights_by_scope: dict[Scope, float] = {}
        self._leaving: frozenset[str] = frozenset()

    def standing(
        self, target: str, route: Route, workspace: str | None, now: float
    ) -> Standing:
        """Return the standing of ``target`` for one request."""
        if target in self._leaving or self._hints.is_leaving(target, now):
            return Standing.UNUSABLE
        if not self._poor and not self._weights_by_scope:
            return Standing.GOOD
        scopes = scopes_for(target, route, workspace)
        weight = min(self._weights_by_scope.get(scope, 1.0) for scope in scopes)
        if weight == 0.0:
            return Standing.UNUSABLE
        if any(scope in self._poor for scope in scopes):
            return Standing.POOR
        return Standing.GOOD if self._random.random() < weight else Standing.POOR

    def record(self, attempt: Attempt, ended: Running | None, now: float) -> None:
        """Keep what one ended attempt shows."""
        self.used = now
        self._hints.record(attempt, now)
        cold = self._hints.is_cold(attempt.target, now)
        noted = ended.noted if ended else 0
        self.evidence.record(attempt, now, cold=cold, noted=noted)
        for scope in scopes_of(attempt):
            self._rate(scope, now)

    def note_overdue(self, target: str, running: list[Running], now: float) -> None:
        """Take requests that run for too long as evidence."""
        if self._hints.is_cold(target, now):
            return
        for request in running:
            if self.evidence.note_overdue(target, request, now):
                request.noted += 1
                for scope in scopes_for(target, request.route, request.workspace):
                    self._rate(scope, now)

    def on_grants(self, leader: InstanceId, grants: EjectionGrants, now: float) -> None:
        """Apply a leader's grants."""
        self.ejections.on_grants(leader, grants, now)
        self.refresh(now)

    def refresh(self, now: float) -> None:
        """Let leases end and forget evidence that an ejection has answered."""
        before = self._weights_by_scope
        self._weights_by_scope = self.ejections.weights(now)
        self._leaving = self.ejections.leaving(now)
        for scope, weight in self._weights_by_scope.items():
            if weight == 0.0 and before.get(scope) != 0.0:
                self.evidence.clear(scope.target)
        for scope in list(self._poor):
            self._rate(scope, now)

    def ejected(self, now: float) -> frozenset[Scope]:
        """Return the scopes to which this instance sends nothing."""
        weights = self.ejections.weights(now)
        return frozenset(scope for scope, weight in weights.items() if weight == 0.0)

    def report(self, now: float) -> EvidenceReport:
        """Build the next report to the stewards."""
        scores = self.evidence.scores(REPORTED_SCORE, now)[:MAX_SCORES]
        targets = self.evidence.targets()
        return EvidenceReport(
            self._service,
            self.ejections.next_number(now),
            tuple(self.evidence.seen(now)[:MAX_NAMES]),
            tuple(score_of(scope, score) for scope, score in scores),
            tuple(t for t in targets if self._hints.is_leaving(t, now))[:MAX_NAMES],
            tuple(t for t in targets if self._hints.is_cold(t, now))[:MAX_NAMES],
        )

    def suspects(self, now: float) -> bool:
        """Tell whether a report cannot wait."""
        return bool(self._poor or self._weights_by_scope or self._leaving)

    def _rate(self, scope: Scope, now: float) -> None:
        if self.evidence.score(scope, now) >= POOR_SCORE:
            self._poor.add(scope)
        else:
            self._poor.discard(scope)
