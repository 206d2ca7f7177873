"""Measure how soon gray targets are ejected, at both deployments' sizes."""

from __future__ import annotations

from typing import Any

import attrs

from gentianhitch.benchmarks.deployments import CROATIA
from gentianhitch.benchmarks.deployments import DENMARK
from gentianhitch.benchmarks.deployments import Deployment
from gentianhitch.benchmarks.plain_judges import PLAIN_WAYS
from gentianhitch.benchmarks.result import BenchResult
from gentianhitch.benchmarks.simulated_fleet import Instance
from gentianhitch.benchmarks.simulated_fleet import MakeJudge
from gentianhitch.benchmarks.simulated_fleet import SimulatedFleet
from gentianhitch.benchmarks.simulated_fleet import Tally
from gentianhitch.benchmarks.simulated_targets import Fault
from gentianhitch.decisions.interfaces import Outcome

HARD_GOAL_S = 2.0
SOFT_GOAL_S = 5.0
WARM_UP_S = 12.0
PATIENCE_S = 20.0
FAULT_S = 4.0
RETURN_PATIENCE_S = 60.0
STEP_S = 0.05
LOW_LOAD = 0.05
HIGH_LOAD = 0.8
CUT_OFF_INSTANCES = 2
NEVER = -1.0
SERVICE = "stock"
SEED = 1
FLEET = "fleet"

HARD = (
    Fault("slow x10", factor=10.0),
    Fault("errors 100%", failing=1.0),
    Fault("wrong", failing=1.0, outcome=Outcome.WRONG),
    Fault("silent", failing=1.0, outcome=Outcome.SILENT),
    Fault("flapping", failing=1.0, flapping=True),
)
SOFT = (
    Fault("slow x3", factor=3.0),
    Fault("errors 20%", failing=0.2),
)
PARTIAL = "some instances only"


@attrs.frozen
class Case:
    """One deployment's service under one load and one fault."""

    deployment: Deployment
    service: str
    load: float
    fault: Fault
    goal_s: float


@attrs.frozen
class Measured:
    """Times in seconds, NEVER if it did not happen; ``hurt`` is a part of 1."""

    detection_s: float
    hurt: float
    hurt_requests: int
    false_ejections: int

    def row(self, case: Case, way: str) -> dict[str, Any]:
        """Return a row of the table."""
        return {
            "deployment": case.deployment.name,
            "service": case.service,
            "load": case.load,
            "fault": case.fault.name,
            "way": way,
            "detection_s": self.detection_s,
            "goal_s": case.goal_s,
            "hurt_until_detection": self.hurt,
            "hurt_requests": self.hurt_requests,
            "false_ejections": self.false_ejections,
        }


def cases(deployment: Deployment, service: str, load: float) -> list[Case]:
    """List every fault for one service under one load."""
    faults = [(fault, HARD_GOAL_S) for fault in HARD]
    faults += [(fault, SOFT_GOAL_S) for fault in SOFT]
    faults.append((Fault("one route", 10.0, route=f"/{service}/search"), SOFT_GOAL_S))
    faults.append((Fault("one workspace", 10.0, workspace="workspace-0"), SOFT_GOAL_S))
    faults.append((Fault(PARTIAL, failing=1.0, outcome=Outcome.NOT_SENT), HARD_GOAL_S))
    return [Case(deployment, service, load, fault, goal) for fault, goal in faults]


def measure(case: Case, seed: int, make_judge: MakeJudge | None = None) -> Measured:
    """Run one case until every instance that meets the fault has answered it."""
    fleet = SimulatedFleet(case.deployment, case.service, case.load, seed, make_judge)
    fleet.run_until(WARM_UP_S)
    false_before = _ejected_targets(fleet)
    victim = fleet.targets_by_name[f"{case.service}-1"]
    fault = attrs.evolve(case.fault, start=WARM_UP_S)
    affected = fleet.steered
    if fault.name == PARTIAL:
        affected = fleet.steered[:CUT_OFF_INSTANCES]
        names = frozenset(instance.member.id.name for instance in affected)
        fault = attrs.evolve(fault, instances=names)
    victim.fault = fault
    fleet.tally = Tally()
    name = victim.declared.name
    delays_s = _watch(fleet, affected, name, partial=fault.name == PARTIAL)
    false = len((false_before | _ejected_targets(fleet)) - {name})
    tally = fleet.tally
    return Measured(
        round(max(delays_s), 2) if len(delays_s) == len(affected) else NEVER,
        round(tally.hurt / max(tally.requests, 1), 4),
        tally.hurt,
        false,
    )


def _watch(
    fleet: SimulatedFleet, affected: list[Instance], target: str, *, partial: bool
) -> list[float]:
    """Return how long each affected instance took to leave ``target`` out.

    A path that fails for some instances only is timed from the first request that
    an instance lost there: nothing can be known of it before.
    """
    delays_by_instance: dict[str, float] = {}
    now = WARM_UP_S
    while now < WARM_UP_S + PATIENCE_S and len(delays_by_instance) < len(affected):
        now += STEP_S
        fleet.run_until(now)
        for instance in affected:
            name = instance.member.id.name
            if name in delays_by_instance:
                continue
            started = WARM_UP_S
            avoided = fleet.ejected_by(instance, target)
            if partial:
                started = fleet.tally.first_hurt_by_instance.get(name, now)
                avoided = avoided or fleet.avoided_by(instance, target)
            if avoided:
                delays_by_instance[name] = now - started
    return list(delays_by_instance.values())


def measure_return(case: Case, seed: int) -> float:
    """Return how long a target that recovers waits for its full load."""
    fleet = SimulatedFleet(case.deployment, case.service, case.load, seed)
    end = WARM_UP_S + FAULT_S
    fleet.run_until(WARM_UP_S)
    name = f"{case.service}-1"
    fault = attrs.evolve(case.fault, start=WARM_UP_S, end=end)
    fleet.targets_by_name[name].fault = fault
    now = end
    fleet.run_until(now)
    while now < end + RETURN_PATIENCE_S and fleet.is_held_back(name):
        now += STEP_S
        fleet.run_until(now)
    return round(now - end, 2)


def _ejected_targets(fleet: SimulatedFleet) -> set[str]:
    return {
        target
        for target in fleet.targets_by_name
        if any(fleet.ejected_by(instance, target) for instance in fleet.steered)
    }


def run() -> BenchResult:
    """Measure every fault by the fleet's way and by plain ways."""
    rows = [
        row
        for deployment in (DENMARK, CROATIA)
        for load in (LOW_LOAD, HIGH_LOAD)
        for case in cases(deployment, SERVICE, load)
        for row in _rows(case)
    ]
    ours = [row for row in rows if row["way"] == FLEET]
    hard = [row["detection_s"] for row in ours if row["goal_s"] == HARD_GOAL_S]
    ok = all(
        NEVER < row["detection_s"] <= row["goal_s"] and not row["false_ejections"]
        for row in ours
    )
    return BenchResult("detection", max(hard), HARD_GOAL_S, "s", ok, tuple(rows))


def _rows(case: Case) -> list[dict[str, Any]]:
    row = measure(case, SEED).row(case, FLEET)
    if case.fault in HARD:
        row["return_s"] = measure_return(case, SEED)
    plain = [measure(case, SEED, way).row(case, way.__name__) for way in PLAIN_WAYS]
    return [row, *plain]
