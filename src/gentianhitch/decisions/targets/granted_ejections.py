"""Track the ejections of one service that this instance was granted."""

from __future__ import annotations

import attrs

from gentianhitch.decisions.targets.ejection_table import EJECTION_LEASE_S
from gentianhitch.decisions.targets.messages import EjectionGrants
from gentianhitch.decisions.targets.scopes import Scope
from gentianhitch.instances.identity import InstanceId

FULL_WEIGHT = 1.0


@attrs.frozen
class LeaderGrants:
    """Latest grants of one leader, valid ``until`` in seconds of the clock."""

    until: float
    serial: int
    weights_by_scope: dict[Scope, float]
    leaving: frozenset[str]


class GrantedEjections:
    """Apply leased grants; a lease starts when this instance sent its report."""

    def __init__(self) -> None:
        self._sent_at_by_number: dict[int, float] = {}
        self._granted_by_leader: dict[InstanceId, LeaderGrants] = {}
        self._number = 0

    def next_number(self, now: float) -> int:
        """Return the number of a report sent at ``now``."""
        self._number += 1
        self._sent_at_by_number[self._number] = now
        self._sent_at_by_number = {
            number: sent_at
            for number, sent_at in self._sent_at_by_number.items()
            if now - sent_at <= EJECTION_LEASE_S
        }
        return self._number

    def on_grants(self, leader: InstanceId, grants: EjectionGrants, now: float) -> None:
        """Apply grants in reply to an unexpired report; ignore stale ones."""
        sent_at = self._sent_at_by_number.get(grants.number)
        previous = self._granted_by_leader.get(leader)
        if sent_at is None or now >= sent_at + EJECTION_LEASE_S:
            return
        if previous is not None and grants.serial <= previous.serial:
            return
        weights_by_scope = {
            Scope(e.target, e.route, e.workspace): e.weight for e in grants.ejections
        }
        self._granted_by_leader[leader] = LeaderGrants(
            sent_at + EJECTION_LEASE_S,
            grants.serial,
            weights_by_scope,
            frozenset(grants.leaving),
        )

    def weights(self, now: float) -> dict[Scope, float]:
        """Return the least weight of each scope below full; 0 means ejected."""
        weights_by_scope: dict[Scope, float] = {}
        for granted in self._unexpired(now):
            for scope, weight in granted.weights_by_scope.items():
                lowest = weights_by_scope.get(scope, FULL_WEIGHT)
                weights_by_scope[scope] = min(weight, lowest)
        return weights_by_scope

    def leaving(self, now: float) -> frozenset[str]:
        """Return the targets that leaders report as leaving."""
        return frozenset(t for granted in self._unexpired(now) for t in granted.leaving)

    def _unexpired(self, now: float) -> list[LeaderGrants]:
        self._granted_by_leader = {
            leader: granted
            for leader, granted in self._granted_by_leader.items()
            if now < granted.until
        }
        return list(self._granted_by_leader.values())
