"""Start one deployment on 127.0.0.1: stand-ins and entry instances as processes."""

from __future__ import annotations

import hashlib
import json
import os
import secrets
import select
import signal
import subprocess
import sys
import tempfile
import time
import urllib.request
from pathlib import Path
from typing import Any

import attrs

READY_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 60.0
POLL_S = 0.05
HTTP_TIMEOUT_S = 10.0
ENVIRONMENT = "demo"


class DeploymentError(Exception):
    """A process of the deployment did not do what was expected."""


@attrs.define
class Program:
    """One child process that prints a line of JSON when it is ready."""

    name: str
    process: subprocess.Popen[str]
    ready: dict[str, Any]

    @property
    def pid(self) -> int:
        """Return the process id."""
        return self.process.pid

    def stop(self, sent: signal.Signals = signal.SIGTERM) -> int:
        """Send a signal and wait for the exit code."""
        if self.process.poll() is None:
            self.process.send_signal(sent)
        return self.process.wait(STOP_TIMEOUT_S)


@attrs.define
class Deployment:
    """Hold the processes of one deployment; use it as a context manager."""

    folder: Path
    log_level: str = "INFO"
    operator_key: str = attrs.field(factory=lambda: secrets.token_urlsafe(24))
    programs_by_name: dict[str, Program] = attrs.field(factory=dict)
    entry_names: list[str] = attrs.field(factory=list)

    def __enter__(self) -> Deployment:
        self.operator_key_file.write_text(self.operator_key)
        self.operator_key_file.chmod(0o600)
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.stop()

    @property
    def operator_key_file(self) -> Path:
        """Return the file that operators' commands read their key from."""
        return self.folder / "operator.key"

    @property
    def platform(self) -> str:
        """Return the address of the stand-in platform."""
        return str(self.programs_by_name["platform"].ready["address"])

    @property
    def entries(self) -> list[str]:
        """Return the callers' addresses of the running entry instances."""
        return [
            str(self.programs_by_name[name].ready["callers"])
            for name in self.entry_names
        ]

    def start_platform(self) -> None:
        """Start the stand-in platform."""
        self._start("platform", ["-m", "standins.platform", "--port", "0"])

    def start_backend_servers(
        self, name: str, count: int, *options: str
    ) -> list[dict[str, Any]]:
        """Start one process with ``count`` stand-in backend servers."""
        arguments = ["-m", "standins.backend_server", "--port", "0", "--name", name]
        arguments += ["--count", str(count), *options]
        program = self._start(name, arguments)
        servers: list[dict[str, Any]] = program.ready["servers"]
        return servers

    def start_entry(self, name: str, failure_domain: str, **extra: Any) -> Program:
        """Start one entry instance and add it to the platform's list."""
        settings = {
            "instance": name,
            "failure_domain": failure_domain,
            "environment": ENVIRONMENT,
            "callers": "127.0.0.1:0",
            "peers": "127.0.0.1:0",
            "platform": [self.platform],
            "seeds": self._seeds(),
            "operator_key_hashes": [
                hashlib.sha256(self.operator_key.encode()).hexdigest()
            ],
            "logs": {"level": self.log_level},
            **extra,
        }
        path = self.folder / f"{name}.jsonc"
        path.write_text(json.dumps(settings, indent=2))
        arguments = ["-m", "gentianhitch", "entry", "--settings", str(path)]
        program = self._start(name, arguments)
        if name not in self.entry_names:
            self.entry_names.append(name)
        self.list_instance(name, failure_domain, "live")
        return program

    def list_instance(self, name: str, failure_domain: str, state: str) -> None:
        """Write one entry instance into the platform's list."""
        ready = self.programs_by_name[name].ready
        body = {
            "failure_domain": failure_domain,
            "callers": ready["callers"],
            "peers": ready["peers"],
            "state": state,
        }
        call("PUT", self.platform, f"/control/instances/{name}", body)

    def unlist_instance(self, name: str) -> None:
        """Take one entry instance out of the platform's list."""
        call("DELETE", self.platform, f"/control/instances/{name}")

    def stop_entry(self, name: str, sent: signal.Signals = signal.SIGTERM) -> int:
        """Stop one entry instance and forget it; return its exit code."""
        self.entry_names.remove(name)
        return self.programs_by_name.pop(name).stop(sent)

    def command(
        self, *arguments: str, at: str | None = None
    ) -> subprocess.CompletedProcess[str]:
        """Run one operators' command against an entry instance, else the first."""
        name = at or self.entry_names[0]
        entry = str(self.programs_by_name[name].ready["callers"])
        return subprocess.run(
            [
                *(sys.executable, "-m", "gentianhitch"),
                *arguments,
                *("--entry", entry),
                *("--operator-key-file", str(self.operator_key_file)),
            ],
            capture_output=True,
            text=True,
            timeout=READY_TIMEOUT_S,
            check=False,
        )

    def stop(self) -> None:
        """Stop every process: entry instances first, then the stand-ins."""
        for name in list(self.entry_names):
            self.programs_by_name[name].process.send_signal(signal.SIGTERM)
        for name in list(self.entry_names):
            self._stop_or_kill(self.programs_by_name.pop(name))
        self.entry_names.clear()
        for program in self.programs_by_name.values():
            self._stop_or_kill(program)
        self.programs_by_name.clear()

    def _stop_or_kill(self, program: Program) -> None:
        try:
            program.stop()
        except subprocess.TimeoutExpired:
            program.process.kill()
            program.process.wait(STOP_TIMEOUT_S)

    def _seeds(self) -> list[str]:
        return [
            str(self.programs_by_name[name].ready["peers"]) for name in self.entry_names
        ]

    def _start(self, name: str, arguments: list[str]) -> Program:
        log = (self.folder / f"{name}.log").open("a")
        process = subprocess.Popen(
            [sys.executable, *arguments],
            stdout=subprocess.PIPE,
            stderr=log,
            stdin=subprocess.DEVNULL,
            text=True,
            env=os.environ.copy(),
            start_new_session=True,
        )
        log.close()
        ready = _read_ready(name, process, self.folder)
        program = Program(name, process, ready)
        self.programs_by_name[name] = program
        return program


