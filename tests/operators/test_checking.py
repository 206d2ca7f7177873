from __future__ import annotations

from pathlib import Path

import pytest

from gentianhitch import cli
from gentianhitch.addresses import Address
from gentianhitch.errors import ExitCode
from gentianhitch.operators.checking import check_document
from gentianhitch.operators.document import BackendServer
from gentianhitch.operators.document import Route
from gentianhitch.operators.document import Service
from gentianhitch.operators.document import Workspace
from tests.builders_platform import make_document

SAMPLES = Path(__file__).parents[2] / "samples"
ADDRESS = Address("127.0.0.1", 9000)
HASH = "a" * 64


class TestCheckDocument:
    def test_valid_document_has_no_faults(self) -> None:
        assert check_document(make_document()) == ()

    @pytest.mark.parametrize(
        ("changes", "expected"),
        [
            ({"workspaces": (Workspace("a", -1, 1),)}, "workspace 'a' has rate -1"),
            ({"workspaces": (Workspace("a", float("nan"), 1),)}, "has rate nan"),
            ({"workspaces": (Workspace("a", 1, -1),)}, "has burst -1"),
            ({"workspaces": (Workspace("a", 1, 0.5),)}, "below one request"),
            ({"workspaces": (Workspace("a", 1, 1, ("AB",)),)}, "a key hash that"),
            ({"workspaces": (Workspace("a", 1, 1, (HASH,) * 2),)}, "hash twice"),
            ({"workspaces": (Workspace("", 1, 1),)}, "workspace '' has a name"),
            ({"workspaces": (Workspace("a", 1, 1),) * 2}, "'a' is declared twice"),
            (
                {
                    "workspaces": (
                        Workspace("a", 1, 1, (HASH,)),
                        Workspace("b", 1, 1, (HASH,)),
                    )
                },
                "workspace 'b' has a key of workspace 'a'",
            ),
            ({"services": (Service("stock", 7, 1),)}, "above its 6 declared slots"),
            ({"services": (Service("stock", -1, 1),)}, "has floor_slots -1"),
            ({"services": (Service("stock", 1, 0),)}, "has deadline_ms 0"),
            (
                {"routes": (Route("POST", "/orders", "x", False),)},
                "route 'POST /orders' names service 'x', which does not exist",
            ),
            ({"routes": (Route("GET", "stock", "stock", True),)}, "start with '/'"),
            ({"routes": (Route("GET", "/a*b", "stock", True),)}, "characters"),
            ({"routes": (Route("GET", "/a", "stock", False),)}, "GET always is"),
            (
                {"routes": (Route("GET", "/.gentianhitch/*", "stock", True),)},
                "the system uses itself",
            ),
            (
                {"backend_servers": (BackendServer("s", ADDRESS, "", "y", 0, 0),)},
                "backend server 's' names service 'y'",
            ),
        ],
    )
    def test_fault_is_reported_with_its_record(
        self, changes: dict[str, object], expected: str
    ) -> None:
        faults = [str(fault) for fault in check_document(make_document(**changes))]
        assert any(expected in fault for fault in faults)

    def test_all_faults_are_collected(self) -> None:
        server = BackendServer("s", ADDRESS, "", "y", 0, 0)
        other = BackendServer("t", ADDRESS, "d", "stock", 6, 1)
        faults = check_document(make_document(backend_servers=(server, other)))
        assert len(faults) == 5


class TestCheckCommand:
    @pytest.mark.parametrize("name", ["denmark", "croatia"])
    def test_samples_are_valid(self, name: str) -> None:
        assert cli.main(["check", str(SAMPLES / f"{name}.jsonc")]) == ExitCode.OK

    def test_faulty_document_exits_with_usage(
        self, tmp_path: Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        text = (SAMPLES / "denmark.jsonc").read_text()
        path = tmp_path / "faulty.jsonc"
        path.write_text(text.replace('"rate": 400', '"rate": -400'))
        assert cli.main(["check", str(path)]) == ExitCode.USAGE
        assert "workspace 'contractor-1' has rate -400" in capsys.readouterr().err
