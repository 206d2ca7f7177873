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
from tests.builders_pipelining import PipeliningCaller

ROOT = Path(__file__).parents[2]
CALLERS = 12
STEADY_S = 1.5
WORK_MS = 120


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
