"""Real proxies: the time from the event ``stopped`` to the end of the process."""

from __future__ import annotations

import os
import signal
import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from statistics import median
from typing import Any

import pytest

from gentianhitch.proxy.shutdown import KILL_MARGIN_S
from standins.platform_deployment import PlatformDeployment
from standins.platform_deployment import Proxy

ROOT = Path(__file__).parents[2]

MAX_EXIT_S = KILL_MARGIN_S / 4
"""The margin must do for processes that get a quarter of a core."""


@pytest.fixture
def deployment(tmp_path: Path) -> Iterator[Any]:
    os.environ["PYTHONPATH"] = f"{ROOT / 'src'}:{ROOT}"
    with PlatformDeployment(tmp_path, ("--count", "4")) as running:
        running.start_proxies()
        yield running


def stop(proxy: Proxy) -> float:
    """Stop a proxy; return the time from its last event to its end."""
    proxy.process.send_signal(signal.SIGTERM)
    assert proxy.process.wait() == 0
    ended_s = time.time()
    (stopped,) = (
        event for event in proxy.events("lifecycle") if event["state"] == "stopped"
    )
    return ended_s - float(stopped["t"])


# Guards against processes that are killed at the end of their grace although they have
# delivered everything: the finalization of the interpreter outlasted the margin.
def test_processes_end_once_they_have_stopped(deployment: Any) -> None:
    with ThreadPoolExecutor() as threads:
        exits_s = list(threads.map(stop, deployment.proxies))
    assert median(exits_s) < MAX_EXIT_S
