"""Collect evidence that a target is gray, compared with the service's other targets."""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Container
from statistics import median

import attrs

from gentianhitch.decisions.interfaces import Attempt
from gentianhitch.decisions.interfaces import Outcome
from gentianhitch.decisions.targets.cusum import Reference
from gentianhitch.decisions.targets.cusum import ScopeCusum
from gentianhitch.decisions.targets.outstanding import ActiveRequest
from gentianhitch.decisions.targets.scopes import Scope
from gentianhitch.decisions.targets.scopes import route_name
from gentianhitch.decisions.targets.scopes import scopes_for
from gentianhitch.decisions.targets.scopes import scopes_of

MAX_GROUPS = 256
"""Bound on the routes and workspaces of a service that are tracked separately."""

MAX_ROUTES = 256
REFERENCE_LIFETIME_S = 0.25
RECENT_EVIDENCE_S = 2.0
MIN_RESPONSES = 3
MIN_LATENCY_S = 1e-5
INITIAL_SPREAD = 0.7
MIN_SPREAD = 0.3
MAX_SPREAD = 1.0
SPREAD_PER_MEAN_DEVIATION = 1.25
"""Ratio of a normal distribution's standard deviation to its mean deviation."""

BASELINE_SMOOTHING = 0.02
BASELINE_MAX_STEP = 0.5
OVERDUE_FACTOR = 4.0
"""A request that has run this many times longer than usual counts as evidence."""

FAILURE_OUTCOMES = frozenset(
    {Outcome.NOT_SENT, Outcome.ERROR, Outcome.WRONG, Outcome.CUT, Outcome.SILENT}
)


Group = tuple[str, str]
ENTIRE_TARGET: Group = ("", "")


@attrs.define
class Baseline:
    """Robust mean of the logarithm of latency of a route, over all targets."""

    count: int = 0
    log_latency: float = 0.0

    def shift(self, latency_s: float) -> float:
        """Return the logarithm of the ratio of a latency to the baseline."""
        return math.log(max(latency_s, MIN_LATENCY_S)) - self.log_latency

    def update(self, latency_s: float) -> None:
        """Add a latency; its step is bounded, so that outliers hardly move the mean."""
        self.count += 1
        shift = self.shift(latency_s)
        if self.count == 1:
            self.log_latency += shift
            return
        step = max(min(shift, BASELINE_MAX_STEP), -BASELINE_MAX_STEP)
        self.log_latency += max(1.0 / self.count, BASELINE_SMOOTHING) * step


