"""Pattern: callers send to a stopping proxy whose event loop lags at its closes."""

from __future__ import annotations

import os
import signal
import time
from collections import Counter
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from standins.platform_deployment import PlatformDeployment
from standins.platform_deployment import make_document
from tests.builders_waves import connect
from tests.builders_waves import connect_kept
from tests.builders_waves import count_runs
from tests.builders_waves import wait_for

ROOT = Path(__file__).parents[2]
WORK_MS = 20
CALLERS = 20
LAG_S = 0.4


@pytest.fixture
def deployment(tmp_path: Path) -> Iterator[Any]:
    os.environ["PYTHONPATH"] = f"{ROOT / 'src'}:{ROOT}"
    arguments = ("--work-ms", str(WORK_MS), "--count", "8")
    with PlatformDeployment(tmp_path, arguments) as running:
        document = make_document(2)
        document["tenants"][0] |= {"ratePerS": 0, "burst": 0}
        running.configure(document)
        running.start_proxies(2)
        yield running


# Guards against requests that end without an answer in a planned stop: closes looked
# only at what had been read, while requests waited in the kernel for a lagging loop.
class TestStopWithALag:
    @pytest.mark.parametrize("close_s", [2.0, 2.6])
    def test_each_request_is_answered(self, deployment: Any, close_s: float) -> None:
        leaving = deployment.proxies[0]
        address = leaving.addresses["callers"]
        callers = connect_kept(address, CALLERS)
        leaving.process.send_signal(signal.SIGTERM)
        time.sleep(close_s - LAG_S / 2)
        if close_s > 2.0:
            callers = []  # The kept ones are closed.
        leaving.process.send_signal(signal.SIGSTOP)
        callers += [connect(address, f"new-{number}") for number in range(CALLERS)]
        for caller in callers:
            caller.send()
        time.sleep(LAG_S)
        leaving.process.send_signal(signal.SIGCONT)
        wait_for(callers, 6.0)
        runs = count_runs(deployment.servers_by_id)
        outcomes = Counter(caller.outcome(runs) for caller in callers)
        assert set(outcomes) <= {"200", "503"}, outcomes
        assert leaving.process.wait(10.0) == 0
