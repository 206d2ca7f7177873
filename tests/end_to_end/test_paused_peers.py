"""Callers and backend servers of real proxies that pause before they read."""

from __future__ import annotations

import os
import signal
import socket
import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

import pytest

from standins.deployment import wait_until
from standins.platform_deployment import PlatformDeployment
from standins.platform_deployment import Proxy
from standins.platform_deployment import make_document
from standins.raw_http import read_answer
from tests.builders_pausing_servers import PausingServer
from tests.builders_raw_callers import SlowReader
from tests.builders_raw_callers import encode_order

ROOT = Path(__file__).parents[2]
PAUSES_S = (3.6, 4.6)
ANSWERS = ((900_000, 131_072), (60_000, 4096))
"""Bytes of an answer, and of the caller's receive buffer."""

REPEATED_PAUSES_S = (3.3, 0.3, 3.3, 1.5)
KEPT_CALLERS = 8
READ_TIMEOUT_S = 10.0

BYTES_PER_S = 5_000_000
BEGUN_S = 0.6
ROUTE_TIMEOUT_MS = 7500
BODY_BYTES = 900_000
SERVER_WINDOW_BYTES = 16_384
SERVER_PAUSE_S = 4.5


@pytest.fixture
def deployment(tmp_path: Path) -> Iterator[Any]:
    os.environ["PYTHONPATH"] = f"{ROOT / 'src'}:{ROOT}"
    with PlatformDeployment(tmp_path, ("--work-ms", "20")) as running:
        document = make_document(2)
        document["tenants"][0] |= {"ratePerS": 0, "burst": 0}
        running.configure(document)
        running.start_proxies(1)
        yield running


def configure(deployment: PlatformDeployment, document: dict[str, Any]) -> None:
    """Write a configuration and wait until it is in force."""
    deployment.configure(document)
    (proxy,) = deployment.proxies

    def is_in_force() -> bool:
        changes = proxy.events("configuration_changed")
        return any(each["version"] == document["version"] for each in changes)

    wait_until(is_in_force, "the configuration in force")


def pause_repeatedly(address: str, name: str) -> int:
    """Pause before each answer on one connection; return how many were received."""
    host, _, port = address.rpartition(":")
    size, window_bytes = ANSWERS[1]
    with socket.socket() as connection:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, window_bytes)
        connection.settimeout(READ_TIMEOUT_S)
        connection.connect((host, int(port)))
        buffer = bytearray()
        for number, pause_s in enumerate(REPEATED_PAUSES_S):
            connection.sendall(encode_order(f"{name}-{number}", body="x" * size))
            time.sleep(pause_s)
            try:
                read_answer(connection, buffer)
            except OSError:
                return number
    return len(REPEATED_PAUSES_S)


def is_listed(proxy: Proxy, server: str) -> bool:
    """Return whether the proxy has read the entry of a server."""
    changes = proxy.events("listing_changed")
    return any(server in str(each["added"]) for each in changes)


# Guards against answers that are cut while a caller pauses before it reads: the kernel
# reset connections whose window had been closed for 3 s.
class TestPausedCallers:
    def start_callers(self, address: str) -> list[SlowReader]:
        """Start callers whose answers are on the way when this returns."""
        callers = [
            SlowReader(address, size, BYTES_PER_S, window_bytes, pause_s=pause_s)
            for size, window_bytes in ANSWERS
            for pause_s in PAUSES_S
        ]
        for number, caller in enumerate(callers):
            caller.start(f"paused-{number}")
        time.sleep(BEGUN_S)
        return callers

    def test_receive_whole_answers(self, deployment: Any) -> None:
        callers = self.start_callers(deployment.proxies[0].addresses["callers"])
        assert [caller.wait() for caller in callers] == ["whole"] * len(callers)

    def test_receive_whole_answers_in_a_stop(self, deployment: Any) -> None:
        (leaving,) = deployment.proxies
        callers = self.start_callers(leaving.addresses["callers"])
        leaving.process.send_signal(signal.SIGTERM)
        assert [caller.wait() for caller in callers] == ["whole"] * len(callers)
        assert leaving.process.wait(10.0) == 0

    # The kernel's limit runs from the first time that the window was closed.
    def test_may_pause_again_on_a_kept_connection(self, deployment: Any) -> None:
        address = deployment.proxies[0].addresses["callers"]
        with ThreadPoolExecutor(KEPT_CALLERS) as threads:
            names = [f"kept-{number}" for number in range(KEPT_CALLERS)]
            read = list(
                threads.map(lambda name: pause_repeatedly(address, name), names)
            )
        assert read == [len(REPEATED_PAUSES_S)] * KEPT_CALLERS

    def test_are_reset_after_the_idle_limit(self, deployment: Any) -> None:
        document = make_document(3)
        document["limits"]["idleTimeoutMs"] = 2000
        configure(deployment, document)
        (proxy,) = deployment.proxies
        size, window_bytes = ANSWERS[0]
        caller = SlowReader(proxy.addresses["callers"], size, 1, window_bytes)
        caller.send("paused")
        wait_until(lambda: bool(proxy.events("not_delivered")), "the reset", 10.0)
        (event,) = proxy.events("not_delivered")
        assert event["reason"] == "not-delivered"


# Guards against orders that fail, and safe requests that are repeated, while a server
# pauses before it reads a body.
@pytest.mark.parametrize("route", ["order", "read"])
class TestPausedServers:
    def test_get_the_whole_request(self, deployment: Any, route: str) -> None:
        document = make_document(3)
        document["tenants"][0] |= {"ratePerS": 0, "burst": 0}
        document["clusters"].append(document["clusters"][0] | {"name": "pausing"})
        (rule,) = [
            each for each in document["listeners"][0]["rules"] if each["name"] == route
        ]
        rule["action"] |= {"service": "pausing", "timeoutMs": ROUTE_TIMEOUT_MS}
        (proxy,) = deployment.proxies
        window = (SERVER_WINDOW_BYTES, SERVER_PAUSE_S)
        with PausingServer(deployment.store, "pausing", *window) as server:
            configure(deployment, document)
            wait_until(lambda: is_listed(proxy, "pausing-1"), "the server known")
            host, _, port = proxy.addresses["callers"].rpartition(":")
            order = encode_order("o-1", body="x" * BODY_BYTES)
            if route == "read":
                order = order.replace(b"/orders/", b"/stock/", 1)
            with socket.create_connection((host, int(port)), 10.0) as caller:
                caller.sendall(order)
                answer = read_answer(caller, bytearray())
            assert answer.status == 200
            assert server.lengths == [BODY_BYTES]