def _read_ready(
    name: str, process: subprocess.Popen[str], folder: Path
) -> dict[str, Any]:
    assert process.stdout is not None
    readable, _, _ = select.select([process.stdout], [], [], READY_TIMEOUT_S)
    line = process.stdout.readline() if readable else ""
    if not line:
        process.kill()
        process.wait()
        log = (folder / f"{name}.log").read_text()[-2000:]
        raise DeploymentError(f"{name} did not start; its log ends:\n{log}")
    ready: dict[str, Any] = json.loads(line)
    return ready


def call(method: str, address: str, path: str, body: object = None) -> Any:
    """Call a control endpoint and return its JSON answer."""
    request = urllib.request.Request(
        f"http://{address}{path}",
        method=method,
        data=None if body is None else json.dumps(body).encode(),
        headers={"Content-Type": "application/json"},
    )
    with urllib.request.urlopen(request, timeout=HTTP_TIMEOUT_S) as answer:
        return json.loads(answer.read() or b"null")


def wait_until(condition: Any, what: str, timeout_s: float = READY_TIMEOUT_S) -> None:
    """Poll ``condition`` until it holds; raise DeploymentError at the timeout."""
    deadline = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > deadline:
            raise DeploymentError(f"waited {timeout_s:g} s for {what}")
        time.sleep(POLL_S)


def scratch_folder() -> tempfile.TemporaryDirectory[str]:
    """Return a temporary folder for settings, keys and logs."""
    return tempfile.TemporaryDirectory(prefix="gentianhitch-")
