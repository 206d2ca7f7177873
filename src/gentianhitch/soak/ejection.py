"""Run ejections under random faults and assert the floor at every step."""

from __future__ import annotations

from random import Random

import attrs

from gentianhitch.decisions.targets.detector import Detector
from gentianhitch.errors import GentianhitchError
from gentianhitch.soak.ejection_model import EjectionModel
from gentianhitch.soak.ejection_model import MakeDetector

STEP_S = 0.5
CALM_S = 25.0


class InvariantError(GentianhitchError):
    """An invariant of ejection does not hold; the message tells which."""


@attrs.frozen
class SoakReport:
    """What one run did."""

    seed: int
    steps: int
    ejections: int
    held_by_floor: int
    most_ejected_slots: int


def check(model: EjectionModel) -> None:
    """Raise InvariantError unless floor and evidence rules hold."""
    below = model.slots_below_floor()
    if below > 0:
        raise InvariantError(
            f"at {model.now:.1f} s ejections {sorted(model.ejected())} leave"
            f" {below} slots less than the floor"
        )
    false = model.falsely_ejected()
    if false:
        raise InvariantError(
            f"at {model.now:.1f} s healthy {sorted(false)} are ejected"
        )


def run(seed: int, steps: int, make_detector: MakeDetector = Detector) -> SoakReport:
    """Run ``steps`` random events; raise InvariantError at the first breach."""
    random = Random(seed)
    model = EjectionModel(random, make_detector)
    model.advance(CALM_S, check)
    most = 0
    for _ in range(steps):
        disturb(model, random)
        model.advance(random.expovariate(1 / STEP_S), check)
        most = max(most, model.slots_of(model.ejected()))
    return SoakReport(
        seed,
        steps,
        model.count("ejection.ejected"),
        model.count("ejection.held_by_floor"),
        most,
    )


def disturb(model: EjectionModel, random: Random) -> None:
    """Do one random thing to the fleet or its targets."""
    target = random.choice(model.targets)
    first, second = random.sample(model.names, 2)
    event = random.choices(range(9), (6, 10, 1, 1, 2, 3, 5, 1, 1))[0]
    match event:
        case 0:
            model.make_gray(target)
        case 1:
            model.heal_target(random.choice(model.targets))
        case 2:
            model.leave(target)
        case 3:
            model.start_cold(target)
        case 4:
            model.lie(first, target)
        case 5:
            model.cut(first, second)
        case 6:
            model.heal_network()
        case 7:
            model.restart(first)
        case _:
            model.change_list(random)
