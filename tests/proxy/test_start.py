from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
from pathlib import Path

from gentianhitch.errors import ExitCode
from gentianhitch.platform.wire_names import SETTINGS_VARIABLE
from tests.builders_platform import make_raw_node_settings

ROOT = Path(__file__).parents[2]

SIGNAL_DURING_IMPORTS = """
import os, runpy, signal, sys, weakref

class Target:
    pass

def send(_=None):
    os.kill(os.getpid(), int(sys.argv[1]))

class Signal:
    def find_spec(self, name, path=None, target=None):
        if name == "gentianhitch.proxy.command" and sys.argv[2] == "import":
            send()
        elif name == "gentianhitch.proxy.command":
            watched = Target()
            reference = weakref.ref(watched, send)
            del watched

sys.meta_path.insert(0, Signal())
runpy.run_module("gentianhitch.proxy", run_name="__main__")
"""


def start_and_signal(number: signal.Signals, where: str = "import") -> int:
    environment = {
        **os.environ,
        "PYTHONPATH": f"{ROOT / 'src'}:{ROOT}",
        SETTINGS_VARIABLE: "/nowhere/node.json",
    }
    command = [sys.executable, "-c", SIGNAL_DURING_IMPORTS, str(int(number)), where]
    return subprocess.run(command, env=environment, check=False).returncode


class TestPorts:
    def test_a_port_in_use_ends_the_start(self, tmp_path: Path) -> None:
        # Guards against a process that logs the error and keeps running without its
        # listeners.
        with socket.create_server(("127.0.0.1", 0)) as taken:
            raw = make_raw_node_settings("127.0.0.1")
            free = "127.0.0.1:0"
            raw["network"] = {
                "listenAddresses": {
                    "frontend": free,
                    "ready": free,
                    "directory": f"127.0.0.1:{taken.getsockname()[1]}",
                },
                "internalPortRange": [0, 0],
            }
            settings = tmp_path / "node.json"
            settings.write_text(json.dumps(raw))
            ended = subprocess.run(
                [sys.executable, "-m", "gentianhitch.proxy"],
                env={
                    **os.environ,
                    "PYTHONPATH": f"{ROOT / 'src'}:{ROOT}",
                    SETTINGS_VARIABLE: str(settings),
                },
                stdout=subprocess.PIPE,
                check=False,
            )
        assert ended.returncode == ExitCode.FAILED
        assert b"cannot_listen" in ended.stdout


class TestSignalsDuringStart:
    def test_a_stop_during_imports_exits_with_code_0(self) -> None:
        # Guards against a SIGTERM before the handlers are installed, which ends the
        # process by the signal instead of exit code 0 (seed 4 of the fault soak).
        assert start_and_signal(signal.SIGTERM) == ExitCode.OK

    def test_a_stop_during_a_weakref_callback_is_not_lost(self) -> None:
        # Guards against an exit by SystemExit, which such a callback swallows. Found in
        # the search for why a proxy of the soak (seed 329) did not stop; not shown to
        # be its cause.
        assert start_and_signal(signal.SIGTERM, "callback") == ExitCode.OK

    def test_changed_settings_do_not_end_a_start(self) -> None:
        # Guards against a SIGHUP that ends the process during imports; the settings
        # are read after them anyway.
        assert start_and_signal(signal.SIGHUP) == ExitCode.USAGE
