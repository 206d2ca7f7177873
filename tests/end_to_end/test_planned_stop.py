"""Planned stops of real proxies while callers write several requests at once."""

from __future__ import annotations

import os
import signal
import time
from collections import Counter
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from standins.deployment import call
from standins.platform_deployment import PlatformDeployment
from standins.platform_deployment import make_document
from tests.builders_raw_callers import PipeliningCaller
from tests.builders_raw_callers import SlowReader

ROOT = Path(__file__).parents[2]
CALLERS = 12
STEADY_S = 1.5
WORK_MS = 120
GRACE_S = 6.0
BEGUN_S = 0.6

TRANSFERS = ((24_000, 8_000, 4096), (24_000, 8_000, 4096), (900_000, 300_000, 32_768))
"""Bytes of an answer, bytes received a second, and bytes of the receive buffer."""


@pytest.fixture
def deployment(tmp_path: Path) -> Iterator[Any]:
    os.environ["PYTHONPATH"] = f"{ROOT / 'src'}:{ROOT}"
    arguments = ("--work-ms", str(WORK_MS), "--count", "8")
    with PlatformDeployment(tmp_path, arguments) as running:
        document = make_document(2)
        document["tenants"][0] |= {"ratePerS": 0, "burst": 0}
        running.configure(document)
        running.start_proxies()
        yield running


def orders_run(deployment: PlatformDeployment) -> Counter[str]:
    found: Counter[str] = Counter()
    for server, address in deployment.servers_by_id.items():
        if server.startswith("orders"):
            found.update(call("GET", address, "/admin/ran"))
    return found


# Guards against orders that ran and whose callers got no answer: a stopping instance
# closed a connection with its next answer, though it had passed on requests behind it.
class TestPipelinedOrders:
    def test_each_order_that_ran_is_answered(self, deployment: Any) -> None:
        leaving = deployment.proxies[0]
        callers = [
            PipeliningCaller(f"c{number}", leaving.addresses["callers"], 2 + number % 2)
            for number in range(CALLERS)
        ]
        threads = [caller.start() for caller in callers]
        time.sleep(STEADY_S)
        leaving.process.send_signal(signal.SIGTERM)
        for thread in threads:
            thread.join(20.0)
        assert leaving.process.wait(10.0) == 0
        counts = orders_run(deployment)
        lost = [
            request
            for caller in callers
            for request in caller.unanswered
            if counts[request]
        ]
        assert sum(len(caller.answered) for caller in callers) > 10 * CALLERS
        assert lost == []
        assert max(counts.values()) == 1


# Guards against answers that are cut while a caller with a slow link receives them: the
# connection was reset 1 s after the answer had been written, whatever had arrived.
class TestSlowReaders:
    def start_readers(self, address: str, *lines: str) -> list[SlowReader]:
        """Start readers whose answers take about 3 s; return when these have begun."""
        readers = [
            SlowReader(address, size, bytes_per_s, window_bytes)
            for size, bytes_per_s, window_bytes in TRANSFERS
        ]
        for number, reader in enumerate(readers):
            reader.start(f"slow-{number}", *lines)
        time.sleep(BEGUN_S)
        return readers

    def test_receive_whole_answers_in_a_stop(self, deployment: Any) -> None:
        leaving = deployment.proxies[0]
        readers = self.start_readers(leaving.addresses["callers"])
        leaving.process.send_signal(signal.SIGTERM)
        assert [reader.wait() for reader in readers] == ["whole"] * len(readers)
        assert leaving.process.wait(10.0) == 0

    def test_receive_whole_answers_after_a_second_signal(self, deployment: Any) -> None:
        leaving = deployment.proxies[0]
        readers = self.start_readers(leaving.addresses["callers"])
        leaving.process.send_signal(signal.SIGTERM)
        time.sleep(0.7)
        leaving.process.send_signal(signal.SIGTERM)
        assert [reader.wait() for reader in readers] == ["whole"] * len(readers)
        assert leaving.process.wait(10.0) == 0

    def test_receive_whole_answers_that_close(self, deployment: Any) -> None:
        address = deployment.proxies[1].addresses["callers"]
        readers = self.start_readers(address, "Connection: close")
        assert [reader.wait() for reader in readers] == ["whole"] * len(readers)

    def test_receive_whole_answers_beyond_the_idle_limit(self, deployment: Any) -> None:
        document = make_document(3)
        document["limits"]["idleTimeoutMs"] = 500
        deployment.configure(document)
        time.sleep(2.0)
        address = deployment.proxies[1].addresses["callers"]
        readers = self.start_readers(address)
        assert [reader.wait() for reader in readers] == ["whole"] * len(readers)
        assert readers[0].is_closed_within(4.0)

    def test_a_caller_that_receives_nothing_delays_no_stop(
        self, deployment: Any
    ) -> None:
        leaving = deployment.proxies[0]
        reader = SlowReader(leaving.addresses["callers"], 900_000, 0, 4096)
        reader.send("silent")
        time.sleep(BEGUN_S)
        began = time.monotonic()
        leaving.process.send_signal(signal.SIGTERM)
        assert leaving.process.wait(10.0) == 0
        assert time.monotonic() - began < GRACE_S
