"""Compare each target of a service with the service's other targets."""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Container
from statistics import median

import attrs

from gentianhitch.decisions.interfaces import Attempt
from gentianhitch.decisions.interfaces import Outcome
from gentianhitch.decisions.targets.cusum import Reference
from gentianhitch.decisions.targets.cusum import Track
from gentianhitch.decisions.targets.outstanding import RunningRequest
from gentianhitch.decisions.targets.scopes import Scope
from gentianhitch.decisions.targets.scopes import route_name
from gentianhitch.decisions.targets.scopes import scopes_for
from gentianhitch.decisions.targets.scopes import scopes_of

MAX_GROUPS = 256
"""Routes and workspaces of a service with evidence of their own."""

MAX_ROUTES = 256
REFERENCE_AGE_S = 0.25
RECENT_S = 2.0
MIN_ANSWERS = 3
MIN_LATENCY_S = 1e-5
INITIAL_SPREAD = 0.7
MIN_SPREAD = 0.3
MAX_SPREAD = 1.0
SPREAD_OF_DEVIATION = 1.25
"""Standard deviation of a normal distribution over its mean deviation."""

BASELINE_SMOOTHING = 0.02
BASELINE_MAX_STEP = 0.5
OVERDUE_FACTOR = 4.0
"""A request that runs this many times longer than usual is evidence already."""

FAILURE_OUTCOMES = frozenset(
    {Outcome.NOT_SENT, Outcome.ERROR, Outcome.WRONG, Outcome.CUT, Outcome.SILENT}
)


Group = tuple[str, str]
WHOLE: Group = ("", "")


@attrs.define
class Baseline:
    """The usual logarithm of latency of a route over all targets, robustly."""

    count: int = 0
    log_latency: float = 0.0

    def shift(self, latency_s: float) -> float:
        """Return the logarithm of a latency over the usual one."""
        return math.log(max(latency_s, MIN_LATENCY_S)) - self.log_latency

    def update(self, latency_s: float) -> None:
        """Follow an answer; one far off moves the baseline no more than one near."""
        self.count += 1
        shift = self.shift(latency_s)
        if self.count == 1:
            self.log_latency += shift
            return
        step = max(min(shift, BASELINE_MAX_STEP), -BASELINE_MAX_STEP)
        self.log_latency += max(1.0 / self.count, BASELINE_SMOOTHING) * step


class ServiceEvidence:
    """Keep what this instance saw of one service, in bounded memory."""

    def __init__(self) -> None:
        self._tracks_by_group: OrderedDict[Group, dict[str, Track]] = OrderedDict()
        self._baselines_by_route: OrderedDict[str, Baseline] = OrderedDict()
        self._references_by_scope: dict[Scope, Reference] = {}
        self._references_until = 0.0
        self._deviation = INITIAL_SPREAD / SPREAD_OF_DEVIATION

    def record(
        self, attempt: Attempt, now: float, *, cold: bool, overdue_count: int
    ) -> None:
        """Add one ended attempt; ``overdue_count`` tells how often it was overdue."""
        if attempt.outcome is Outcome.SHED:
            return
        failed = attempt.outcome in FAILURE_OUTCOMES
        answered = attempt.outcome is Outcome.OK
        shift = self._baseline(route_name(attempt.route)).shift(attempt.latency_s)
        for scope in scopes_of(attempt):
            track = self._track(scope)
            reference = self._reference(scope, now)
            if answered and not cold and not overdue_count:
                track.see_latency(shift, reference, now)
            if answered or failed:
                track.see_end(failed, reference, now)
        if answered and not cold:
            self._learn(attempt, shift, now)

    def record_overdue(self, target: str, running: RunningRequest, now: float) -> bool:
        """Add a request that still runs; tell whether it was overdue (again)."""
        baseline = self._baselines_by_route.get(route_name(running.route))
        if baseline is None or baseline.count < MIN_ANSWERS:
            return False
        shift = baseline.shift(now - running.started)
        due = math.log(OVERDUE_FACTOR * 2**running.overdue_count)
        for scope in scopes_for(target, running.route, running.workspace):
            reference = self._reference(scope, now)
            if shift < reference.level + due:
                return False
            self._track(scope).see_shift(shift, reference, now)
        return True

    def score(self, scope: Scope, now: float) -> float:
        """Return the evidence that ``scope`` is gray."""
        track = self._tracks_by_group.get(scope.group, {}).get(scope.target)
        return track.score(now) if track else 0.0

    def scores(self, least: float, now: float) -> list[tuple[Scope, float]]:
        """Return the scopes with at least ``least``, highest score first."""
        scored = [
            (Scope(target, *group), track.score(now))
            for group, tracks_by_target in self._tracks_by_group.items()
            for target, track in tracks_by_target.items()
        ]
        high = [(scope, score) for scope, score in scored if score >= least]
        return sorted(high, key=lambda item: -item[1])

    def seen(self, now: float) -> list[str]:
        """Return the targets with recent evidence."""
        return [
            target
            for target, track in self._tracks_by_group.get(WHOLE, {}).items()
            if now - track.updated <= RECENT_S
        ]

    def clear(self, target: str) -> None:
        """Forget the evidence against ``target``."""
        for tracks_by_target in self._tracks_by_group.values():
            if target in tracks_by_target:
                tracks_by_target[target].clear()

    def keep_only(self, targets: Container[str]) -> None:
        """Forget every target that is not in ``targets``."""
        for tracks_by_target in self._tracks_by_group.values():
            for target in [name for name in tracks_by_target if name not in targets]:
                del tracks_by_target[target]

    def _learn(self, attempt: Attempt, shift: float, now: float) -> None:
        level = self._reference(Scope(attempt.target), now).level
        deviation = min(abs(shift - level), MAX_SPREAD * 2)
        self._deviation += BASELINE_SMOOTHING * (deviation - self._deviation)
        self._baseline(route_name(attempt.route)).update(attempt.latency_s)

    def _track(self, scope: Scope) -> Track:
        tracks_by_target = self._tracks_by_group.get(scope.group)
        if tracks_by_target is None:
            tracks_by_target = self._tracks_by_group[scope.group] = {}
            if len(self._tracks_by_group) > MAX_GROUPS:
                self._tracks_by_group.popitem(last=False)
        self._tracks_by_group.move_to_end(scope.group)
        return tracks_by_target.setdefault(scope.target, Track())

    def _baseline(self, route: str) -> Baseline:
        baseline = self._baselines_by_route.get(route)
        if baseline is None:
            baseline = self._baselines_by_route[route] = Baseline()
            if len(self._baselines_by_route) > MAX_ROUTES:
                self._baselines_by_route.popitem(last=False)
        return baseline

    def _reference(self, scope: Scope, now: float) -> Reference:
        if now >= self._references_until:
            self._references_by_scope.clear()
            self._references_until = now + REFERENCE_AGE_S
        reference = self._references_by_scope.get(scope)
        if reference is None:
            reference = self._references_by_scope[scope] = self._compare(scope)
        return reference

    def _compare(self, scope: Scope) -> Reference:
        others = [
            track
            for target, track in self._tracks_by_group.get(scope.group, {}).items()
            if target != scope.target and track.count >= MIN_ANSWERS
        ]
        spread = self._deviation * SPREAD_OF_DEVIATION
        spread = min(max(spread, MIN_SPREAD), MAX_SPREAD)
        if not others:
            return Reference(0.0, spread, 0.0)
        return Reference(
            median(track.level for track in others),
            spread,
            median(track.error_rate for track in others),
        )
