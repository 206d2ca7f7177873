"""Pool the evidence reports of a service's instances at a steward."""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection
from itertools import chain

import attrs

from gentianhitch.decisions.targets.messages import EvidenceReport
from gentianhitch.decisions.targets.messages import ScopeScore
from gentianhitch.decisions.targets.scopes import Scope
from gentianhitch.instances.identity import InstanceId

REPORT_AGE_S = 3.0
SHOWS_GRAY = 1.0
"""Score from which one instance's evidence shows a scope as gray."""

MAX_PART = 8.0
"""The most that one instance adds to the pooled score."""

POOLED_GRAY = 12.0
POOLED_GRAY_NARROW = 14.0
MIN_SHOWING_PART = 0.25
"""Part of the instances heard that must show a scope as gray at least."""


@attrs.frozen
class Received:
    """One report with its sender's incarnation and the time it came."""

    at: float
    incarnation: int
    report: EvidenceReport


class ReportPool:
    """Keep the newest report of each instance for a few seconds."""

    def __init__(self) -> None:
        self._received_by_name: dict[str, Received] = {}

    def add(self, sender: InstanceId, report: EvidenceReport, now: float) -> bool:
        """Take a report unless a newer one of its sender came before."""
        known = self._received_by_name.get(sender.name)
        if known is not None:
            order = (known.incarnation, known.report.number)
            if (sender.incarnation, report.number) <= order:
                return False
        self._received_by_name[sender.name] = Received(now, sender.incarnation, report)
        return True

    def heard(self, now: float) -> dict[str, EvidenceReport]:
        """Return the recent reports and forget the others."""
        self._received_by_name = {
            name: received
            for name, received in self._received_by_name.items()
            if now - received.at <= REPORT_AGE_S
        }
        return {
            name: received.report for name, received in self._received_by_name.items()
        }

    def hears_most(self, near: Collection[str], now: float) -> bool:
        """Tell whether at least half of the instances of the service report."""
        heard = self.heard(now)
        return sum(name in heard for name in near) * 2 >= len(near)

    def gray(self, near: Collection[str], now: float) -> dict[Scope, float]:
        """Return the pooled score of each scope that most instances show as gray.

        ``near`` names the instances to which callers of the service are steered;
        those not heard count as seeing the scope well.
        """
        reports = self.heard(now)
        unheard = frozenset(near) - reports.keys()
        scores_by_scope: dict[Scope, dict[str, float]] = {}
        for name, report in reports.items():
            for score in report.scores:
                scores_by_scope.setdefault(scope_of(score), {})[name] = score.score
        gray = {}
        for scope, scores_by_name in scores_by_scope.items():
            pooled = sum(min(score, MAX_PART) for score in scores_by_name.values())
            if _is_enough(scope, pooled) and _most_show(
                scope, scores_by_name, reports, unheard
            ):
                gray[scope] = pooled
        return _without_parts_of_whole(gray)

    def absent(self, now: float) -> frozenset[str]:
        """Return the targets that any instance found leaving or cold."""
        return frozenset(
            target
            for report in self.heard(now).values()
            for target in (*report.leaving, *report.cold)
        )

    def leaving(self, now: float) -> tuple[str, ...]:
        """Return the targets that more than one instance found leaving."""
        return self._found([r.leaving for r in self.heard(now).values()])

    def cold(self, now: float) -> tuple[str, ...]:
        """Return the targets that more than one instance found cold."""
        return self._found([r.cold for r in self.heard(now).values()])

    def _found(self, targets_by_report: list[tuple[str, ...]]) -> tuple[str, ...]:
        needed = min(2, len(targets_by_report))
        found = Counter(chain.from_iterable(targets_by_report))
        return tuple(sorted(t for t, reports in found.items() if reports >= needed))


def scope_of(score: ScopeScore) -> Scope:
    """Return the scope that a message names."""
    return Scope(score.target, score.route, score.workspace)


def score_of(scope: Scope, score: float) -> ScopeScore:
    """Return the message for the score of a scope."""
    return ScopeScore(scope.target, scope.route, scope.workspace, round(score, 2))


def _most_show(
    scope: Scope,
    scores_by_name: dict[str, float],
    reports: dict[str, EvidenceReport],
    unheard: frozenset[str],
) -> bool:
    showing = {name for name, score in scores_by_name.items() if score >= SHOWS_GRAY}
    seeing = {name for name, report in reports.items() if scope.target in report.seen}
    known = len(reports) + len(unheard)
    least = max(min(2, known), MIN_SHOWING_PART * known)
    return len(showing) * 2 > len(showing | seeing | unheard) and len(showing) >= least


def _is_enough(scope: Scope, pooled: float) -> bool:
    return pooled >= (POOLED_GRAY if scope.whole else POOLED_GRAY_NARROW)


def _without_parts_of_whole(gray: dict[Scope, float]) -> dict[Scope, float]:
    targets = {scope.target for scope in gray if scope.whole}
    return {
        scope: pooled
        for scope, pooled in gray.items()
        if scope.whole or scope.target not in targets
    }
