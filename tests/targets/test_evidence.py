from __future__ import annotations

from random import Random

import attrs

from gentianhitch.decisions.interfaces import Outcome
from gentianhitch.decisions.targets.evidence import MAX_GROUPS
from gentianhitch.decisions.targets.evidence import ServiceEvidence
from gentianhitch.decisions.targets.messages import EvidenceReport
from gentianhitch.decisions.targets.messages import ScopeScore
from gentianhitch.decisions.targets.outstanding import ActiveRequest
from gentianhitch.decisions.targets.reports import ReportPool
from gentianhitch.decisions.targets.scopes import Scope
from gentianhitch.decisions.targets.service_health import POOR_SCORE
from gentianhitch.instances.identity import InstanceId
from tests.builders_targets import READ
from tests.builders_targets import attempt

TARGETS = [f"t{index}" for index in range(5)]


class TestServiceEvidence:
    def setup_method(self) -> None:
        self.evidence = ServiceEvidence()
        self.random = Random(1)
        self.now = 0.0

    def serve(self, seconds: float, slow: str = "", factor: float = 1.0) -> None:
        end = self.now + seconds
        while self.now < end:
            for target in TARGETS:
                self.now += 0.02
                latency_s = 0.02 * self.random.lognormvariate(0.0, 0.5)
                latency_s *= factor if target in (slow, "") or slow == "all" else 1
                result = attempt(target, latency_s=latency_s)
                self.evidence.record(result, self.now, cold=False, overdue_count=0)

    def score(self, target: str) -> float:
        return self.evidence.score(Scope(target), self.now)

    def test_only_the_slow_target_scores_poor(self) -> None:
        self.serve(10.0)
        self.serve(2.0, slow="t1", factor=3.0)
        assert self.score("t1") > POOR_SCORE
        assert all(
            self.score(target) < POOR_SCORE for target in TARGETS if target != "t1"
        )

    def test_no_target_scores_poor_when_all_are_slow(self) -> None:
        self.serve(10.0)
        self.serve(20.0, slow="all", factor=3.0)
        assert all(self.score(target) < POOR_SCORE for target in TARGETS)

    def test_sheds_are_not_evidence(self) -> None:
        self.serve(5.0)
        for _ in range(50):
            shed = attempt("t1", Outcome.SHED)
            self.evidence.record(shed, self.now, cold=False, overdue_count=0)
        assert self.score("t1") < POOR_SCORE

    def test_request_without_response_counts_while_it_runs(self) -> None:
        self.serve(5.0)
        running = ActiveRequest(self.now, READ, "w")
        later = self.now + 0.2
        assert self.evidence.record_overdue("t1", running, later)
        running.overdue_count += 1
        assert not self.evidence.record_overdue("t1", running, self.now + 0.1)
        assert self.evidence.score(Scope("t1"), later) > 0

    def test_memory_is_bounded(self) -> None:
        for index in range(MAX_GROUPS * 2):
            workspace_attempt = attrs.evolve(attempt("t0"), workspace=f"w{index}")
            self.evidence.record(workspace_attempt, 0.0, cold=False, overdue_count=0)
        assert len(self.evidence._cusums_by_group) == MAX_GROUPS
        assert Scope("t0").comparison_group in self.evidence._cusums_by_group


class TestReportPool:
    STEERED = frozenset(f"i{index}" for index in range(10))

    def pool(self, reporting_gray: int, with_evidence: int) -> ReportPool:
        pool = ReportPool()
        for index in range(10):
            scores = (ScopeScore("t0", "", "", 8.0),) if index < reporting_gray else ()
            seen = ("t0",) if index < with_evidence else ()
            report = EvidenceReport("stock", 1, seen, scores, (), ())
            pool.add(InstanceId(f"i{index}", 1), report, 0.0)
        return pool

    def test_half_of_the_instances_cannot_report_a_target_gray(self) -> None:
        assert self.pool(5, 10).gray(self.STEERED, 1.0) == {}
        assert Scope("t0") in self.pool(6, 10).gray(self.STEERED, 1.0)

    def test_instances_without_recent_evidence_are_not_counted(self) -> None:
        assert Scope("t0") in self.pool(4, 6).gray(self.STEERED, 1.0)

    def test_instances_without_report_count_as_finding_the_target_healthy(self) -> None:
        pool = self.pool(4, 6)
        assert pool.gray(self.STEERED | {"i10", "i11"}, 1.0) == {}

    def test_reordered_and_expired_reports_are_ignored(self) -> None:
        pool = self.pool(6, 10)
        reordered = EvidenceReport("stock", 0, ("t0",), (), (), ())
        assert not pool.add(InstanceId("i0", 1), reordered, 1.0)
        assert pool.gray(self.STEERED, 10.0) == {}
