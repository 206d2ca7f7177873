"""Run the agreement between instances under random faults."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from random import Random
from typing import Any

import attrs

from gentianhitch.soak.fleet_invariants import BrokenInvariantError
from gentianhitch.soak.fleet_model import STEP_S
from gentianhitch.soak.fleet_model import FleetModel

LONGEST_PAUSE_S = 180.0

Action = Callable[[FleetModel, Random], Any]

ACTIONS_BY_NAME: dict[str, tuple[int, Action]] = {
    "advance": (30, lambda m, r: m.advance(r.uniform(0.1, 3.0))),
    "promote": (20, lambda m, r: m.promote()),
    "restart": (8, lambda m, r: m.start(r.choice(m.names))),
    "kill": (3, lambda m, r: m.kill(r.choice(m.names))),
    "pause": (6, lambda m, r: m.pause(r.choice(m.names))),
    "resume": (8, lambda m, r: m.resume(r.choice(m.names))),
    "cut": (12, lambda m, r: m.cut_one_way(r.choice(m.names), r.choice(m.names))),
    "partition": (8, lambda m, r: m.partition()),
    "slow_down": (3, lambda m, r: m.slow_down()),
    "replace_while_spreading": (5, lambda m, r: m.replace_while_spreading()),
    "heal": (4, lambda m, r: m.heal()),
    "isolate": (4, lambda m, r: m.isolate(r.choice(m.names))),
    "cut_platform": (
        6,
        lambda m, r: m.cut_platform(r.choice(m.names), one_way=r.random() < 0.5),
    ),
    "store_outage": (3, lambda m, r: setattr(m.store, "outage", True)),
    "lost_replies": (3, lambda m, r: setattr(m.store, "lost_replies", 2)),
    "drop_from_list": (2, lambda m, r: m.drop_from_list(r.choice(m.names))),
    "long_pause": (1, lambda m, r: m.advance(r.uniform(10.0, LONGEST_PAUSE_S))),
    "settle": (2, lambda m, r: m.settle()),
    "outage": (1, lambda m, r: m.outage()),
}


@attrs.frozen
class FleetReport:
    """What a run without a broken invariant has done."""

    seed: int
    steps: int
    seconds: float
    sequence: int
    actions_by_name: dict[str, int]
    checks_by_name: dict[str, int]


def run(
    seed: int, steps: int, build: Callable[[int], FleetModel] = FleetModel
) -> FleetReport:
    """Do ``steps`` random actions; raise BrokenInvariantError."""
    model = build(seed)
    counts_by_action: Counter[str] = Counter()
    names = list(ACTIONS_BY_NAME)
    weights = [weight for weight, _ in ACTIONS_BY_NAME.values()]
    for step in range(steps):
        name = model.random.choices(names, weights)[0]
        counts_by_action[name] += 1
        try:
            ACTIONS_BY_NAME[name][1](model, model.random)
            model.advance(model.random.uniform(STEP_S, 0.5))
        except BrokenInvariantError as error:
            where = f"seed {seed}, step {step} ({name}), {model.now:.2f} s"
            raise BrokenInvariantError(f"{where}: {error}") from error
    sequence = max(p.fleet.freshness.sequence for p in model.processes)
    return FleetReport(
        seed,
        steps,
        round(model.now, 1),
        sequence,
        dict(counts_by_action),
        dict(model.invariants.checks_by_name),
    )
