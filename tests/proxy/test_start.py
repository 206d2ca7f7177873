from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).parents[2]

STOP_AMID_IMPORTS = """
import os, runpy, signal, sys

class Stop:
    def find_spec(self, name, path=None, target=None):
        if name == "gentianhitch.proxy.command":
            os.kill(os.getpid(), signal.SIGTERM)

sys.meta_path.insert(0, Stop())
runpy.run_module("gentianhitch.proxy", run_name="__main__")
"""


class TestStopAmidStart:
    def test_a_stop_while_modules_load_ends_well(self) -> None:
        # Cause: seed 4 of the fault soak: a SIGTERM before the handlers were there
        # ended the process with the signal in place of exit code 0.
        environment = {**os.environ, "PYTHONPATH": f"{ROOT / 'src'}:{ROOT}"}
        ended = subprocess.run(
            [sys.executable, "-c", STOP_AMID_IMPORTS], env=environment, check=False
        )
        assert ended.returncode == 0
