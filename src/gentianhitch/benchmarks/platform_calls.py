"""Measure how calls at the platform grow with the fleet."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence
from typing import Any

from gentianhitch.benchmarks.agreeing_fleet import AgreeingFleet
from gentianhitch.benchmarks.agreeing_fleet import Calls
from gentianhitch.benchmarks.result import BenchResult

SIZES = (3, 10, 20, 40)
TARGET_SIZE = 3_100
MAX_READS_PER_S = 500.0
MAX_WRITES_PER_S = 100.0
IDLE_S = 20.0
RESTARTS = 3
RESTART_INTERVAL_S = 6.0


def run(sizes: Sequence[int] = SIZES) -> BenchResult:
    """Return the worse of both rates at the target size, as part of its bound."""
    rows = [_measure(size) for size in sizes]
    reads = max(_extrapolate(rows, f"{phase}_reads_per_s") for phase in _PHASES)
    writes = max(_extrapolate(rows, f"{phase}_writes_per_s") for phase in _PHASES)
    figure = max(reads / MAX_READS_PER_S, writes / MAX_WRITES_PER_S)
    target = {
        "instances": TARGET_SIZE,
        "reads_per_s": round(reads, 2),
        "writes_per_s": round(writes, 2),
    }
    all_fresh = all(row["all_fresh"] for row in rows)
    return BenchResult(
        name="platform",
        figure=round(figure, 4),
        bound=1.0,
        unit="part of 500 reads/s and 100 writes/s at 3,100 instances",
        ok=figure <= 1.0 and all_fresh,
        details=(*rows, target),
    )


def _measure(size: int) -> dict[str, Any]:
    fleet = AgreeingFleet(size)
    row: dict[str, Any] = {"instances": size}
    for phase, act in _PHASES.items():
        started_at, before = fleet.now, fleet.calls()
        act(fleet)
        calls, seconds = fleet.calls().since(before), fleet.now - started_at
        row |= _rates(phase, calls, seconds)
    row["all_fresh"] = fleet.all_fresh()
    return row


def _rates(phase: str, calls: Calls, seconds: float) -> dict[str, float]:
    return {
        f"{phase}_reads_per_s": round(calls.reads / seconds, 3),
        f"{phase}_writes_per_s": round(calls.writes / seconds, 3),
    }


def _idle(fleet: AgreeingFleet) -> None:
    fleet.advance(IDLE_S)


def _rolling_restart(fleet: AgreeingFleet) -> None:
    for number in range(RESTARTS):
        fleet.restart(number)
        fleet.advance(RESTART_INTERVAL_S)


_PHASES: dict[str, Callable[[AgreeingFleet], None]] = {
    "idle": _idle,
    "restart": _rolling_restart,
}


def _extrapolate(rows: Sequence[dict[str, Any]], column: str) -> float:
    """Return the straight line through the rows at the target size.

    A falling line is taken as level: the largest row then stands for all sizes.
    """
    points = [(row["instances"], row[column]) for row in rows]
    mean_x = sum(x for x, _ in points) / len(points)
    mean_y = sum(y for _, y in points) / len(points)
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    level = max(y for _, y in points)
    return float(max(level, mean_y + max(slope, 0.0) * (TARGET_SIZE - mean_x)))
