from __future__ import annotations

from pathlib import Path
from typing import Any

import attrs
import pytest
from twisted.internet import reactor

from gentianhitch import cli
from gentianhitch import json_codec
from gentianhitch.errors import ExitCode
from gentianhitch.operators import calling
from gentianhitch.operators import keys
from gentianhitch.platform.memory import MemoryPlatform
from tests.builders_operators import OPERATOR_KEY
from tests.builders_operators import serve_operators
from tests.builders_platform import HEAD_KEY
from tests.builders_platform import before_next_put
from tests.builders_platform import make_document
from tests.builders_platform import make_platform
from tests.running import run_on_reactor


@attrs.define
class CommandLine:
    """Runs commands against an operators' resource in this process."""

    folder: Path
    platform: MemoryPlatform
    capsys: pytest.CaptureFixture[str]
    in_force: int = 0

    def run(self, *arguments: str) -> tuple[int, str]:
        """Return the exit code and what was printed."""
        client = serve_operators(self.platform, self.in_force)
        key_file = self.folder / "operator.key"
        key_file.write_text(OPERATOR_KEY + "\n")
        options = ["--entry", str(client.entry), "--operator-key-file", str(key_file)]
        code = cli.main([*arguments, *options, "--operator", "ana"])
        printed = self.capsys.readouterr()
        assert OPERATOR_KEY not in printed.out + printed.err
        return code, printed.out + printed.err

    def promote_first(self) -> str:
        path = self.folder / "document.jsonc"
        path.write_bytes(json_codec.encode(make_document()))
        trial_id = self.run("trial", str(path))[1].splitlines()[-1].split()[1]
        assert self.run("promote", trial_id) == (
            ExitCode.OK,
            "accepted: revision 1, sequence 1\n",
        )
        return trial_id


@pytest.fixture
def command_line(
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
) -> CommandLine:
    async def wait(start: Any) -> Any:
        return await start(reactor)

    monkeypatch.setattr(
        calling, "run_until_done", lambda start: run_on_reactor(wait(start))
    )
    return CommandLine(tmp_path, make_platform(), capsys)


class TestCommands:
    def test_promoting_another_trial_exits_with_lost_race(
        self, command_line: CommandLine
    ) -> None:
        command_line.promote_first()
        code, printed = command_line.run("promote", "another")
        assert code == ExitCode.LOST_RACE
        assert "lost the race to ana" in printed

    def test_key_is_printed_once_and_stored_as_hash(
        self, command_line: CommandLine
    ) -> None:
        command_line.promote_first()
        code, printed = command_line.run("keys", "give", "nord")
        key = printed.splitlines()[-1]
        entries = command_line.platform.shared.entries_by_key.values()
        stored = b"".join(entry.value for entry in entries)
        assert code == ExitCode.OK
        assert key.encode() not in stored
        assert keys.hash_key(key).encode() in stored
        key_id = keys.key_id(keys.hash_key(key))
        assert key_id in command_line.run("keys", "list")[1]
        assert command_line.run("keys", "withdraw", "nord", key_id)[0] == ExitCode.OK
        assert key_id not in command_line.run("keys", "list")[1]

    def test_trial_prints_the_differences(self, command_line: CommandLine) -> None:
        path = command_line.folder / "document.jsonc"
        path.write_bytes(json_codec.encode(make_document()))
        printed = command_line.run("trial", str(path))[1]
        assert "  workspace 'nord' is added\n" in printed

    @pytest.mark.parametrize(
        ("in_force", "expected"), [(1, "is in"), (0, "is not yet in")]
    )
    def test_promote_waits_until_in_force(
        self, command_line: CommandLine, in_force: int, expected: str
    ) -> None:
        trial_id = command_line.promote_first()
        command_line.in_force = in_force
        code, printed = command_line.run("promote", trial_id, "--wait-s", "0.3")
        assert code == ExitCode.OK
        assert f"sequence 1 {expected} force" in printed

    def test_unknown_outcome_is_reported_after_last_attempt(
        self, command_line: CommandLine
    ) -> None:
        trial_id = command_line.promote_first()
        platform = command_line.platform

        def cut() -> None:
            platform.replies_lost = True

        before_next_put(platform.shared, HEAD_KEY, cut)
        code, printed = command_line.run("keys", "give", "nord")
        assert code == ExitCode.OUTCOME_UNKNOWN
        assert "may have been given" in printed
        platform.replies_lost = False
        assert "replaced since" in command_line.run("promote", trial_id)[1]

    @pytest.mark.parametrize(
        ("arguments", "message"),
        [
            (["trial", "missing.jsonc"], "cannot read 'missing.jsonc'"),
            (["keys", "give", "nobody"], "nothing was promoted yet"),
        ],
    )
    def test_invalid_input_exits_with_usage(
        self, command_line: CommandLine, arguments: list[str], message: str
    ) -> None:
        code, printed = command_line.run(*arguments)
        assert code == ExitCode.USAGE
        assert message in printed
