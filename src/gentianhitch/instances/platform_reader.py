"""Read the head and the instances from the platform; write the member list."""

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
MAX_LIST_READS_PER_S = 100.0
"""Maximum rate of list reads, over all instances of a fleet without a majority."""

LoadHead = Callable[[bytes], Awaitable[bool]]


class StaleListError(GentianhitchError):
    """Another instance changed the member list before this write."""


@attrs.define(eq=False)
class PlatformReader:
    """Makes the platform calls of one instance, one of each kind at a time.

    ``load_head`` loads the value of a head and returns whether that succeeded.
    ``on_listing`` is called after each listing of the instances.
    """

    environment: str
    platform: Platform
    clock: IReactorTime
    freshness: Freshness
    schedule: ReadSchedule
    proposer: ListProposer
    load_head: LoadHead
    on_listing: Callable[[], None]
    members_digest: Callable[[], str | None]
    counts_by_name: Counter[str]
    _reads_in_progress: set[ReadKind] = attrs.Factory(set)
    _is_listing: bool = False
    _is_writing: bool = False
    _listed_at: float = float("-inf")
    _revision: int = 0
    _write_count: int = 0

    def tick(self) -> None:
        """Start the reads and the list write that are due."""
        now = self.clock.seconds()
        kind = self.schedule.due(now)
        if kind is not None and kind not in self._reads_in_progress:
            self._start(self._read(kind))
        if not self._is_listing and self._list_is_due(now):
            self._start(self._read_list())
        change = None if self._is_writing else self.proposer.propose(now)
        if change is not None:
            self._start(self._write_list(change))

    def _start(self, call: Coroutine[Deferred[Any], Any, None]) -> None:
        running = Deferred.fromCoroutine(call)
        running.addErrback(
            lambda failure: logger.error(
                "platform call failed: {}", failure.getTraceback()
            )
        )

    def _with_timeout(
        self, call: Coroutine[Deferred[Any], Any, T], timeout_s: float
    ) -> Deferred[T]:
        call_with_timeout = Deferred.fromCoroutine(call)
        call_with_timeout.addTimeout(timeout_s, self.clock)
        return call_with_timeout

    async def _read(self, kind: ReadKind) -> None:
        started_at = self.clock.seconds()
        self._reads_in_progress.add(kind)
        self.schedule.record_start(started_at)
        try:
            entry = await self._call_read(kind)
        except (PlatformError, DeferredTimeoutError):
            self._record_failure()
        else:
            self.schedule.record_success(self.clock.seconds())
            await self._record_head(kind, entry, started_at)
        finally:
            self._reads_in_progress.discard(kind)

    async def _call_read(self, kind: ReadKind) -> Entry | None:
        key = head_key(self.environment)
        if kind is ReadKind.GET:
            return await self._with_timeout(self._get(key), CALL_TIMEOUT_S)
        watch = self._watch(key)
        return await self._with_timeout(watch, CALL_TIMEOUT_S + WATCH_WAIT_S)

    async def _get(self, key: str) -> Entry | None:
        return await self.platform.get(key)

    async def _watch(self, key: str) -> Entry | None:
        return await self.platform.watch(
            key, after_revision=self._revision, wait_s=WATCH_WAIT_S
        )

    async def _record_head(
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
            if not await self.load_head(entry.value):
                return
            self._revision = max(self._revision, entry.revision)
        self.freshness.record_platform_read(sequence, started_at, self.clock.seconds())

    def _list_is_due(self, now: float) -> bool:
        current = self.freshness.current
        size = len(current.members) if current else 0
        if self.freshness.is_fresh_by_majority(now):
            is_reader = self.schedule.is_watcher()
            interval_s = LIST_INTERVAL_S
        else:
            is_reader = True
            interval_s = max(LIST_INTERVAL_S / 2, size / MAX_LIST_READS_PER_S)
        return is_reader and now - self._listed_at >= interval_s

    async def _read_list(self) -> None:
        started_at = self.clock.seconds()
        self._is_listing, self._listed_at = True, started_at
        try:
            listed = await self._with_timeout(self._list_instances(), CALL_TIMEOUT_S)
        except (PlatformError, DeferredTimeoutError):
            self.counts_by_name["fleet.failed_lists"] += 1
        else:
            self.proposer.update_listed(listed, started_at)
            self.on_listing()
        finally:
            self._is_listing = False

    async def _list_instances(self) -> Any:
        return await self.platform.list_instances()

    async def _write_list(self, change: ListChange) -> None:
        self._is_writing = True
        self._write_count += 1
        own = self.freshness.own.id
        write_id = f"list-{own.name}-{own.incarnation}-{self._write_count}"
        try:
            stored = await self._with_timeout(
                self._change_list(change, write_id), WRITE_TIMEOUT_S
            )
        except (HeadError, pieces.PieceError, StaleListError, DeferredTimeoutError):
            self.counts_by_name["fleet.failed_list_writes"] += 1
        else:
            self.counts_by_name["fleet.list_writes"] += 1
            await self.load_head(encode_head(stored.head))
        finally:
            self._is_writing = False

    async def _change_list(self, change: ListChange, write_id: str) -> StoredHead:
        old_digest = self.members_digest()
        member_list = MemberList(
            change.members, old_digest if change.has_predecessor else None
        )
        digest = await pieces.store(
            self.platform, self.environment, encode_list(member_list)
        )

        def edit(head: Head) -> Head:
            if head.members_digest != old_digest:
                raise StaleListError(
                    f"write {write_id}: another instance changed the member list first"
                )
            return attrs.evolve(head, members_digest=digest)

        return await change_head(self.platform, self.environment, write_id, edit)

    def _record_failure(self) -> None:
        self.schedule.record_failure()
        self.counts_by_name["fleet.failed_reads"] += 1
