from __future__ import annotations

import pytest

from gentianhitch.benchmarks.deployments import CROATIA
from gentianhitch.benchmarks.deployments import DENMARK
from gentianhitch.benchmarks.detection import LOW_LOAD
from gentianhitch.benchmarks.detection import NEVER
from gentianhitch.benchmarks.detection import cases
from gentianhitch.benchmarks.detection import measure
from gentianhitch.benchmarks.false_ejections import measure as measure_healthy
from gentianhitch.benchmarks.simulated_fleet import SimulatedFleet

CASES = [
    case
    for case in cases(DENMARK, "stock", LOW_LOAD)
    if case.fault.name not in ("one route", "one workspace")
]


class TestDetection:
    @pytest.mark.parametrize("case", CASES, ids=lambda case: case.fault.name)
    def test_fault_is_detected_within_its_goal(self, case) -> None:
        measured = measure(case, seed=1)
        assert NEVER < measured.detection_s <= case.goal_s
        assert measured.false_ejections == 0

    def test_cold_starts_are_not_ejected(self) -> None:
        row = measure_healthy(CROATIA, "stock", LOW_LOAD, 110.0, seed=1)
        assert row["restarts"] == 2
        assert row["false_ejections"] == 0


class TestSharing:
    def test_all_slots_are_used_with_few_sheds(self) -> None:
        fleet = SimulatedFleet(CROATIA, "stock", 0.8, seed=1)
        fleet.run_until(4.0)
        tally = fleet.tally
        most = [target.most_running for target in fleet.targets_by_name.values()]
        assert most == [4] * 6
        assert tally.refused == 0
        assert tally.shed < 0.15 * tally.requests