class ServiceEvidence:
    """Evidence of one instance on the scopes of one service, in bounded memory."""

    def __init__(self) -> None:
        self._cusums_by_group: OrderedDict[Group, dict[str, ScopeCusum]] = OrderedDict()
        self._baselines_by_route: OrderedDict[str, Baseline] = OrderedDict()
        self._references_by_scope: dict[Scope, Reference] = {}
        self._references_expire_at = 0.0
        self._mean_deviation = INITIAL_SPREAD / SPREAD_PER_MEAN_DEVIATION

    def record(
        self, attempt: Attempt, now: float, *, cold: bool, overdue_count: int
    ) -> None:
        """Add one ended attempt.

        ``overdue_count`` is how often it was already recorded as overdue.
        """
        if attempt.outcome is Outcome.SHED:
            return
        failed = attempt.outcome in FAILURE_OUTCOMES
        succeeded = attempt.outcome is Outcome.OK
        shift = self._baseline(route_name(attempt.route)).shift(attempt.latency_s)
        for scope in scopes_of(attempt):
            cusum = self._cusum(scope)
            reference = self._reference(scope, now)
            if succeeded and not cold and not overdue_count:
                cusum.add_latency(shift, reference, now)
            if succeeded or failed:
                cusum.add_result(failed, reference, now)
        if succeeded and not cold:
            self._update_baseline(attempt, shift, now)

    def record_overdue(self, target: str, running: ActiveRequest, now: float) -> bool:
        """Add a running request if it is overdue, and return whether it is.

        The threshold doubles each time that the same request is overdue.
        """
        baseline = self._baselines_by_route.get(route_name(running.route))
        if baseline is None or baseline.count < MIN_RESPONSES:
            return False
        shift = baseline.shift(now - running.started)
        threshold = math.log(OVERDUE_FACTOR * 2**running.overdue_count)
        for scope in scopes_for(target, running.route, running.workspace):
            reference = self._reference(scope, now)
            if shift < reference.level + threshold:
                return False
            self._cusum(scope).add_shift(shift, reference, now)
        return True

    def score(self, scope: Scope, now: float) -> float:
        """Return the evidence that ``scope`` is gray."""
        cusum = self._cusums_by_group.get(scope.comparison_group, {}).get(scope.target)
        return cusum.score(now) if cusum else 0.0

    def scores(self, min_score: float, now: float) -> list[tuple[Scope, float]]:
        """Return the scopes that score at least ``min_score``, highest first."""
        scored = [
            (Scope(target, *group), cusum.score(now))
            for group, cusums_by_target in self._cusums_by_group.items()
            for target, cusum in cusums_by_target.items()
        ]
        above = [(scope, score) for scope, score in scored if score >= min_score]
        return sorted(above, key=lambda item: -item[1])

    def recent_targets(self, now: float) -> list[str]:
        """Return the targets with evidence from the last RECENT_EVIDENCE_S."""
        return [
            target
            for target, cusum in self._cusums_by_group.get(ENTIRE_TARGET, {}).items()
            if now - cusum.updated <= RECENT_EVIDENCE_S
        ]

    def clear(self, target: str) -> None:
        """Reset the evidence against ``target``."""
        for cusums_by_target in self._cusums_by_group.values():
            if target in cusums_by_target:
                cusums_by_target[target].clear()

    def keep_only(self, targets: Container[str]) -> None:
        """Delete the evidence on targets that are not in ``targets``."""
        for cusums_by_target in self._cusums_by_group.values():
            for target in [name for name in cusums_by_target if name not in targets]:
                del cusums_by_target[target]

    def _update_baseline(self, attempt: Attempt, shift: float, now: float) -> None:
        level = self._reference(Scope(attempt.target), now).level
        deviation = min(abs(shift - level), MAX_SPREAD * 2)
        self._mean_deviation += BASELINE_SMOOTHING * (deviation - self._mean_deviation)
        self._baseline(route_name(attempt.route)).update(attempt.latency_s)

    def _cusum(self, scope: Scope) -> ScopeCusum:
        cusums_by_target = self._cusums_by_group.get(scope.comparison_group)
        if cusums_by_target is None:
            cusums_by_target = self._cusums_by_group[scope.comparison_group] = {}
            if len(self._cusums_by_group) > MAX_GROUPS:
                self._cusums_by_group.popitem(last=False)
        self._cusums_by_group.move_to_end(scope.comparison_group)
        return cusums_by_target.setdefault(scope.target, ScopeCusum())

    def _baseline(self, route: str) -> Baseline:
        baseline = self._baselines_by_route.get(route)
        if baseline is None:
            baseline = self._baselines_by_route[route] = Baseline()
            if len(self._baselines_by_route) > MAX_ROUTES:
                self._baselines_by_route.popitem(last=False)
        return baseline

    def _reference(self, scope: Scope, now: float) -> Reference:
        if now >= self._references_expire_at:
            self._references_by_scope.clear()
            self._references_expire_at = now + REFERENCE_LIFETIME_S
        reference = self._references_by_scope.get(scope)
        if reference is None:
            reference = self._references_by_scope[scope] = self._compute_reference(
                scope
            )
        return reference

    def _compute_reference(self, scope: Scope) -> Reference:
        others = [
            cusum
            for target, cusum in self._cusums_by_group.get(
                scope.comparison_group, {}
            ).items()
            if target != scope.target and cusum.count >= MIN_RESPONSES
        ]
        spread = self._mean_deviation * SPREAD_PER_MEAN_DEVIATION
        spread = min(max(spread, MIN_SPREAD), MAX_SPREAD)
        if not others:
            return Reference(0.0, spread, 0.0)
        return Reference(
            median(cusum.level for cusum in others),
            spread,
            median(cusum.error_rate for cusum in others),
        )
