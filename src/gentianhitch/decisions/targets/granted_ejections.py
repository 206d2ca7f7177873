"""Hold the ejections of one service that this instance was granted."""

from __future__ import annotations

import attrs

from gentianhitch.decisions.targets.ejection_table import EJECTION_LEASE_S
from gentianhitch.decisions.targets.messages import EjectionGrants
from gentianhitch.decisions.targets.scopes import Scope
from gentianhitch.instances.identity import InstanceId

FULL_WEIGHT = 1.0


@attrs.frozen
class Granted:
    """What one leader granted, until the lease from this instance's report ends."""

    until: float
    serial: int
    weights_by_scope: dict[Scope, float]
    leaving: frozenset[str]


class GrantedEjections:
    """Apply leased grants; a lease runs from when the report was sent."""

    def __init__(self) -> None:
        self._sent_by_number: dict[int, float] = {}
        self._granted_by_leader: dict[InstanceId, Granted] = {}
        self._number = 0

    def next_number(self, now: float) -> int:
        """Return the number of a report that is sent ``now``."""
        self._number += 1
        self._sent_by_number[self._number] = now
        self._sent_by_number = {
            number: sent
            for number, sent in self._sent_by_number.items()
            if now - sent <= EJECTION_LEASE_S
        }
        return self._number

    def on_grants(self, leader: InstanceId, grants: EjectionGrants, now: float) -> None:
        """Take grants for one of the own reports; older ones change nothing."""
        sent = self._sent_by_number.get(grants.number)
        known = self._granted_by_leader.get(leader)
        if sent is None or now >= sent + EJECTION_LEASE_S:
            return
        if known is not None and grants.serial <= known.serial:
            return
        weights_by_scope = {
            Scope(e.target, e.route, e.workspace): e.weight for e in grants.ejections
        }
        self._granted_by_leader[leader] = Granted(
            sent + EJECTION_LEASE_S,
            grants.serial,
            weights_by_scope,
            frozenset(grants.leaving),
        )

    def weights(self, now: float) -> dict[Scope, float]:
        """Return the scopes below their full weight; 0 means ejected."""
        weights_by_scope: dict[Scope, float] = {}
        for granted in self._unexpired(now):
            for scope, weight in granted.weights_by_scope.items():
                known = weights_by_scope.get(scope, FULL_WEIGHT)
                weights_by_scope[scope] = min(weight, known)
        return weights_by_scope

    def leaving(self, now: float) -> frozenset[str]:
        """Return the targets that the instances found leaving."""
        return frozenset(t for granted in self._unexpired(now) for t in granted.leaving)

    def _unexpired(self, now: float) -> list[Granted]:
        self._granted_by_leader = {
            leader: granted
            for leader, granted in self._granted_by_leader.items()
            if now < granted.until
        }
        return list(self._granted_by_leader.values())
