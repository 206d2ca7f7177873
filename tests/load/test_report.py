from __future__ import annotations

from pathlib import Path

import pytest

from gentianhitch.load.report import render
from gentianhitch.load.tally import RunFileError
from gentianhitch.load.tally import Tally
from gentianhitch.load.tally import read_run


class TestReport:
    def test_two_runs_stand_side_by_side(self, tmp_path: Path) -> None:
        for label, seconds in (("before", 0.020), ("after", 0.010)):
            tally = Tally()
            tally.series("<north>", "stock").record("ok", seconds)
            tally.series("<north>", "stock").record("503 not-run", 0.001)
            tally.save(tmp_path / label, label, duration_s=1.0)
        runs = [read_run(tmp_path / "before"), read_run(tmp_path / "after")]
        page = render(runs)
        assert page.count("<table>") == 2
        assert "&lt;north&gt;" in page
        assert "503 not-run: 1, ok: 1" in page

    def test_other_file_is_refused_with_its_name(self, tmp_path: Path) -> None:
        path = tmp_path / "other.json"
        path.write_text("{}")
        with pytest.raises(RunFileError, match=r"other\.json"):
            read_run(path)
