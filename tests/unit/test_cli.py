from __future__ import annotations

from pathlib import Path

import pytest

from gentianhitch import cli
from gentianhitch.errors import ExitCode


class TestMain:
    def test_invalid_settings_report_the_json_path(
        self, tmp_path: Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        settings = tmp_path / "entry.jsonc"
        settings.write_text('{"instance": 3}')
        assert cli.main(["entry", "--settings", str(settings)]) == ExitCode.USAGE
        assert "$.instance" in capsys.readouterr().err

    def test_internal_error_has_its_own_exit_code(
        self, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
    ) -> None:
        def fail() -> int:
            """Fail."""
            raise KeyError("lost")

        monkeypatch.setitem(cli.COMMANDS, "fail", fail)
        assert cli.main(["fail"]) == ExitCode.INTERNAL
        assert "internal error" in capsys.readouterr().err

    @pytest.mark.parametrize("model", ["limits", "ejection"])
    def test_soak_runs_each_model(
        self, model: str, capsys: pytest.CaptureFixture[str]
    ) -> None:
        arguments = ["soak", "--seed", "1", "--steps", "5", "--model", model]
        assert cli.main(arguments) == ExitCode.OK
        assert capsys.readouterr().out.startswith("{")
