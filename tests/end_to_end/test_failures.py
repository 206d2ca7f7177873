"""Kills, pauses and a platform outage, with real processes."""

from __future__ import annotations

import hashlib
import http.client
import signal
from collections.abc import Iterator
from pathlib import Path

import pytest

from standins import demo
from standins.deployment import Deployment
from standins.deployment import call
from standins.deployment import wait_until

READ = demo.ROUTES["read"]


@pytest.fixture(scope="module")
def deployment(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Deployment]:
    with Deployment(Path(tmp_path_factory.mktemp("deployment"))) as started:
        demo.promote(started, demo.sample_document(demo.start(started)))
        yield started


@pytest.fixture
def key(deployment: Deployment) -> str:
    given = demo.give_key(deployment, demo.WORKSPACE)
    demo.wait_until_served(deployment, given)
    return given


def address_of(deployment: Deployment, name: str) -> str:
    return str(deployment.programs_by_name[name].ready["callers"])


def withdraw(deployment: Deployment, key: str) -> None:
    key_id = hashlib.sha256(key.encode()).hexdigest()[:16]
    demo.run(deployment, "keys", "withdraw", demo.WORKSPACE, key_id, "--wait-s", "20")


class TestPause:
    def test_key_withdrawn_in_a_pause_is_refused_on_an_open_connection(
        self, deployment: Deployment, key: str
    ) -> None:
        address = address_of(deployment, "entry-3")
        connection = http.client.HTTPConnection(address, timeout=10)
        headers = {"Authorization": f"Bearer {key}"}

        def ask() -> http.client.HTTPResponse:
            connection.request("GET", READ, headers=headers)
            answer = connection.getresponse()
            answer.read()
            return answer

        assert ask().status == 200
        process = deployment.programs_by_name["entry-3"].process
        process.send_signal(signal.SIGSTOP)
        try:
            withdraw(deployment, key)
            # In force from here on: no instance may honour the key any more.
            for entry in deployment.entries[:2]:
                assert demo.ask(entry, READ, key=key).status == 401
        finally:
            process.send_signal(signal.SIGCONT)
        answer = ask()
        assert answer.status in (401, 503)
        assert answer.headers["Gentianhitch-Outcome"] == "not-run"


class TestOutage:
    def test_replacement_in_an_outage_learns_from_the_others(
        self, deployment: Deployment, key: str
    ) -> None:
        call("PUT", deployment.platform, "/control/faults", {"outage": "refuse"})
        try:
            for number, domain in enumerate(demo.FAILURE_DOMAINS, start=1):
                name = f"entry-{number}"
                ready = deployment.programs_by_name[name].ready
                assert deployment.stop_entry(name) == 0
                deployment.start_entry(
                    name, domain, callers=ready["callers"], peers=ready["peers"]
                )
                demo.wait_until_served(deployment, key)
        finally:
            call("DELETE", deployment.platform, "/control/faults")


class TestKill:
    def test_killed_instance_leaves_the_directory_and_the_rest_serve(
        self, deployment: Deployment, key: str
    ) -> None:
        killed = address_of(deployment, "entry-3")
        deployment.stop_entry("entry-3", signal.SIGKILL)
        wait_until(
            lambda: all(
                killed not in demo.directory(entry, "stock")
                for entry in deployment.entries
            ),
            "the killed instance to leave every directory",
        )
        demo.wait_until_served(deployment, key)
