from __future__ import annotations

import json
from pathlib import Path

import pytest

from gentianhitch.cli import main
from gentianhitch.proxy.explain import ExplainError
from gentianhitch.proxy.explain import Logs
from gentianhitch.proxy.explain import explain_request


def make_line(event: str, at_s: float, **fields: object) -> str:
    return json.dumps({"event": event, "instance": "e-1", "t": at_s, **fields})


def make_logs(*lines: str) -> Logs:
    logs = Logs()
    for line in lines:
        logs.add(line)
    return logs


class TestExplain:
    def test_shows_the_events_and_the_cause(self) -> None:
        shown = explain_request(
            "r-1",
            make_logs(
                make_line("finished", 12.0, request="r-1", outcome="silent"),
                make_line("sent", 10.0, request="r-1", server="s-1"),
                make_line("sent", 10.0, request="r-2", server="s-9"),
                make_line("store_lost", 9.0, detail="timeout"),
                make_line("servers_declining", 9.5, service="stock", began=["s-4"]),
            ),
        )
        assert ["store_lost" in shown[0], "s-4" in shown[1]] == [True, True]
        assert "s-1" in shown[2]
        assert "did not respond in time" in shown[-1]
        assert not any("s-9" in line for line in shown)

    def test_shows_evacuations_and_how_many_servers_they_left(self) -> None:
        detail = "6 of 6 servers evacuated"
        refused = {"outcome": "no-capacity", "detail": detail}
        shown = explain_request(
            "r-1",
            make_logs(
                make_line("evacuation_changed", 9.0, evacuated=["b"], in_force=["b"]),
                make_line("finished", 10.0, request="r-1", **refused),
            ),
        )
        assert "evacuation_changed" in shown[0]
        assert shown[-1].startswith("cause: no backend server had capacity left")
        assert detail in shown[-1]

    def test_a_response_is_shown_with_its_server(self) -> None:
        line = make_line("finished", 1.0, request="r-1", outcome="500", server="s-1")
        shown = explain_request("r-1", make_logs(line))
        assert shown[-1] == "cause: backend server s-1 responded with 500"

    def test_a_request_without_a_finished_event_has_an_unknown_cause(self) -> None:
        line = make_line("sent", 1.0, request="r-1", server="s-1")
        assert (
            "there is no finished event" in explain_request("r-1", make_logs(line))[-1]
        )

    def test_a_response_that_was_not_delivered_is_the_cause(self) -> None:
        cut = {"request": "r-1", "reason": "not-delivered", "undelivered_bytes": 9}
        lines = (
            make_line("finished", 1.0, request="r-1", outcome="200", server="s-1"),
            make_line("not_delivered", 4.0, **cut),
        )
        cause = explain_request("r-1", make_logs(*lines))[-1]
        assert "the connection ended (not-delivered)" in cause
        assert "9 bytes" in cause

    def test_text_before_the_event_is_ignored(self) -> None:
        line = "  4.2 edge-1 " + make_line("finished", 1.0, request="r", outcome="200")
        assert len(make_logs(line).lines) == 1

    @pytest.mark.parametrize("text", ['{"event"', '{"event": 1}', "Traceback"])
    def test_malformed_lines_are_counted(self, text: str) -> None:
        assert make_logs(text).malformed == 1

    def test_an_unknown_request_is_an_error(self) -> None:
        with pytest.raises(ExplainError, match="r-9"):
            explain_request("r-9", make_logs())


class TestCommand:
    def test_prints_the_cause(self, tmp_path: Path, capsys) -> None:
        log = tmp_path / "e-1.log"
        log.write_text(make_line("finished", 1.0, request="r-1", outcome="over-rate"))
        assert main(["explain", "r-1", str(log)]) == 0
        assert "over its limit" in capsys.readouterr().out

    def test_a_missing_file_is_a_usage_error(self, tmp_path: Path, capsys) -> None:
        assert main(["explain", "r-1", str(tmp_path / "none")]) == 2
        assert "cannot read" in capsys.readouterr().err
