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
        """Only two of the probing coordinators find the target leaving.

        Their reports must reach all instances through the leader's grants in time;
        otherwise the others would send requests to a target that is shutting down.
        """
        fleet = SimulatedFleet(DENMARK, "stock", 0.05, seed=1)
        members = [instance.member for instance in fleet.instances]
        probing = coordinators_for("stock", members)[:2]
        name = "stock-2"
        target = fleet.targets_by_name[name]
        fleet.run_until(START_S)
        now = START_S
        request_counts = []
        while now < START_S + 10.0:
            now += STEP_S
            fleet.run_until(now)
            for instance in fleet.instances:
                if instance.member in probing and instance.detector:
                    instance.detector.availability.mark_leaving(name, now)
            request_counts.append((now, target.asked))
        count_at_bound = next(
            count for at, count in request_counts if at >= START_S + BOUND_S
        )
        assert request_counts[0][1] < count_at_bound
        assert request_counts[-1][1] == count_at_bound
