"""Short soaks of the real programs; `python -m standins.fault_soak` runs longer."""

from __future__ import annotations

import os
from pathlib import Path

import pytest

from standins.fault_soak.soak import Options
from standins.fault_soak.soak import run_soak

ROOT = Path(__file__).parents[2]
FAULTS_S = 6.0
CALM_S = 8.0


@pytest.fixture(autouse=True)
def _find_programs() -> None:
    os.environ["PYTHONPATH"] = f"{ROOT / 'src'}:{ROOT}"


class TestFaultSoak:
    def test_no_promise_is_broken(self, tmp_path: Path) -> None:
        options = Options(seed=1, proxies=4, callers=4, faults_s=FAULTS_S, pausing=0)
        broken, soak = run_soak(options, tmp_path)
        assert broken == [], "\n".join(soak.lines)


# Guards against requests that end without an answer because their caller or backend
# server pauses for over 3 s.
class TestPauses:
    def test_no_request_is_lost(self, tmp_path: Path) -> None:
        options = Options(1, 3, 2, faults_s=0.0, wave=0, pausing=24, calm_s=CALM_S)
        broken, soak = run_soak(options, tmp_path)
        assert broken == [], "\n".join(soak.lines)


# Guards against requests that wait for a lagging event loop when a stopping instance
# closes connections and its port, and end without an answer.
class TestWaves:
    def test_no_request_is_lost(self, tmp_path: Path) -> None:
        options = Options(2, 3, 2, faults_s=0.0, wave=500, pausing=0)
        broken, soak = run_soak(options, tmp_path)
        assert broken == [], "\n".join(soak.lines)
