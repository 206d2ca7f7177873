from __future__ import annotations

from gentianhitch.benchmarks.deployments import DENMARK
from gentianhitch.benchmarks.simulated_fleet import SimulatedFleet
from gentianhitch.decisions.targets.placement import coordinators_for

BOUND_S = 3.0
START_S = 12.0
STEP_S = 0.05


class TestLeaving:
    def test_target_gets_no_requests_3_s_after_two_instances_find_it_leaving(
        self,
    ) -> None:
        """Let two probing stewards alone hear that the target leaves."""
        fleet = SimulatedFleet(DENMARK, "stock", 0.05, seed=1)
        members = [instance.member for instance in fleet.instances]
        probing = coordinators_for("stock", members)[:2]
        name = "stock-2"
        target = fleet.targets_by_name[name]
        fleet.run_until(START_S)
        now = START_S
        asked = []
        while now < START_S + 10.0:
            now += STEP_S
            fleet.run_until(now)
            for instance in fleet.instances:
                if instance.member in probing and instance.detector:
                    instance.detector.availability.mark_leaving(name, now)
            asked.append((now, target.asked))
        bound = next(count for at, count in asked if at >= START_S + BOUND_S)
        assert asked[0][1] < bound
        assert asked[-1][1] == bound
