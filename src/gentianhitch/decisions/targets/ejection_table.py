"""Track the ejections of one service and keep its capacity above the floor."""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Mapping

import attrs

from gentianhitch.decisions.targets.scopes import Scope
from gentianhitch.errors import GentianhitchError

EJECTION_LEASE_S = 4.0
"""Lease of an ejection, from an instance's report; for the leader, from its grant."""

BASE_EJECTION_TIME_S = 5.0
MAX_EJECTION_TIME_S = 300.0
RECORD_RETENTION_S = 600.0
"""A scope that stayed healthy this long starts again at the base ejection time."""

SLOW_START_S = 10.0
MIN_SLOW_START_WEIGHT = 0.1


class FloorError(GentianhitchError):
    """An ejection would leave less capacity than the service's floor."""


@attrs.frozen
class Capacity:
    """Slots of each target and the floor that ejections must leave."""

    slots_by_target: Mapping[str, int]
    floor_slots: int
    absent: frozenset[str]

    def slots_without(self, targets: Collection[str]) -> int:
        """Return the available slots while ``targets`` are ejected."""
        return sum(
            slots
            for target, slots in self.slots_by_target.items()
            if target not in self.absent and target not in targets
        )


@attrs.define
class EjectionRecord:
    """One scope that is ejected, in slow start, or was ejected earlier."""

    ejection_time_s: float
    since: float
    expires: float = 0.0
    released: float | None = None

    def weight(self, now: float) -> float:
        """Return the share of its usual load that the scope may get."""
        if self.released is None:
            return 0.0
        grown = (now - self.released) / SLOW_START_S
        return min(max(grown, MIN_SLOW_START_WEIGHT), 1.0)


class EjectionTable:
    """Decide which gray scopes are ejected without passing the floor."""

    def __init__(self) -> None:
        self._records_by_scope: dict[Scope, EjectionRecord] = {}

    def ejected_targets(self, now: float) -> frozenset[str]:
        """Return the targets of ejections that some instance may still apply."""
        return frozenset(
            scope.target
            for scope, record in self._records_by_scope.items()
            if record.released is None or now < record.expires
        )

    def eject(self, scope: Scope, capacity: Capacity, now: float) -> bool:
        """Eject ``scope`` and return whether it was not ejected yet.

        Raises FloorError if fewer slots than the floor would be left.
        """
        record = self._records_by_scope.get(scope)
        if record is not None and record.released is None:
            return False
        ejected = self.ejected_targets(now) | {scope.target}
        if capacity.slots_without(ejected) < capacity.floor_slots:
            raise FloorError(
                f"ejecting {scope.target!r} would leave less than the floor of"
                f" {capacity.floor_slots} slots"
            )
        self._records_by_scope[scope] = EjectionRecord(
            self._ejection_time_s(record, now), now
        )
        return True

    def release_due(self, gray: Collection[Scope], now: float) -> list[Scope]:
        """Release the scopes whose ejection time is over into slow start."""
        due = [
            scope
            for scope, record in self._records_by_scope.items()
            if record.released is None
            and now >= record.since + record.ejection_time_s
            and scope not in gray
        ]
        for scope in due:
            self._records_by_scope[scope].released = now
        return due

    def restore_floor(self, capacity: Capacity, now: float) -> list[Scope]:
        """Release the latest ejections until the floor is kept again."""
        released = []
        while capacity.slots_without(self._ejected_targets()) < capacity.floor_slots:
            latest = max(
                self._ejected_scopes(),
                key=lambda scope: (
                    self._records_by_scope[scope].since,
                    scope.target,
                ),
                default=None,
            )
            if latest is None:
                break
            self._records_by_scope[latest].released = now
            released.append(latest)
        return released

    def grant_weights(self, now: float) -> dict[Scope, float]:
        """Return the scopes below full weight and renew the leases of ejections."""
        weights_by_scope = {}
        for scope, record in self._records_by_scope.items():
            weight = record.weight(now)
            if weight == 0.0:
                record.expires = now + EJECTION_LEASE_S
            if weight < 1.0:
                weights_by_scope[scope] = weight
        return weights_by_scope

    def expire_records(self, now: float) -> None:
        """Delete the records of scopes that stayed healthy for RECORD_RETENTION_S."""
        expired = [
            scope
            for scope, record in self._records_by_scope.items()
            if record.released is not None
            and now - record.released > RECORD_RETENTION_S
        ]
        for scope in expired:
            del self._records_by_scope[scope]

    def _ejected_scopes(self) -> list[Scope]:
        return [s for s, r in self._records_by_scope.items() if r.released is None]

    def _ejected_targets(self) -> frozenset[str]:
        return frozenset(scope.target for scope in self._ejected_scopes())

    def _ejection_time_s(self, previous: EjectionRecord | None, now: float) -> float:
        if previous is None or previous.released is None:
            return BASE_EJECTION_TIME_S
        return min(previous.ejection_time_s * 2, MAX_EJECTION_TIME_S)
