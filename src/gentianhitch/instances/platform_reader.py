"""Read the head and the list of instances from the platform, and change the list."""

from __future__ import annotations

from collections import Counter
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Coroutine
from typing import Any
from typing import TypeVar

import attrs
from loguru import logger
from twisted.internet.defer import Deferred
from twisted.internet.defer import TimeoutError as DeferredTimeoutError
from twisted.internet.interfaces import IReactorTime

from gentianhitch.decisions.freshness import Freshness
from gentianhitch.decisions.member_list import MemberList
from gentianhitch.decisions.member_list import encode_list
from gentianhitch.decisions.membership import ListChange
from gentianhitch.decisions.membership import ListProposer
from gentianhitch.decisions.platform_reads import WATCH_WAIT_S
from gentianhitch.decisions.platform_reads import ReadKind
from gentianhitch.decisions.platform_reads import ReadSchedule
from gentianhitch.errors import GentianhitchError
from gentianhitch.operators import pieces
from gentianhitch.operators.head import Head
from gentianhitch.operators.head import HeadError
from gentianhitch.operators.head import StoredHead
from gentianhitch.operators.head import change_head
from gentianhitch.operators.head import encode_head
from gentianhitch.operators.head import head_key
from gentianhitch.operators.head import stored_head
from gentianhitch.platform.interface import Entry
from gentianhitch.platform.interface import Platform
from gentianhitch.platform.interface import PlatformError

T = TypeVar("T")

CALL_TIMEOUT_S = 3.0
WRITE_TIMEOUT_S = 15.0
LIST_INTERVAL_S = 4.0
LISTS_PER_S = 100.0
"""Bound of list reads by a whole fleet that lost its majority."""

TakeHead = Callable[[bytes], Awaitable[bool]]


class StaleListError(GentianhitchError):
    """Another writer changed the agreed list first."""


@attrs.define(eq=False)
class PlatformReader:
    """Drive one instance's platform calls: one of each kind at a time.

    ``take_head`` loads the value of a head; its result tells whether it worked.
    """

    environment: str
    platform: Platform
    clock: IReactorTime
    freshness: Freshness
    schedule: ReadSchedule
    writer: ListProposer
    take_head: TakeHead
    on_list: Callable[[], None]
    members_digest: Callable[[], str | None]
    counts_by_name: Counter[str]
    _reading: set[ReadKind] = attrs.Factory(set)
    _listing: bool = False
    _writing: bool = False
    _listed_at: float = float("-inf")
    _revision: int = 0
    _writes: int = 0

    def tick(self) -> None:
        """Begin the calls that are due."""
        now = self.clock.seconds()
        kind = self.schedule.due(now)
        if kind is not None and kind not in self._reading:
            self._start(self._read(kind))
        if not self._listing and self._list_is_due(now):
            self._start(self._read_list())
        change = None if self._writing else self.writer.propose(now)
        if change is not None:
            self._start(self._write_list(change))

    def _start(self, call: Coroutine[Deferred[Any], Any, None]) -> None:
        running = Deferred.fromCoroutine(call)
        running.addErrback(
            lambda failure: logger.error(
                "platform call failed: {}", failure.getTraceback()
            )
        )

    def _bounded(
        self, call: Coroutine[Deferred[Any], Any, T], timeout_s: float
    ) -> Deferred[T]:
        bounded = Deferred.fromCoroutine(call)
        bounded.addTimeout(timeout_s, self.clock)
        return bounded

    async def _read(self, kind: ReadKind) -> None:
        started_at = self.clock.seconds()
        self._reading.add(kind)
        self.schedule.record_start(started_at)
        try:
            entry = await self._call_read(kind)
        except (PlatformError, DeferredTimeoutError):
            self._fail()
        else:
            self.schedule.record_success(self.clock.seconds())
            await self._take(kind, entry, started_at)
        finally:
            self._reading.discard(kind)

    async def _call_read(self, kind: ReadKind) -> Entry | None:
        key = head_key(self.environment)
        if kind is ReadKind.GET:
            return await self._bounded(self._get(key), CALL_TIMEOUT_S)
        watch = self._watch(key)
        return await self._bounded(watch, CALL_TIMEOUT_S + WATCH_WAIT_S)

    async def _get(self, key: str) -> Entry | None:
        return await self.platform.get(key)

    async def _watch(self, key: str) -> Entry | None:
        return await self.platform.watch(
            key, after_revision=self._revision, wait_s=WATCH_WAIT_S
        )

    async def _take(
        self, kind: ReadKind, entry: Entry | None, started_at: float
    ) -> None:
        if entry is None:
            sequence = self.freshness.sequence if kind is ReadKind.WATCH else 0
        else:
            try:
                sequence = stored_head(entry).head.sequence
            except HeadError:
                self.counts_by_name["fleet.malformed_heads"] += 1
                return
            if not await self.take_head(entry.value):
                return
            self._revision = max(self._revision, entry.revision)
        self.freshness.record_platform_read(sequence, started_at, self.clock.seconds())

    def _list_is_due(self, now: float) -> bool:
        current = self.freshness.current
        size = len(current.members) if current else 0
        if self.freshness.is_fresh_by_majority(now):
            wanted = self.schedule.is_watcher()
            interval_s = LIST_INTERVAL_S
        else:
            wanted = True
            interval_s = max(LIST_INTERVAL_S / 2, size / LISTS_PER_S)
        return wanted and now - self._listed_at >= interval_s

    async def _read_list(self) -> None:
        started_at = self.clock.seconds()
        self._listing, self._listed_at = True, started_at
        try:
            listed = await self._bounded(self._list(), CALL_TIMEOUT_S)
        except (PlatformError, DeferredTimeoutError):
            self.counts_by_name["fleet.failed_lists"] += 1
        else:
            self.writer.update_listed(listed, started_at)
            self.on_list()
        finally:
            self._listing = False

    async def _list(self) -> Any:
        return await self.platform.list_instances()

    async def _write_list(self, change: ListChange) -> None:
        self._writing = True
        self._writes += 1
        own = self.freshness.own.id
        write_id = f"list-{own.name}-{own.incarnation}-{self._writes}"
        try:
            stored = await self._bounded(
                self._change_list(change, write_id), WRITE_TIMEOUT_S
            )
        except (HeadError, pieces.PieceError, StaleListError, DeferredTimeoutError):
            self.counts_by_name["fleet.failed_list_writes"] += 1
        else:
            self.counts_by_name["fleet.list_writes"] += 1
            await self.take_head(encode_head(stored.head))
        finally:
            self._writing = False

    async def _change_list(self, change: ListChange, write_id: str) -> StoredHead:
        before = self.members_digest()
        agreed = MemberList(change.members, before if change.has_predecessor else None)
        digest = await pieces.store(
            self.platform, self.environment, encode_list(agreed)
        )

        def edit(head: Head) -> Head:
            if head.members_digest != before:
                raise StaleListError("the agreed list was changed by another")
            return attrs.evolve(head, members_digest=digest)

        return await change_head(self.platform, self.environment, write_id, edit)

    def _fail(self) -> None:
        self.schedule.record_failure()
        self.counts_by_name["fleet.failed_reads"] += 1
