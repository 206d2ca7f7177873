"""Measure what agreement costs an instance, and how fast a change is known."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

from gentianhitch.benchmarks.agreeing_fleet import STEP_S
from gentianhitch.benchmarks.agreeing_fleet import AgreeingFleet
from gentianhitch.benchmarks.result import BenchResult

SIZES = (10, 40)
LOSS = 0.1
STEADY_S = 10.0
CHANGES = 5
CHANGE_INTERVAL_S = 4.0
MAX_IN_FORCE_S = 4.0
"""Bound of the time from acceptance to everywhere in force."""

LONGEST_WAIT_S = 20.0


def run(sizes: Sequence[int] = SIZES) -> BenchResult:
    """Return the longest time from acceptance to everywhere in force."""
    rows = tuple(_measure(size) for size in sizes)
    figure = max(row["worst_in_force_s"] for row in rows)
    kept = all(row["fresh_share"] == 1.0 for row in rows)
    return BenchResult(
        name="spread",
        figure=figure,
        bound=MAX_IN_FORCE_S,
        unit="s from acceptance to in force at every instance",
        ok=figure <= MAX_IN_FORCE_S and kept,
        details=rows,
    )


def _measure(size: int) -> dict[str, Any]:
    fleet = AgreeingFleet(size, loss=LOSS)
    row: dict[str, Any] = {"instances": size, "loss": LOSS} | _steady(fleet)
    known, in_force, fresh = [], [], []
    for revision in range(1, CHANGES + 1):
        times = _spread(fleet, revision)
        known.append(times[0])
        in_force.append(times[1])
        fresh.append(times[2])
    return row | {
        "worst_known_s": round(max(known), 2),
        "worst_in_force_s": round(max(in_force), 2),
        "fresh_share": sum(fresh) / len(fresh),
    }


def _steady(fleet: AgreeingFleet) -> dict[str, float]:
    """Return what one instance sends and receives in a second without changes."""
    traffic = fleet.network.traffic
    messages, sent = traffic.messages, traffic.bytes
    fleet.advance(STEADY_S)
    share = fleet.size * STEADY_S
    return {
        "messages_per_s": round(2 * (traffic.messages - messages) / share, 1),
        "bytes_per_s": round(2 * (traffic.bytes - sent) / share),
    }


def _spread(fleet: AgreeingFleet, revision: int) -> tuple[float, float, float]:
    """Return the times until all know a change and hold it in force.

    The third value is the share of checks at which every instance was fresh.
    """
    sequence = fleet.promote(revision)
    started_at, known_s = fleet.now, LONGEST_WAIT_S
    checks = fresh = 0
    while fleet.now - started_at < LONGEST_WAIT_S:
        fleet.advance(STEP_S)
        checks += 1
        fresh += fleet.all_fresh()
        held = [process.fleet.freshness for process in fleet.processes]
        if all(each.sequence >= sequence for each in held):
            known_s = min(known_s, fleet.now - started_at)
        if all(each.oldest_active(fleet.now) >= sequence for each in held):
            break
    in_force_s = fleet.now - started_at
    fleet.advance(max(0.0, CHANGE_INTERVAL_S - in_force_s))
    return known_s, in_force_s, fresh / checks
