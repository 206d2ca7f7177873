"""Pattern: a proxy is paused, or gets no processor, while callers wait for answers."""

from __future__ import annotations

import os
import signal
import time
from collections import Counter
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from gentianhitch.proxy.instance import HOUSEKEEPING_INTERVAL_S
from standins.platform_deployment import PlatformDeployment
from standins.platform_deployment import Proxy
from standins.platform_deployment import make_document
from tests.builders_waves import connect_kept
from tests.builders_waves import count_runs
from tests.builders_waves import wait_for

ROOT = Path(__file__).parents[2]
WORK_MS = 300
PAUSE_S = 1.0
CALLERS = 20
BEGUN_S = 0.1

BEYOND_DEADLINES_S = 2.5
"""The deployment's routes have a timeout of 2 s."""


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


def pause(proxy: Proxy, seconds: float) -> None:
    """Stop a proxy for a while."""
    proxy.process.send_signal(signal.SIGSTOP)
    time.sleep(seconds)
    proxy.process.send_signal(signal.SIGCONT)


class TestLag:
    def test_a_pause_is_logged(self, deployment: Any) -> None:
        paused = deployment.proxies[0]
        pause(paused, PAUSE_S)
        time.sleep(2 * HOUSEKEEPING_INTERVAL_S)
        longest_ms = max(
            (event["lag_ms"] for event in paused.events("loop_lagged")), default=0
        )
        assert longest_ms >= (PAUSE_S - HOUSEKEEPING_INTERVAL_S) * 1000


# Guards against time-outs of requests whose answers have arrived: after a pause, timers
# that were due ran before the sockets were read.
class TestAnswersThatArrive:
    def test_are_passed_on_after_a_pause(self, deployment: Any) -> None:
        paused = deployment.proxies[0]
        callers = connect_kept(paused.addresses["callers"], CALLERS)
        for caller in callers:
            caller.send()
        time.sleep(BEGUN_S)
        pause(paused, BEYOND_DEADLINES_S)
        wait_for(callers, 6.0)
        runs = count_runs(deployment.servers_by_id)
        outcomes = Counter(caller.outcome(runs) for caller in callers)
        assert outcomes == {"200": CALLERS}
