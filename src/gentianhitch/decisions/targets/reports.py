"""Pool the evidence reports of a service's instances at a coordinator."""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection
from itertools import chain

import attrs

from gentianhitch.decisions.targets.messages import EvidenceReport
from gentianhitch.decisions.targets.messages import ScopeScore
from gentianhitch.decisions.targets.scopes import Scope
from gentianhitch.instances.identity import InstanceId

REPORT_LIFETIME_S = 3.0
GRAY_SCORE = 1.0
"""Score from which one instance counts as reporting a scope gray."""

MAX_SCORE_PER_INSTANCE = 8.0
"""Bound on what one instance adds to a pooled score."""

POOLED_GRAY_SCORE = 12.0
POOLED_GRAY_SCORE_NARROW = 14.0
MIN_GRAY_SHARE = 0.25
"""Least share of the known instances that must report a scope gray."""


@attrs.frozen
class ReceivedReport:
    """A report with its sender's incarnation and its time of receipt in seconds."""

    received_at: float
    incarnation: int
    report: EvidenceReport


class ReportPool:
    """Keep the newest report of each instance for REPORT_LIFETIME_S."""

    def __init__(self) -> None:
        self._received_by_sender: dict[str, ReceivedReport] = {}

    def add(self, sender: InstanceId, report: EvidenceReport, now: float) -> bool:
        """Add a report; return False if it is not newer than its sender's last one."""
        previous = self._received_by_sender.get(sender.name)
        if previous is not None:
            last_key = (previous.incarnation, previous.report.number)
            if (sender.incarnation, report.number) <= last_key:
                return False
        self._received_by_sender[sender.name] = ReceivedReport(
            now, sender.incarnation, report
        )
        return True

    def recent_reports(self, now: float) -> dict[str, EvidenceReport]:
        """Return the unexpired reports by instance name and delete the others."""
        self._received_by_sender = {
            name: received
            for name, received in self._received_by_sender.items()
            if now - received.received_at <= REPORT_LIFETIME_S
        }
        return {
            name: received.report for name, received in self._received_by_sender.items()
        }

    def has_quorum(self, steered_names: Collection[str], now: float) -> bool:
        """Return whether at least half of the steered instances have reported."""
        reports = self.recent_reports(now)
        return sum(name in reports for name in steered_names) * 2 >= len(steered_names)

    def gray(self, steered_names: Collection[str], now: float) -> dict[Scope, float]:
        """Return the pooled score of each scope that most instances report gray.

        ``steered_names`` are the instances to which callers of the service are
        steered; those without a recent report count as finding the scope healthy.
        """
        reports = self.recent_reports(now)
        silent = frozenset(steered_names) - reports.keys()
        scores_by_scope: dict[Scope, dict[str, float]] = {}
        for name, report in reports.items():
            for score in report.scores:
                scores_by_scope.setdefault(scope_of(score), {})[name] = score.score
        gray = {}
        for scope, scores_by_name in scores_by_scope.items():
            pooled = sum(
                min(score, MAX_SCORE_PER_INSTANCE) for score in scores_by_name.values()
            )
            if _reaches_threshold(scope, pooled) and _majority_reports_gray(
                scope, scores_by_name, reports, silent
            ):
                gray[scope] = pooled
        return _drop_covered_scopes(gray)

    def absent(self, now: float) -> frozenset[str]:
        """Return the targets that any instance reports as leaving or cold."""
        return frozenset(
            target
            for report in self.recent_reports(now).values()
            for target in (*report.leaving, *report.cold)
        )

    def leaving(self, now: float) -> tuple[str, ...]:
        """Return the targets that at least two instances report as leaving.

        One is enough if no other instance reports.
        """
        return self._corroborated(
            [r.leaving for r in self.recent_reports(now).values()]
        )

    def cold(self, now: float) -> tuple[str, ...]:
        """Return the targets that at least two instances report as cold.

        One is enough if no other instance reports.
        """
        return self._corroborated([r.cold for r in self.recent_reports(now).values()])

    def _corroborated(
        self, targets_by_report: list[tuple[str, ...]]
    ) -> tuple[str, ...]:
        needed = min(2, len(targets_by_report))
        report_counts = Counter(chain.from_iterable(targets_by_report))
        return tuple(sorted(t for t, count in report_counts.items() if count >= needed))


def scope_of(score: ScopeScore) -> Scope:
    """Return the scope that a scored entry of a message identifies."""
    return Scope(score.target, score.route, score.workspace)


def score_of(scope: Scope, score: float) -> ScopeScore:
    """Return the entry of a message for ``scope``, its score rounded."""
    return ScopeScore(scope.target, scope.route, scope.workspace, round(score, 2))


def _majority_reports_gray(
    scope: Scope,
    scores_by_name: dict[str, float],
    reports: dict[str, EvidenceReport],
    silent: frozenset[str],
) -> bool:
    finding_gray = {
        name for name, score in scores_by_name.items() if score >= GRAY_SCORE
    }
    with_evidence = {
        name for name, report in reports.items() if scope.target in report.seen
    }
    known = len(reports) + len(silent)
    min_gray = max(min(2, known), MIN_GRAY_SHARE * known)
    return (
        len(finding_gray) * 2 > len(finding_gray | with_evidence | silent)
        and len(finding_gray) >= min_gray
    )


def _reaches_threshold(scope: Scope, pooled: float) -> bool:
    return pooled >= (
        POOLED_GRAY_SCORE if scope.is_entire_target else POOLED_GRAY_SCORE_NARROW
    )


def _drop_covered_scopes(gray: dict[Scope, float]) -> dict[Scope, float]:
    targets = {scope.target for scope in gray if scope.is_entire_target}
    return {
        scope: pooled
        for scope, pooled in gray.items()
        if scope.is_entire_target or scope.target not in targets
    }
