"""Proxies on the users' platform, through separate processes."""

from __future__ import annotations

import json
import os
import subprocess
import sys
import time
from collections.abc import Iterator
from http.client import HTTPConnection
from pathlib import Path
from typing import Any

import pytest

from gentianhitch.platform import wire_names
from standins.deployment import call
from standins.deployment import wait_until
from standins.platform_deployment import HOST
from standins.platform_deployment import KEY
from standins.platform_deployment import WORKSPACE
from standins.platform_deployment import PlatformDeployment
from standins.platform_deployment import make_document

ROOT = Path(__file__).parents[2]
TIMEOUT_S = 20.0


@pytest.fixture(scope="module")
def deployment(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Any]:
    os.environ["PYTHONPATH"] = f"{ROOT / 'src'}:{ROOT}"
    with PlatformDeployment(tmp_path_factory.mktemp("platform")) as running:
        running.start_proxies()
        yield running


class Answer:
    """One answer as a caller sees it."""

    def __init__(
        self,
        deployment: PlatformDeployment,
        path: str,
        *,
        method: str = "GET",
        key: str | None = KEY,
        proxy: int = 0,
        request_id: str = "r-1",
        body: bytes | None = None,
    ) -> None:
        address = deployment.proxies[proxy].addresses["callers"]
        connection = HTTPConnection(address, timeout=TIMEOUT_S)
        headers = {
            "Host": HOST,
            wire_names.REQUEST_ID.decode(): request_id,
            wire_names.REMAINING_MS.decode(): "4000",
            wire_names.WORKSPACE.decode(): "forged",
        }
        if key is not None:
            headers["Authorization"] = f"Bearer {key}"
        connection.request(method, path, body=body, headers=headers)
        answer = connection.getresponse()
        self.status = answer.status
        self.headers = answer.headers
        self.body = answer.read().decode()
        connection.close()

    @property
    def seen(self) -> dict[str, Any]:
        """Return what the server says that it received."""
        shown: dict[str, Any] = json.loads(self.body)
        return shown


def ran(deployment: PlatformDeployment, service: str) -> list[str]:
    found: list[str] = []
    for server, address in deployment.servers_by_id.items():
        if server.startswith(service):
            found += call("GET", address, "/admin/ran")
    return found


class TestCalm:
    def test_a_request_reaches_a_server_of_its_route(self, deployment) -> None:
        answer = Answer(deployment, "/stock/7?x=1")
        assert answer.status == 200
        assert answer.seen["service"] == "stock"
        assert answer.seen["path"] == "/stock/7?x=1"
        assert answer.headers[wire_names.SIGNATURE.decode()].startswith("signed-by-")

    def test_the_workspace_is_the_keys_own_and_the_key_stays_here(
        self, deployment
    ) -> None:
        seen = Answer(deployment, "/stock/7").seen
        assert seen["workspace"] == WORKSPACE
        assert seen["authorization"] is False

    def test_a_body_arrives(self, deployment) -> None:
        answer = Answer(deployment, "/orders/1", method="POST", body=b"two pallets")
        assert answer.seen["body"] == "two pallets"

    @pytest.mark.parametrize(
        ("path", "key", "status"),
        [
            ("/stock/1", None, 401),
            ("/stock/1", "nobody", 401),
            ("/nowhere/", KEY, 404),
            ("/catalogue/1", None, 200),
        ],
    )
    def test_keys_and_routes(self, deployment, path, key, status) -> None:
        assert Answer(deployment, path, key=key).status == status

    def test_the_directory_names_instances(self, deployment) -> None:
        address = deployment.proxies[0].addresses["directory"]
        path = f"{wire_names.RESOLVE_PATH}?name={HOST}&zone=d2"
        answer = call("GET", address, path)
        callers = [proxy.addresses["callers"] for proxy in deployment.proxies]
        assert answer["addresses"] == [callers[1]]
        assert answer["ttlS"] > 0

    def test_metrics_are_served_as_text(self, deployment) -> None:
        host, _, port = deployment.proxies[0].addresses["metrics"].rpartition(":")
        connection = HTTPConnection(host, int(port), timeout=TIMEOUT_S)
        connection.request("GET", "/metrics")
        text = connection.getresponse().read().decode()
        assert "gentianhitch_listing_age_seconds" in text
        assert "gentianhitch_configuration_age_seconds" in text
        assert "gentianhitch_event_loop_lag_seconds" in text
        assert "gentianhitch_event_loop_lag_milliseconds_count" in text


