"""A short soak of the real programs; `python -m standins.fault_soak` runs longer."""

from __future__ import annotations

import os
from pathlib import Path

from standins.fault_soak.soak import Options
from standins.fault_soak.soak import run_soak

ROOT = Path(__file__).parents[2]
FAULTS_S = 6.0


class TestFaultSoak:
    def test_no_promise_is_broken(self, tmp_path: Path) -> None:
        os.environ["PYTHONPATH"] = f"{ROOT / 'src'}:{ROOT}"
        options = Options(seed=1, proxies=4, callers=4, faults_s=FAULTS_S)
        broken, soak = run_soak(options, tmp_path)
        assert broken == [], "\n".join(soak.lines)
