"""Keep the ejections of one service and the floor under them."""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Mapping

import attrs

from gentianhitch.decisions.targets.scopes import Scope
from gentianhitch.errors import GentianhitchError

EJECTION_LEASE_S = 4.0
"""Lease of an ejection: for a holder from its report, for the leader from granting."""

BASE_EJECTION_TIME_S = 5.0
MAX_EJECTION_TIME_S = 300.0
FORGIVEN_S = 600.0
"""A target that stayed well this long starts again at the shortest stay."""

SLOW_START_S = 10.0
FIRST_WEIGHT = 0.1


class FloorError(GentianhitchError):
    """An ejection would leave less capacity than the service's floor."""


@attrs.frozen
class Capacity:
    """The slots of each target and how many must stay."""

    slots_by_target: Mapping[str, int]
    floor_slots: int
    absent: frozenset[str]

    def left_without(self, targets: Collection[str]) -> int:
        """Return the slots that are there when ``targets`` are ejected."""
        return sum(
            slots
            for target, slots in self.slots_by_target.items()
            if target not in self.absent and target not in targets
        )


@attrs.define
class Record:
    """One scope that is ejected, returning, or remembered for having been."""

    stay_s: float
    since: float
    expires: float = 0.0
    released: float | None = None

    def weight(self, now: float) -> float:
        """Return the part of its load that the scope may get."""
        if self.released is None:
            return 0.0
        grown = (now - self.released) / SLOW_START_S
        return min(max(grown, FIRST_WEIGHT), 1.0)


class EjectionTable:
    """Decide which gray scopes are ejected, never below the floor."""

    def __init__(self) -> None:
        self._records_by_scope: dict[Scope, Record] = {}

    def ejected_targets(self, now: float) -> frozenset[str]:
        """Return the targets of ejections that some holder may still apply."""
        return frozenset(
            scope.target
            for scope, record in self._records_by_scope.items()
            if record.released is None or now < record.expires
        )

    def eject(self, scope: Scope, capacity: Capacity, now: float) -> bool:
        """Eject ``scope``; tell whether that is new, raise FloorError at the floor."""
        record = self._records_by_scope.get(scope)
        if record is not None and record.released is None:
            return False
        ejected = self.ejected_targets(now) | {scope.target}
        if capacity.left_without(ejected) < capacity.floor_slots:
            raise FloorError(f"ejecting {scope.target!r} would pass the floor")
        self._records_by_scope[scope] = Record(self._stay_s(record, now), now)
        return True

    def release_due(self, gray: Collection[Scope], now: float) -> list[Scope]:
        """Release the scopes whose stay is over; they return by slow start."""
        due = [
            scope
            for scope, record in self._records_by_scope.items()
            if record.released is None
            and now >= record.since + record.stay_s
            and scope not in gray
        ]
        for scope in due:
            self._records_by_scope[scope].released = now
        return due

    def keep_floor(self, capacity: Capacity, now: float) -> list[Scope]:
        """Release the latest ejections until the floor stands again."""
        released = []
        while capacity.left_without(self._ejected_now()) < capacity.floor_slots:
            latest = max(
                self._unreleased(),
                key=lambda scope: (self._records_by_scope[scope].since, scope.target),
                default=None,
            )
            if latest is None:
                break
            self._records_by_scope[latest].released = now
            released.append(latest)
        return released

    def grant(self, now: float) -> dict[Scope, float]:
        """Return the weight of each scope below full, and lease the ejections."""
        weights_by_scope = {}
        for scope, record in self._records_by_scope.items():
            weight = record.weight(now)
            if weight == 0.0:
                record.expires = now + EJECTION_LEASE_S
            if weight < 1.0:
                weights_by_scope[scope] = weight
        return weights_by_scope

    def forget(self, now: float) -> None:
        """Drop records of scopes that stayed well for long."""
        old = [
            scope
            for scope, record in self._records_by_scope.items()
            if record.released is not None and now - record.released > FORGIVEN_S
        ]
        for scope in old:
            del self._records_by_scope[scope]

    def _unreleased(self) -> list[Scope]:
        return [s for s, r in self._records_by_scope.items() if r.released is None]

    def _ejected_now(self) -> frozenset[str]:
        return frozenset(scope.target for scope in self._unreleased())

    def _stay_s(self, before: Record | None, now: float) -> float:
        if before is None or before.released is None:
            return BASE_EJECTION_TIME_S
        return min(before.stay_s * 2, MAX_EJECTION_TIME_S)
