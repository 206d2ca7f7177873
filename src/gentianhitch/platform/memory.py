"""A platform in memory with failure switches, for tests and soak runs."""

from __future__ import annotations

import contextlib
from collections import Counter
from collections.abc import Callable
from typing import TypeVar

import attrs
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from gentianhitch.platform.interface import ABSENT
from gentianhitch.platform.interface import MAX_VALUE_BYTES
from gentianhitch.platform.interface import ConflictError
from gentianhitch.platform.interface import Entry
from gentianhitch.platform.interface import Lease
from gentianhitch.platform.interface import ListedInstance
from gentianhitch.platform.interface import OutcomeUnknownError
from gentianhitch.platform.interface import PlatformError
from gentianhitch.platform.interface import UnavailableError

T = TypeVar("T")


def _ignore(key: str) -> None:
    pass


@attrs.define
class _LeaseState:
    ends_at: float
    keys: set[str] = attrs.Factory(set)


@attrs.define(eq=False)
class MemoryStore:
    """Hold what all clients of one platform share.

    ``outage`` refuses every call, ``delay_s`` slows every call, and
    ``lost_replies`` is the number of coming replies that are lost after their
    call took effect. ``listed`` is what the lagging list shows. ``before_put`` is
    called with each key that is about to be written, to place a race.
    """

    clock: Clock
    outage: bool = False
    delay_s: float = 0.0
    lost_replies: int = 0
    listed: tuple[ListedInstance, ...] = ()
    before_put: Callable[[str], None] = _ignore
    calls_by_kind: Counter[str] = attrs.Factory(Counter)
    revision: int = 0
    entries_by_key: dict[str, Entry] = attrs.Factory(dict)
    leases_by_id: dict[str, _LeaseState] = attrs.Factory(dict)
    watches: set[Deferred[None]] = attrs.Factory(set)

    def expire_leases(self) -> None:
        """Delete the keys of every lease that has ended."""
        now = self.clock.seconds()
        for id_, lease in list(self.leases_by_id.items()):
            if lease.ends_at <= now:
                del self.leases_by_id[id_]
                for key in lease.keys:
                    self.entries_by_key.pop(key, None)

    def require(self, key: str, expected_revision: int) -> None:
        """Raise ConflictError unless ``key`` is at ``expected_revision``."""
        current = self.entries_by_key.get(key)
        if (current.revision if current else ABSENT) != expected_revision:
            raise ConflictError(current)

    def write(self, key: str, value: bytes, lease: Lease | None) -> Entry:
        """Write ``key`` and wake its watches."""
        if len(value) > MAX_VALUE_BYTES:
            raise PlatformError(f"value of {key!r} is above {MAX_VALUE_BYTES} bytes")
        if lease is not None:
            self.lease(lease).keys.add(key)
        self.revision += 1
        entry = Entry(key, value, self.revision)
        self.entries_by_key[key] = entry
        waiting, self.watches = self.watches, set()
        for watch in waiting:
            _fire(watch)
        return entry

    def lease(self, lease: Lease) -> _LeaseState:
        """Return a running lease; raise ConflictError when it has ended."""
        state = self.leases_by_id.get(lease.id)
        if state is None:
            raise ConflictError(None)
        return state


