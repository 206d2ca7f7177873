"""In-memory platform with fault injection, for tests and soak runs."""

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
    """State and faults that all clients of one platform share.

    ``outage`` rejects every call, ``delay_s`` delays every call, and
    ``lost_replies`` is the number of next calls that take effect but whose responses
    are lost. ``listed`` is the content of the instance list, which lags.
    ``before_put`` is called with a key before it is written, so that a test can
    provoke a race.
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

    def require_revision(self, key: str, expected_revision: int) -> None:
        """Raise ConflictError unless ``key`` is at ``expected_revision``."""
        current = self.entries_by_key.get(key)
        if (current.revision if current else ABSENT) != expected_revision:
            raise ConflictError(current)

    def write(self, key: str, value: bytes, lease: Lease | None) -> Entry:
        """Write ``key`` and wake all watches; each checks its own key."""
        if len(value) > MAX_VALUE_BYTES:
            raise PlatformError(
                f"value of {key!r} is {len(value)} bytes, limit is {MAX_VALUE_BYTES}"
            )
        if lease is not None:
            self.get_lease(lease).keys.add(key)
        self.revision += 1
        entry = Entry(key, value, self.revision)
        self.entries_by_key[key] = entry
        waiting, self.watches = self.watches, set()
        for watch in waiting:
            _fire(watch)
        return entry

    def get_lease(self, lease: Lease) -> _LeaseState:
        """Return an active lease; raise ConflictError if it has ended."""
        state = self.leases_by_id.get(lease.id)
        if state is None:
            raise ConflictError(None)
        return state


@attrs.define(eq=False)
class MemoryPlatform:
    """One client of a ``MemoryStore``, with connection faults of its own.

    With ``requests_lost`` a call does not reach the store. With ``replies_lost`` it
    takes effect, but its response is lost. With ``late_s`` a write fails at once with
    OutcomeUnknownError and takes effect after this time.
    """

    shared: MemoryStore
    requests_lost: bool = False
    replies_lost: bool = False
    late_s: float = 0.0

    async def get(self, key: str) -> Entry | None:
        """Read one key; None if it does not exist."""
        return await self._read("get", lambda: self.shared.entries_by_key.get(key))

    async def put(
        self,
        key: str,
        value: bytes,
        *,
        expected_revision: int,
        lease: Lease | None = None,
    ) -> Entry:
        """Write the key if it is still at ``expected_revision``."""

        def apply() -> Entry:
            self.shared.before_put(key)
            self.shared.require_revision(key, expected_revision)
            return self.shared.write(key, value, lease)

        return await self._write("put", apply)

    async def delete(self, key: str, *, expected_revision: int) -> None:
        """Delete the key if it is still at ``expected_revision``."""

        def apply() -> None:
            self.shared.require_revision(key, expected_revision)
            self.shared.entries_by_key.pop(key, None)

        await self._write("delete", apply)

    async def watch(
        self, key: str, *, after_revision: int, wait_s: float
    ) -> Entry | None:
        """Return the key once it is past ``after_revision``; None after ``wait_s``."""
        await self._receive_call("watch", UnavailableError)
        ends_at = self.shared.clock.seconds() + wait_s
        while True:
            entry = self.shared.entries_by_key.get(key)
            if entry is not None and entry.revision > after_revision:
                break
            remaining_s = ends_at - self.shared.clock.seconds()
            if remaining_s <= 0:
                entry = None
                break
            await self._wait_for_write(remaining_s)
        self._raise_if_reply_lost(UnavailableError)
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
        """Renew a lease; raise ConflictError if it has already ended."""

        def apply() -> None:
            ends_at = self.shared.clock.seconds() + lease.ttl_s
            self.shared.get_lease(lease).ends_at = ends_at

        await self._write("renew_lease", apply)

    async def list_instances(self) -> tuple[ListedInstance, ...]:
        """Read the list of live and leaving entry instances, which lags."""
        return await self._read("list_instances", lambda: self.shared.listed)

    async def _read(self, kind: str, apply: Callable[[], T]) -> T:
        return await self._call(kind, apply, UnavailableError)

    async def _write(self, kind: str, apply: Callable[[], T]) -> T:
        if self.late_s:
            self.shared.clock.callLater(self.late_s, _apply_late, apply)
            raise OutcomeUnknownError(f"{kind}: no response in time")
        return await self._call(kind, apply, OutcomeUnknownError)

    async def _call(
        self, kind: str, apply: Callable[[], T], error_type: type[PlatformError]
    ) -> T:
        await self._receive_call(kind, error_type)
        try:
            result = apply()
        except PlatformError:
            self._raise_if_reply_lost(error_type)
            raise
        self._raise_if_reply_lost(error_type)
        return result

    async def _receive_call(self, kind: str, error_type: type[PlatformError]) -> None:
        if self.shared.delay_s:
            await self._make_timer(self.shared.delay_s)
        if self.requests_lost:
            raise error_type(f"{kind}: request lost")
        if self.shared.outage:
            raise UnavailableError("outage: the platform rejects all calls")
        self.shared.calls_by_kind[kind] += 1
        self.shared.expire_leases()

    def _raise_if_reply_lost(self, error_type: type[PlatformError]) -> None:
        if self.replies_lost:
            raise error_type("response lost")
        if self.shared.lost_replies:
            self.shared.lost_replies -= 1
            raise error_type("response lost")

    async def _wait_for_write(self, wait_s: float) -> None:
        wakeup = self._make_timer(wait_s)
        self.shared.watches.add(wakeup)
        await wakeup
        self.shared.watches.discard(wakeup)

    def _make_timer(self, wait_s: float) -> Deferred[None]:
        waiting: Deferred[None] = Deferred()
        self.shared.clock.callLater(wait_s, _fire, waiting)
        return waiting


def _apply_late(apply: Callable[[], object]) -> None:
    with contextlib.suppress(PlatformError):
        apply()


def _fire(waiting: Deferred[None]) -> None:
    if not waiting.called:
        waiting.callback(None)
