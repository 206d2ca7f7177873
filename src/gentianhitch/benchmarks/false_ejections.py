"""Count ejections of healthy targets over an hour of noise and cold starts."""

from __future__ import annotations

from typing import Any

import attrs

from gentianhitch.benchmarks.deployments import CROATIA
from gentianhitch.benchmarks.deployments import DENMARK
from gentianhitch.benchmarks.deployments import Deployment
from gentianhitch.benchmarks.result import BenchResult
from gentianhitch.benchmarks.simulated_fleet import SimulatedFleet
from gentianhitch.decisions.targets.placement import coordinators_for

HOUR_S = 3600.0
RESTART_EVERY_S = 60.0
PLANNED_LEAVE_S = 4.0
PLANNED_DOWN_S = 2.0
CRASH_DOWN_S = 0.5
COLD_S = 8.0
DOWN_MEMORY_S = 3.0
PROBE_S = 1.0
STEP_S = 0.25
LOAD = 0.05


@attrs.define
class Restarts:
    """Restart one target a minute, planned and by a crash in turn."""

    fleet: SimulatedFleet
    leaving_until: float = 0.0
    count: int = 0

    def restart(self) -> None:
        """Restart the next target and plan another."""
        fleet = self.fleet
        fleet.clock.callLater(RESTART_EVERY_S, self.restart)
        targets = list(fleet.targets_by_name)
        name = targets[self.count % len(targets)]
        planned = self.count % 2 == 0
        self.count += 1
        now = fleet.clock.seconds()
        down = now + (PLANNED_LEAVE_S if planned else 0.0)
        up = down + (PLANNED_DOWN_S if planned else CRASH_DOWN_S)
        fleet.clock.callLater(down - now, self._stop, name, up)
        self._probe(name, now, down, up)

    def _stop(self, name: str, up: float) -> None:
        target = self.fleet.targets_by_name[name]
        target.down_until = up
        target.cold_until = up + COLD_S

    def _probe(self, name: str, start: float, down: float, up: float) -> None:
        """Let the probing stewards hear the target, as long as it answers."""
        now = self.fleet.clock.seconds()
        members = [instance.member for instance in self.fleet.instances]
        probing = coordinators_for(self.fleet.service, members)[:3]
        for instance in self.fleet.instances:
            if instance.member in probing and instance.detector is not None:
                if start < down and now < down:
                    instance.detector.availability.mark_leaving(name, now)
                elif now >= up:
                    instance.detector.availability.mark_serving(name)
                    instance.detector.availability.mark_cold(name, now)
        if now < up + COLD_S:
            self.fleet.clock.callLater(PROBE_S, self._probe, name, start, down, up)


def measure(
    deployment: Deployment, service: str, load: float, seconds: float, seed: int
) -> dict[str, Any]:
    """Run a healthy service and count ejections of targets that were up."""
    fleet = SimulatedFleet(deployment, service, load, seed)
    restarts = Restarts(fleet)
    fleet.clock.callLater(RESTART_EVERY_S / 2, restarts.restart)
    ejected: set[str] = set()
    false = right = 0
    now = 0.0
    while now < seconds:
        now += STEP_S
        fleet.run_until(now)
        before, ejected = ejected, _ejected(fleet)
        for name in ejected - before:
            down = now - fleet.targets_by_name[name].down_until < DOWN_MEMORY_S
            right += down
            false += not down
    return {
        "deployment": deployment.name,
        "service": service,
        "load": load,
        "seconds": seconds,
        "requests": fleet.tally.requests,
        "refused": fleet.tally.refused,
        "restarts": restarts.count,
        "ejected_while_down": right,
        "false_ejections": false,
    }


def _ejected(fleet: SimulatedFleet) -> set[str]:
    return {
        name
        for name in fleet.targets_by_name
        if any(fleet.ejected_by(instance, name) for instance in fleet.steered)
    }


def run() -> BenchResult:
    """Count over an hour of each deployment's stock service."""
    rows = tuple(
        measure(deployment, "stock", LOAD, HOUR_S, seed=1)
        for deployment in (DENMARK, CROATIA)
    )
    false = sum(row["false_ejections"] for row in rows)
    return BenchResult("false-ejections", false, 0, "ejections", false == 0, rows)
