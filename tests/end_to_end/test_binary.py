"""The one file that ships serves, without this checkout's sources."""

from __future__ import annotations

import subprocess
from pathlib import Path

import pytest

from standins import demo
from standins.deployment import Deployment

ROOT = Path(__file__).parents[2]
BINARY = ROOT / "dist" / "gentianhitch"


class TestBinary:
    def test_serves_what_it_promoted(
        self, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        subprocess.run([ROOT / "scripts" / "build"], check=True, capture_output=True)
        monkeypatch.setenv("PYTHONPATH", str(ROOT))
        monkeypatch.setenv("SHIV_ROOT", str(tmp_path / "unpacked"))
        with Deployment(tmp_path, gentianhitch=(str(BINARY),)) as deployment:
            servers = demo.start(deployment, instances=1)
            pid = deployment.programs_by_name["entry-1"].pid
            demo.promote(deployment, demo.sample_document(servers))
            key = demo.give_key(deployment, demo.WORKSPACE)
            demo.wait_until_served(deployment, key)
            children = Path(f"/proc/{pid}/task/{pid}/children").read_text()
            threads = [p.name for p in Path(f"/proc/{pid}/task").iterdir()]
        assert children == ""
        # ZeroMQ moves bytes on its own two threads; all decisions run on one.
        assert len(threads) <= 3
        unpacked = list((tmp_path / "unpacked").rglob("gentianhitch/entry.py"))
        assert len(unpacked) == 1
