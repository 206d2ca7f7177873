"""Plain ways to detect gray targets, to set beside the fleet's."""

from __future__ import annotations

from collections import Counter

from gentianhitch.decisions.interfaces import Attempt
from gentianhitch.decisions.interfaces import Outcome
from gentianhitch.decisions.targets.ejection_table import BASE_EJECTION_TIME_S
from gentianhitch.decisions.targets.evidence import FAILURE_OUTCOMES
from gentianhitch.decisions.targets.evidence import ServiceEvidence
from gentianhitch.decisions.targets.outstanding import ActiveRequest
from gentianhitch.decisions.targets.scopes import scopes_of
from gentianhitch.decisions.targets.service_health import POOR_SCORE
from gentianhitch.decisions.targets.target_health import TargetHealth
from gentianhitch.operators.document import Route

CONSECUTIVE_ERRORS = 5
LATENCY_BOUND_S = 0.1
LATENCY_SMOOTHING = 0.1


class PlainJudge:
    """Eject a target for a fixed time when :meth:`is_gray` says so; no floor."""

    def __init__(self) -> None:
        self.ejections: list[tuple[float, str]] = []
        self._until_by_target: dict[str, float] = {}

    def health_of(
        self, target: str, route: Route, workspace: str | None, now: float
    ) -> TargetHealth:
        """Return the standing of ``target`` for one request."""
        ejected = now < self._until_by_target.get(target, 0.0)
        return TargetHealth.UNUSABLE if ejected else TargetHealth.GOOD

    def record(self, attempt: Attempt, ended: ActiveRequest | None, now: float) -> None:
        """Eject the target of the attempt if it is gray."""
        if attempt.outcome is Outcome.SHED:
            return
        ejected = now < self._until_by_target.get(attempt.target, 0.0)
        if self.is_gray(attempt, now) and not ejected:
            self.ejections.append((now, attempt.target))
            self._until_by_target[attempt.target] = now + BASE_EJECTION_TIME_S

    def is_gray(self, attempt: Attempt, now: float) -> bool:
        """Tell whether the target looks gray after ``attempt``."""
        raise NotImplementedError


class ConsecutiveErrors(PlainJudge):
    """Eject after several failures in a row."""

    def __init__(self) -> None:
        super().__init__()
        self._failures_by_target: Counter[str] = Counter()

    def is_gray(self, attempt: Attempt, now: float) -> bool:
        """Count failures in a row."""
        if attempt.outcome not in FAILURE_OUTCOMES:
            self._failures_by_target[attempt.target] = 0
            return False
        self._failures_by_target[attempt.target] += 1
        return self._failures_by_target[attempt.target] >= CONSECUTIVE_ERRORS


class FixedLatencyBound(PlainJudge):
    """Eject when the smoothed latency passes a fixed bound."""

    def __init__(self) -> None:
        super().__init__()
        self._latency_s_by_target: dict[str, float] = {}

    def is_gray(self, attempt: Attempt, now: float) -> bool:
        """Compare the smoothed latency with the bound."""
        known_s = self._latency_s_by_target.get(attempt.target, attempt.latency_s)
        known_s += LATENCY_SMOOTHING * (attempt.latency_s - known_s)
        self._latency_s_by_target[attempt.target] = known_s
        if known_s <= LATENCY_BOUND_S:
            return False
        del self._latency_s_by_target[attempt.target]
        return True


class EachAlone(PlainJudge):
    """Eject on this instance's evidence alone."""

    def __init__(self) -> None:
        super().__init__()
        self._evidence = ServiceEvidence()

    def is_gray(self, attempt: Attempt, now: float) -> bool:
        """Use the fleet's evidence, but nobody else's."""
        self._evidence.record(attempt, now, cold=False, overdue_count=0)
        scores = (self._evidence.score(scope, now) for scope in scopes_of(attempt))
        if max(scores) < POOR_SCORE:
            return False
        self._evidence.clear(attempt.target)
        return True


PLAIN_WAYS = (ConsecutiveErrors, FixedLatencyBound, EachAlone)
