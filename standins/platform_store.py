"""Keep the stand-in platform's keys, leases and lagging list."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Mapping
from typing import Any

import attrs

Clock = Callable[[], float]


class StoreConflictError(Exception):
    """A compare-and-swap found another revision."""

    def __init__(self, current: Record | None) -> None:
        super().__init__("conflict")
        self.current = current


@attrs.frozen
class Record:
    """One key with its base64 value and the revision of its last write."""

    key: str
    value: str
    revision: int
    lease: str | None = None
    created: int = 0


@attrs.frozen
class StoreCopy:
    """What a store held at ``taken_s`` of its clock."""

    taken_s: float
    records_by_key: dict[str, Record]
    leases_by_id: dict[str, LeaseRecord]
    revision: int


@attrs.define
class LeaseRecord:
    """One running lease."""

    ttl_s: float
    ends_at: float


@attrs.define
class Store:
    """Hold keys with compare-and-swap and delete those whose lease ends.

    ``era`` counts the returns from a copy.
    """

    clock: Clock
    records_by_key: dict[str, Record] = attrs.Factory(dict)
    leases_by_id: dict[str, LeaseRecord] = attrs.Factory(dict)
    revision: int = 0
    era: int = 0
    _returned_at: int = 0

    def get(self, key: str) -> Record | None:
        """Read one key."""
        self._expire()
        return self.records_by_key.get(key)

    def put(self, key: str, value: str, expected: int, lease: str | None) -> Record:
        """Write if the key is still at ``expected`` (0: absent)."""
        self._require(key, expected)
        if lease is not None and lease not in self.leases_by_id:
            raise StoreConflictError(self.records_by_key.get(key))
        current = self.records_by_key.get(key)
        self.revision += 1
        created = self.revision if current is None else current.created
        record = Record(key, value, self.revision, lease, created)
        self.records_by_key[key] = record
        return record

    def delete(self, key: str, expected: int) -> None:
        """Delete if the key is still at ``expected``."""
        self._require(key, expected)
        self.revision += 1
        self.records_by_key.pop(key, None)

    def range(self, prefix: str, after: str) -> list[Record]:
        """Return the records under a prefix and past a key, in key order."""
        self._expire()
        return [
            record
            for key, record in sorted(self.records_by_key.items())
            if key.startswith(prefix) and key > after
        ]

    def grant(self, ttl_s: float) -> str:
        """Create a lease and return its id."""
        self.revision += 1
        lease = f"lease-{self.revision}"
        self.leases_by_id[lease] = LeaseRecord(ttl_s, self.clock() + ttl_s)
        return lease

    def renew(self, lease: str) -> None:
        """Renew a lease that has not ended."""
        self._expire()
        if lease not in self.leases_by_id:
            raise StoreConflictError(None)
        record = self.leases_by_id[lease]
        record.ends_at = self.clock() + record.ttl_s

    def end(self, lease: str) -> None:
        """End a lease and remove its keys."""
        if lease in self.leases_by_id:
            self.leases_by_id[lease].ends_at = self.clock()
            self._expire()

    def copy(self) -> StoreCopy:
        """Return a copy of everything."""
        leases = {id_: attrs.evolve(one) for id_, one in self.leases_by_id.items()}
        return StoreCopy(self.clock(), dict(self.records_by_key), leases, self.revision)

    def return_from(self, copy: StoreCopy, pause_s: float) -> dict[str, str | None]:
        """Go back to a copy, where leases go on after a pause of ``pause_s``.

        Return the values that were lost, by key; None for a lost delete.
        """
        before = self.records_by_key
        lost = {
            key: None if key not in before else before[key].value
            for key in before.keys() | copy.records_by_key.keys()
            if before.get(key) != copy.records_by_key.get(key)
        }
        self.records_by_key = dict(copy.records_by_key)
        self.leases_by_id = {
            id_: LeaseRecord(one.ttl_s, one.ends_at + pause_s)
            for id_, one in copy.leases_by_id.items()
        }
        self.revision = copy.revision
        self.era += 1
        self._returned_at = copy.revision
        return lost

    def write_again(self, lost: Mapping[str, str | None]) -> None:
        """Write lost values, except where there was another write since the return."""
        for key, value in lost.items():
            current = self.records_by_key.get(key)
            revision = 0 if current is None else current.revision
            if revision > self._returned_at:
                continue
            if value is not None:
                self.put(key, value, revision, None)
            elif current is not None:
                self.delete(key, revision)

    def _require(self, key: str, expected: int) -> None:
        self._expire()
        current = self.records_by_key.get(key)
        if (current.revision if current else 0) != expected:
            raise StoreConflictError(current)

    def _expire(self) -> None:
        now = self.clock()
        ended = {id_ for id_, one in self.leases_by_id.items() if one.ends_at <= now}
        if not ended:
            return
        for id_ in ended:
            del self.leases_by_id[id_]
        for key, record in list(self.records_by_key.items()):
            if record.lease in ended:
                self.revision += 1
                del self.records_by_key[key]


@attrs.define
class LaggingList:
    """Show the list of entry instances as it was ``lag_s`` ago."""

    clock: Clock
    lag_s: float = 0.0
    current: tuple[dict[str, Any], ...] = ()
    _changes: list[tuple[float, tuple[dict[str, Any], ...]]] = attrs.Factory(list)

    def set(self, instances: list[dict[str, Any]]) -> None:
        """Replace the list; readers see it after the lag."""
        self.current = tuple(instances)
        self._changes.append((self.clock(), self.current))

    def upsert(self, instance: dict[str, Any]) -> None:
        """Add one instance or replace the one of the same name."""
        self.set([*self._others(instance["name"]), instance])

    def remove(self, name: str) -> None:
        """Remove one instance."""
        self.set(self._others(name))

    def visible(self) -> tuple[dict[str, Any], ...]:
        """Return what readers see now."""
        seen_until = self.clock() - self.lag_s
        seen = [value for at, value in self._changes if at <= seen_until]
        return seen[-1] if seen else ()

    def _others(self, name: str) -> list[dict[str, Any]]:
        return [one for one in self.current if one["name"] != name]
