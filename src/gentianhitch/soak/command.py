"""Run the decisions under random faults from the command line."""

from __future__ import annotations

import importlib
from collections.abc import Callable
from typing import Any

import msgspec

from gentianhitch.errors import ExitCode
from gentianhitch.errors import UsageError

MODULES_BY_MODEL: dict[str, str] = {
    "ejection": "ejection",
    "fleet": "fleet",
    "limits": "limits",
}
"""Module under ``gentianhitch.soak`` whose ``run`` takes a seed and steps."""


def soak(*, seed: int = 1, steps: int = 1000, model: str = "fleet") -> int:
    """Run random faults with invariants asserted inside; print one line of JSON.

    :param seed: the seed that decides every fault
    :param steps: the number of random actions
    :param model: which decisions to run
    """
    module_name = MODULES_BY_MODEL.get(model)
    if module_name is None:
        known = ", ".join(sorted(MODULES_BY_MODEL))
        raise UsageError(f"soak model {model!r} does not exist; known ones: {known}")
    module = importlib.import_module(f"gentianhitch.soak.{module_name}")
    run: Callable[[int, int], Any] = module.run
    print(msgspec.json.encode(run(seed, steps)).decode())
    return ExitCode.OK
