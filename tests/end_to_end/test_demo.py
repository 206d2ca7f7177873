"""The whole path through separate processes, by command line."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
from pathlib import Path

import pytest

from standins.demo import ask
from standins.demo import directory
from standins.deployment import call
from standins.deployment import wait_until

ROOT = Path(__file__).parents[2]
TIMEOUT_S = 90


@pytest.fixture(scope="module")
def held():
    process = subprocess.Popen(
        [sys.executable, "-m", "standins.demo", "--hold"],
        cwd=ROOT,
        env={**os.environ, "PYTHONPATH": f"{ROOT / 'src'}:{ROOT}"},
        stdout=subprocess.PIPE,
        text=True,
    )
    shown = json.loads(process.stdout.readline())
    yield shown
    process.send_signal(signal.SIGINT)
    assert process.wait(TIMEOUT_S) == 0
    for pid in shown["pids"].values():
        assert not Path(f"/proc/{pid}").exists()


class TestHeldDemo:
    def test_read_answers_whole_from_every_instance(self, held):
        def named() -> bool:
            addresses = directory(held["entries"][0], "stock")
            return sorted(addresses) == sorted(held["entries"])

        # An instance is named once its peers have heard that it is fresh.
        wait_until(named, "the directory to name every instance")
        addresses = held["entries"]
        for address in addresses:
            reply = ask(address, held["routes"]["read"], key=held["key"])
            assert reply.status == 200
            assert json.loads(reply.body)["workspace"] == held["workspace"]

    def test_order_runs_once_and_its_key_reaches_no_backend_server(self, held):
        reply = ask(
            held["entries"][0],
            held["routes"]["order"],
            key=held["key"],
            method="POST",
            body=b"two pallets",
            headers={"X-Request-Id": "order-1"},
        )
        assert reply.status == 200
        records = [
            ran
            for server in held["backend_servers"]
            for ran in call("GET", server, "/control/record")
        ]
        assert [ran["request_id"] for ran in records].count("order-1") == 1
        assert held["key"] not in json.dumps(records)

    @pytest.mark.parametrize(
        ("path", "key", "status"),
        [("/stock", None, 401), ("/stock", "wrong", 401), ("/nowhere", "own", 404)],
    )
    def test_refusal_says_not_run(self, held, path, key, status):
        key = held["key"] if key == "own" else key
        reply = ask(held["entries"][0], path, key=key)
        assert reply.status == status
        assert reply.headers["Gentianhitch-Outcome"] == "not-run"

    def test_open_route_needs_no_key(self, held):
        assert ask(held["entries"][0], held["routes"]["open"]).status == 200

    def test_unknown_service_is_named(self, held):
        reply = ask(held["entries"][0], "/.gentianhitch/directory?service=none")
        assert reply.status == 404
        assert reply.headers["Gentianhitch-Outcome"] == "not-run"
