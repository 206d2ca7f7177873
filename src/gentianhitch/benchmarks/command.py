"""Run one named measurement from the command line."""

from __future__ import annotations

import importlib
from collections.abc import Callable

import msgspec

from gentianhitch.benchmarks.result import BenchResult
from gentianhitch.errors import ExitCode
from gentianhitch.errors import UsageError

MODULES_BY_NAME: dict[str, str] = {
    "added-time": "added_time",
    "detection": "detection",
    "false-ejections": "false_ejections",
    "limits": "limits",
    "control": "control",
    "path": "path",
    "platform": "platform_calls",
    "spread": "spread",
}
"""Module under ``gentianhitch.benchmarks`` whose ``run`` makes the measurement."""


def bench(name: str) -> int:
    """Run one named measurement and print one line of JSON; exit 1 if not ok.

    :param name: the measurement to run
    """
    module_name = MODULES_BY_NAME.get(name)
    if module_name is None:
        known = ", ".join(sorted(MODULES_BY_NAME)) or "none yet"
        raise UsageError(f"benchmark {name!r} does not exist; known ones: {known}")
    module = importlib.import_module(f"gentianhitch.benchmarks.{module_name}")
    run: Callable[[], BenchResult] = module.run
    result = run()
    print(msgspec.json.encode(result).decode())
    return ExitCode.OK if result.ok else ExitCode.FAILED