@attrs.define(eq=False)
class MemoryPlatform:
    """One client of a ``MemoryStore``, with one-way cuts of its own.

    While ``requests_lost`` a call never arrives; while ``replies_lost`` it takes
    effect and its answer is lost. With ``late_s`` a write is given up at once and
    takes effect that much later.
    """

    shared: MemoryStore
    requests_lost: bool = False
    replies_lost: bool = False
    late_s: float = 0.0

    async def get(self, key: str) -> Entry | None:
        """Read one key; None when it is absent."""
        return await self._read("get", lambda: self.shared.entries_by_key.get(key))

    async def put(
        self,
        key: str,
        value: bytes,
        *,
        expected_revision: int,
        lease: Lease | None = None,
    ) -> Entry:
        """Write if the key is still at ``expected_revision``."""

        def apply() -> Entry:
            self.shared.before_put(key)
            self.shared.require(key, expected_revision)
            return self.shared.write(key, value, lease)

        return await self._write("put", apply)

    async def delete(self, key: str, *, expected_revision: int) -> None:
        """Delete if the key is still at ``expected_revision``."""

        def apply() -> None:
            self.shared.require(key, expected_revision)
            self.shared.entries_by_key.pop(key, None)

        await self._write("delete", apply)

    async def watch(
        self, key: str, *, after_revision: int, wait_s: float
    ) -> Entry | None:
        """Wait until the key is past ``after_revision``; None after ``wait_s``."""
        await self._arrive("watch", UnavailableError)
        ends_at = self.shared.clock.seconds() + wait_s
        while True:
            entry = self.shared.entries_by_key.get(key)
            if entry is not None and entry.revision > after_revision:
                break
            remaining_s = ends_at - self.shared.clock.seconds()
            if remaining_s <= 0:
                entry = None
                break
            await self._changed(remaining_s)
        self._reply(UnavailableError)
        return entry

    async def grant_lease(self, ttl_s: float) -> Lease:
        """Create a lease of ``ttl_s`` seconds."""

        def apply() -> Lease:
            self.shared.revision += 1
            lease = Lease(f"lease-{self.shared.revision}", ttl_s)
            ends_at = self.shared.clock.seconds() + ttl_s
            self.shared.leases_by_id[lease.id] = _LeaseState(ends_at)
            return lease

        return await self._write("grant_lease", apply)

    async def renew_lease(self, lease: Lease) -> None:
        """Renew a lease; raise ConflictError when it has already ended."""

        def apply() -> None:
            ends_at = self.shared.clock.seconds() + lease.ttl_s
            self.shared.lease(lease).ends_at = ends_at

        await self._write("renew_lease", apply)

    async def list_instances(self) -> tuple[ListedInstance, ...]:
        """Read the lagging list of live and leaving entry instances."""
        return await self._read("list_instances", lambda: self.shared.listed)

    async def _read(self, kind: str, apply: Callable[[], T]) -> T:
        return await self._call(kind, apply, UnavailableError)

    async def _write(self, kind: str, apply: Callable[[], T]) -> T:
        if self.late_s:
            self.shared.clock.callLater(self.late_s, _apply_late, apply)
            raise OutcomeUnknownError(f"no answer to {kind} in time")
        return await self._call(kind, apply, OutcomeUnknownError)

    async def _call(
        self, kind: str, apply: Callable[[], T], lost: type[PlatformError]
    ) -> T:
        await self._arrive(kind, lost)
        try:
            answer = apply()
        except PlatformError:
            self._reply(lost)
            raise
        self._reply(lost)
        return answer

    async def _arrive(self, kind: str, lost: type[PlatformError]) -> None:
        if self.shared.delay_s:
            await self._fires_after(self.shared.delay_s)
        if self.requests_lost:
            raise lost(f"no answer to {kind}")
        if self.shared.outage:
            raise UnavailableError("the platform refuses connections")
        self.shared.calls_by_kind[kind] += 1
        self.shared.expire_leases()

    def _reply(self, lost: type[PlatformError]) -> None:
        if self.replies_lost:
            raise lost("the answer was lost")
        if self.shared.lost_replies:
            self.shared.lost_replies -= 1
            raise lost("the answer was lost")

    async def _changed(self, wait_s: float) -> None:
        changed = self._fires_after(wait_s)
        self.shared.watches.add(changed)
        await changed
        self.shared.watches.discard(changed)

    def _fires_after(self, wait_s: float) -> Deferred[None]:
        waiting: Deferred[None] = Deferred()
        self.shared.clock.callLater(wait_s, _fire, waiting)
        return waiting


def _apply_late(apply: Callable[[], object]) -> None:
    with contextlib.suppress(PlatformError):
        apply()


def _fire(waiting: Deferred[None]) -> None:
    if not waiting.called:
        waiting.callback(None)
