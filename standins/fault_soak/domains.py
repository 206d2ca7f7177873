"""Evacuate failure domains and turn servers cold while a soak runs."""

from __future__ import annotations

import time
from random import Random

import attrs

from standins.fault_soak.checks import CONTACT_S
from standins.fault_soak.checks import Span
from standins.fault_soak.deployment import SoakDeployment
from standins.platform_deployment import EVACUATION_S
from standins.platform_deployment import WARMUP_S
from standins.platform_deployment import ZONES

EVACUATED_S = (0.2, EVACUATION_S + 4.0)
"""Some evacuations end before they must be in force, others long after."""

BEYOND_S = 2.0
COOL_INTERVAL_S = 1.0
EVACUATE_SHARE = 0.2
COOL_SHARE = 0.2


@attrs.define
class DomainWork:
    """What the operator and the servers do, beside the faults.

    It has random numbers of its own, so that seeds keep their faults.
    """

    deployment: SoakDeployment
    random: Random
    evacuations: list[Span] = attrs.Factory(list)
    cold: list[Span] = attrs.Factory(list)
    _zone: str = ""
    _began_s: float = 0.0
    _ends_s: float = 0.0

    def step(self) -> list[str]:
        """Begin or end something at random; return a line for each."""
        now = time.monotonic()
        if self._zone and now >= self._ends_s:
            return [self._cancel()]
        drawn = self.random.random()
        if not self._zone and drawn < EVACUATE_SHARE:
            return [self._evacuate(self.random.uniform(*EVACUATED_S))]
        if drawn > 1.0 - COOL_SHARE:
            server = self.random.choice(sorted(self.deployment.servers_by_id))
            self._cool([server])
            return [f"{server} cold"]
        return []

    def run_in_contact(self, until_s: float) -> list[str]:
        """Evacuate a domain and have servers turn cold while no fault excuses anyone.

        Return a line for each. It takes about 11 s, and ends before ``until_s``.
        """
        time.sleep(CONTACT_S)
        lines = [self._evacuate(EVACUATION_S + BEYOND_S)]
        while time.monotonic() < self._ends_s:
            server = self.random.choice(sorted(self.deployment.servers_by_id))
            self._cool([server])
            lines.append(f"{server} cold")
            time.sleep(COOL_INTERVAL_S)
        lines.append(self._cancel())
        time.sleep(max(until_s - time.monotonic(), 0.0))
        return lines

    def end(self) -> list[str]:
        """Cancel the evacuation that goes on, if any; return a line for it."""
        return [self._cancel()] if self._zone else []

    def _evacuate(self, seconds: float) -> str:
        zone = self.random.choice(ZONES)
        self.deployment.evacuate(zone)
        self._zone, self._began_s = zone, time.monotonic()
        self._ends_s = self._began_s + seconds
        return f"evacuate {zone} for {seconds:.1f} s"

    def _cancel(self) -> str:
        """Have the domain return with cold servers."""
        zone, self._zone = self._zone, ""
        servers = self.deployment.servers_in(zone)
        ended_s = time.monotonic()
        self._cool(servers)
        self.deployment.cancel_evacuation(zone)
        self.evacuations.append(Span(frozenset(servers), self._began_s, ended_s))
        return f"{zone} returns cold"

    def _cool(self, servers: list[str]) -> None:
        began_s = time.monotonic()
        for server in servers:
            self.deployment.set_server_fault(server, "cold")
        self.cold.append(Span(frozenset(servers), began_s, began_s + WARMUP_S))
