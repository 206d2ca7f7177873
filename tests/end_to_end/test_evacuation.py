"""Evacuation and cold servers together, through separate processes under load.

The servers of a domain are evacuated, become cold meanwhile, and return; others turn
cold amid the traffic.
"""

from __future__ import annotations

import os
import signal
import time
from collections.abc import Iterator
from pathlib import Path

import pytest

from standins.deployment import wait_until
from standins.platform_deployment import EVACUATION_S
from standins.platform_deployment import MOST_WHILE_COLD
from standins.platform_deployment import WARMUP_S
from standins.platform_deployment import ZONES
from standins.platform_deployment import PlatformDeployment
from tests.builders_steady_callers import SteadyCallers
from tests.builders_steady_callers import most_in_a_second

ROOT = Path(__file__).parents[2]
SERVERS = 6
WORK_MS = 100
"""So long that the callers need more servers than those of two domains."""

LEARNED_S = 2.0
"""The bound within which instances know of changed servers."""


@pytest.fixture
def deployment(tmp_path: Path) -> Iterator[PlatformDeployment]:
    os.environ["PYTHONPATH"] = f"{ROOT / 'src'}:{ROOT}"
    arguments = (
        *("--zones", ",".join(ZONES), "--count", str(SERVERS)),
        *("--work-ms", str(WORK_MS)),
    )
    with PlatformDeployment(tmp_path, arguments) as running:
        running.start_proxies(6)
        yield running


def arrivals_s(
    deployment: PlatformDeployment, servers: list[str], since_s: float
) -> dict[str, list[float]]:
    """Return when requests reached each of the servers of reads after a time."""
    return {
        server: [
            each["at_s"]
            for each in deployment.arrivals(server)
            if each["at_s"] > since_s
        ]
        for server in servers
        if server.startswith("stock")
    }


def most(deployment: PlatformDeployment, servers: list[str], since_s: float) -> int:
    """Return the most requests that one server got in any one second."""
    found = arrivals_s(deployment, servers, since_s)
    return max(most_in_a_second(times_s) for times_s in found.values())


class TestEvacuation:
    def test_of_a_domain_that_returns_cold(self, deployment) -> None:
        evacuated = deployment.servers_in("d2")
        with SteadyCallers(deployment.proxies[:3], count=40) as callers:
            time.sleep(1.0)
            deployment.evacuate("d2")
            began_s = time.monotonic()
            time.sleep(EVACUATION_S)
            # A restarted instance must not use the domain either, nor one that the
            # store turns away.
            restarted = deployment.proxies[3]
            restarted.process.send_signal(signal.SIGKILL)
            restarted.process.wait()
            deployment.proxies[3] = deployment.start_proxy(restarted.name, "d1")
            wait_until(
                lambda: len(deployment.proxies[3].events("listening")) == 2, "restarted"
            )
            callers.proxies.append(deployment.proxies[3])
            deployment.set_store_fault(outage="busy")
            time.sleep(2.0)
            deployment.set_store_fault(outage="none")
            time.sleep(1.0)
            found = arrivals_s(deployment, evacuated, began_s + EVACUATION_S)
            assert found == {"stock-1": [], "stock-4": []}

            for server in evacuated:
                deployment.set_server_fault(server, "cold")
            cold_s = time.monotonic()
            deployment.cancel_evacuation("d2")
            time.sleep(WARMUP_S)
            assert most(deployment, evacuated, cold_s) <= MOST_WHILE_COLD
            time.sleep(2.0)
            found = arrivals_s(deployment, evacuated, cold_s + WARMUP_S)
            assert all(found.values())
        statuses = {read.status for read in callers.reads}
        assert statuses == {200}
        # Enough to flood the servers of one domain.
        rate_per_s = len(callers.since(cold_s)) / (time.monotonic() - cold_s)
        assert rate_per_s > 2 * MOST_WHILE_COLD

    def test_servers_that_turn_cold_amid_traffic(self, deployment) -> None:
        cold = ["stock-0", "stock-1", "stock-2", "stock-3"]
        with SteadyCallers(deployment.proxies) as callers:
            time.sleep(1.0)
            began_s = time.monotonic()
            while time.monotonic() - began_s < LEARNED_S + WARMUP_S:
                # They say again and again that they are cold.
                for server in cold:
                    deployment.set_server_fault(server, "cold")
                time.sleep(0.5)
            known_s = began_s + LEARNED_S
            found = arrivals_s(deployment, cold, known_s)
            assert max(map(most_in_a_second, found.values())) <= MOST_WHILE_COLD
            assert any(found.values())
        assert {read.status for read in callers.reads} == {200}

    def test_a_service_without_any_server_left_refuses_at_once(
        self, deployment
    ) -> None:
        for zone in ZONES:
            deployment.evacuate(zone)
        time.sleep(EVACUATION_S)
        with SteadyCallers(deployment.proxies, count=2) as callers:
            time.sleep(1.0)
        assert callers.reads
        for read in callers.reads:
            assert read.status == 503
            assert read.retry_after_s > 0
            assert read.ended_s - read.sent_s < 1.0
        for zone in ZONES:
            deployment.cancel_evacuation(zone)
        since_s = time.monotonic() + EVACUATION_S
        with SteadyCallers(deployment.proxies, count=2) as callers:
            time.sleep(EVACUATION_S + WARMUP_S)
        assert {read.status for read in callers.since(since_s)} == {200}
