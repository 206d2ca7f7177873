"""Resident memory of real proxies while servers or callers send without end."""

from __future__ import annotations

import os
import socket
import time
from collections.abc import Iterator
from pathlib import Path
from threading import Thread
from typing import Any

import pytest

from standins.platform_deployment import HOST
from standins.platform_deployment import MEMORY_MB
from standins.platform_deployment import PlatformDeployment
from standins.platform_deployment import make_document
from standins.platform_server import ENDLESS
from tests.builders_raw_callers import PipeliningCaller

ROOT = Path(__file__).parents[2]
CALLERS = 48
FAULT_S = 3.0


@pytest.fixture
def deployment(tmp_path: Path) -> Iterator[Any]:
    os.environ["PYTHONPATH"] = f"{ROOT / 'src'}:{ROOT}"
    with PlatformDeployment(tmp_path, ("--count", "4")) as running:
        document = make_document(2)
        document["tenants"][0] |= {"ratePerS": 0, "burst": 0}
        running.configure(document)
        running.start_proxies(1)
        yield running


# Guards against an instance that is killed for its memory, with the requests of all its
# callers, because one server sends what is no answer until it is closed.
class TestServersThatSendWithoutEnd:
    @pytest.mark.parametrize("kind", ENDLESS)
    def test_the_instance_stays_below_its_limit(
        self, deployment: Any, kind: str
    ) -> None:
        (proxy,) = deployment.proxies
        callers = [
            PipeliningCaller(f"c{number}", proxy.addresses["callers"], 1)
            for number in range(CALLERS)
        ]
        threads = [caller.start() for caller in callers]
        deployment.set_server_fault("orders-1", kind)
        time.sleep(FAULT_S)
        deployment.set_server_fault("orders-1", "none")
        for caller in callers:
            caller.is_stopping.set()
        for thread in threads:
            thread.join(20.0)
        assert proxy.process.poll() is None
        assert proxy.peak_memory_mb < MEMORY_MB
        assert sum(len(caller.unanswered) for caller in callers) == 0
        statuses = [each for caller in callers for each in caller.answered.values()]
        assert set(statuses) <= {200, 502, 504}
        assert statuses.count(200) > len(statuses) / 2


def send_and_leave(address: str, head: bytes, part: bytes, size_bytes: int) -> None:
    """Send a request without its end again and again, and close."""
    host, _, port = address.rpartition(":")
    end_s = time.monotonic() + FAULT_S
    while time.monotonic() < end_s:
        try:
            with socket.create_connection((host, int(port)), FAULT_S) as connection:
                connection.sendall(head)
                for _ in range(size_bytes // len(part)):
                    connection.sendall(part)
        except OSError:
            continue


# Guards against the same by callers, who need no key for it.
class TestCallersThatSendMuch:
    @pytest.mark.parametrize(
        ("coding", "part"),
        [("Content-Length: 1000000", b"x" * 50_000), ("", b"2\r\nok\r\n" * 5_000)],
        ids=["bodies", "chunks of two bytes"],
    )
    def test_the_instance_stays_below_its_limit(
        self, deployment: Any, coding: str, part: bytes
    ) -> None:
        (proxy,) = deployment.proxies
        coding = coding or "Transfer-Encoding: chunked"
        head = f"POST /orders/1 HTTP/1.1\r\nHost: {HOST}\r\n{coding}\r\n\r\n".encode()
        size_bytes = 900_000 if "Length" in coding else 3_000_000
        threads = [
            Thread(
                target=send_and_leave,
                args=(proxy.addresses["callers"], head, part, size_bytes),
            )
            for _ in range(72)
        ]
        caller = PipeliningCaller("c", proxy.addresses["callers"], 1)
        calm = caller.start()
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        caller.is_stopping.set()
        calm.join(20.0)
        assert proxy.process.poll() is None
        assert proxy.peak_memory_mb < MEMORY_MB
        assert set(caller.answered.values()) == {200}