class TestFaults:
    def test_an_idempotent_request_survives_a_failing_server(self, deployment) -> None:
        deployment.set_server_fault("stock-0", "errors")
        try:
            statuses = [Answer(deployment, "/stock/1").status for _ in range(10)]
        finally:
            deployment.set_server_fault("stock-0", "none")
        assert statuses == [200] * 10

    def test_an_order_runs_at_most_once(self, deployment) -> None:
        deployment.set_server_fault("orders-0", "errors")
        deployment.set_server_fault("orders-1", "decline")
        try:
            for number in range(10):
                Answer(
                    deployment, "/orders/1", method="POST", request_id=f"once-{number}"
                )
        finally:
            deployment.set_server_fault("orders-0", "none")
            deployment.set_server_fault("orders-1", "none")
        once = [each for each in ran(deployment, "orders") if each.startswith("once-")]
        assert len(once) == len(set(once))

    @pytest.mark.parametrize("order", [1, 2])
    def test_an_order_is_not_answered_by_a_repeated_refusal(
        self, deployment, order: int
    ) -> None:
        servers = [each for each in deployment.servers_by_id if "orders" in each]
        for server in servers:
            deployment.set_server_fault(server, "repeat")
        try:
            answer = Answer(
                deployment, "/orders/1", method="POST", request_id=f"repeat-{order}"
            )
        finally:
            for server in servers:
                deployment.set_server_fault(server, "none")
        assert answer.status == 200
        assert ran(deployment, "orders").count(f"repeat-{order}") == 1

    def test_an_answer_cut_in_its_head_is_no_success(self, deployment) -> None:
        servers = [each for each in deployment.servers_by_id if "orders" in each]
        for server in servers:
            deployment.set_server_fault(server, "cut-head")
        try:
            answer = Answer(
                deployment, "/orders/1", method="POST", request_id="cut-head"
            )
        finally:
            for server in servers:
                deployment.set_server_fault(server, "none")
        assert answer.status == 502
        assert ran(deployment, "orders").count("cut-head") == 1

    def test_a_withdrawn_key_stops_working(self, deployment) -> None:
        deployment.configure(make_document(2, ("key-north-2",)))
        try:
            wait_until(
                lambda: all(
                    Answer(deployment, "/stock/1", proxy=proxy).status == 401
                    for proxy in range(3)
                ),
                "the withdrawn key is refused",
            )
            assert Answer(deployment, "/stock/1", key="key-north-2").status == 200
        finally:
            deployment.configure(make_document(3))
            wait_until(
                lambda: Answer(deployment, "/stock/1").status == 200, "the key is back"
            )

    def test_without_the_store_keys_fail_closed_and_open_routes_serve(
        self, deployment
    ) -> None:
        deployment.set_store_fault(outage="reset")
        try:
            wait_until(
                lambda: Answer(deployment, "/stock/1").status == 503,
                "no proof of freshness is left",
            )
            assert Answer(deployment, "/catalogue/1", key=None).status == 200
        finally:
            deployment.set_store_fault(outage="none")
        wait_until(lambda: Answer(deployment, "/stock/1").status == 200, "it is back")


class TestNotices:
    def send_reads(self, deployment, count: int) -> list[str]:
        """Return which servers answer reads through all proxies in turn."""
        answers = [
            Answer(deployment, "/catalogue/1", key=None, proxy=number % 3)
            for number in range(count)
        ]
        assert [answer.status for answer in answers] == [200] * count
        return [answer.seen["server"] for answer in answers]

    # Guards against requests to a server whose answers say that it leaves, while its
    # entry is ready.
    def test_a_server_that_says_that_it_leaves_gets_nothing(self, deployment) -> None:
        deployment.set_server_fault("stock-1", "leave")
        wait_until(
            lambda: "stock-1" in self.send_reads(deployment, 10), "it has told one"
        )
        time.sleep(1.0)
        assert "stock-1" not in self.send_reads(deployment, 60)

    # Guards against requests to a server that asked for none for a while.
    def test_a_server_that_asks_for_a_wait_gets_nothing(self, deployment) -> None:
        deployment.set_server_fault("stock-0", "busy")
        address = deployment.servers_by_id["stock-0"]
        began_s = time.monotonic()
        while time.monotonic() - began_s < 2.0:
            self.send_reads(deployment, 6)
        deployment.set_server_fault("stock-0", "none")
        arrivals = [
            each["at_s"]
            for each in call("GET", address, "/admin/arrivals")
            if each["at_s"] > began_s
        ]
        # One of each proxy at most, and no other until the end of the wait.
        assert 1 <= len(arrivals) <= 3
        wait_until(
            lambda: "stock-0" in self.send_reads(deployment, 10), "it is used again"
        )


class TestStop:
    def test_a_stop_leaves_the_directory_and_exits_cleanly(self, deployment) -> None:
        leaving = deployment.proxies[2]
        began = time.monotonic()
        assert leaving.stop() == 0
        assert time.monotonic() - began < 6.0
        address = deployment.proxies[0].addresses["directory"]
        path = f"{wire_names.RESOLVE_PATH}?name={HOST}&zone=d3"
        gone = leaving.addresses["callers"]
        wait_until(
            lambda: gone not in call("GET", address, path)["addresses"],
            "it is left out",
        )


class TestDemo:
    def test_shows_answers_and_stops(self) -> None:
        shown = subprocess.run(
            [sys.executable, "-m", "standins.platform_demo"],
            cwd=ROOT,
            capture_output=True,
            text=True,
            check=True,
        ).stdout
        assert "a read: 200" in shown
        assert "an unknown key: 401" in shown
        assert "exit codes [0, 0, 0]" in shown
