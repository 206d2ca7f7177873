"""Remember idempotency keys, so that a repeat never runs again."""

from __future__ import annotations

import hashlib
from collections import OrderedDict
from enum import Enum
from typing import Protocol

import attrs

from gentianhitch.addresses import Address

REPEAT_WINDOW_S = 120.0
"""A caller's repeat is recognised for so long after the first request ended."""

MAX_KEYS = 50_000
MAX_STORED_RESPONSE_BYTES = 4 * 1024
MAX_STORED_TOTAL_BYTES = 16 * 1024 * 1024


class OwnershipStatus(Enum):
    """Where a key is remembered, as one instance sees it."""

    LOCAL = "here"
    REMOTE = "elsewhere"
    CONFIRM = "ask"
    MOVED = "moved"


@attrs.frozen
class KeyOwnership:
    """Where a key is remembered.

    HERE: only this instance can have run the key within the repeat window.
    ELSEWHERE: the instance at ``address`` decides.
    ASK: this instance decides, once the instances at ``ask`` vouch that the key
    did not run: each of them for itself, or, with ``any_peer_suffices``, the first that
    has followed the agreed list for long enough for everybody.
    MOVED: an instance that can't be asked may have run it: never run it again.
    """

    status: OwnershipStatus
    address: Address | None = None
    peers_to_ask: tuple[Address, ...] = ()
    any_peer_suffices: bool = False


class KeyOwners(Protocol):
    """Find the one instance that may run a key."""

    def locate(self, workspace: str | None, key: bytes, now: float) -> KeyOwnership:
        """Return where a key of a workspace is remembered."""
        ...

    def confirms_not_run(
        self, workspace: str | None, key: bytes, now: float, *, for_fleet: bool
    ) -> bool:
        """Tell whether a key that is not in this instance's memory did not run.

        Without ``for_fleet``, only this instance is meant. It must be pinned
        elsewhere, so that this instance will not run it later either.
        """
        ...


class LocalKeyOwners:
    """Assign every key to this instance: only for a fleet of one."""

    def locate(self, workspace: str | None, key: bytes, now: float) -> KeyOwnership:
        """Return this instance."""
        return KeyOwnership(OwnershipStatus.LOCAL)

    def confirms_not_run(
        self, workspace: str | None, key: bytes, now: float, *, for_fleet: bool
    ) -> bool:
        """Vouch for nothing: the key may run here at any time."""
        return False


@attrs.frozen
class StoredResponse:
    """A whole answer to a request with a key, given again to its repeats."""

    status: int
    reason: bytes
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes

    @property
    def size(self) -> int:
        """Return about how many bytes the answer takes."""
        return len(self.body) + sum(
            len(name) + len(value) for name, value in self.headers
        )


class RunState(Enum):
    """What became of a request with a key."""

    RUNNING = "running"
    UNKNOWN = "unknown"
    RESPONDED = "answered"


@attrs.define
class KeyRecord:
    """What an instance remembers of a key."""

    fingerprint: bytes
    state: RunState = RunState.RUNNING
    status: int | None = None
    response: StoredResponse | None = None
    ended_s: float = 0.0


class KeyVerdict(Enum):
    """What to do with a request that carries a key."""

    RUN = "run"
    REPEAT = "repeat"
    OTHER_REQUEST = "other request"
    FULL = "full"


@attrs.frozen
class KeyDecision:
    """A verdict, with the record of an earlier request."""

    verdict: KeyVerdict
    record: KeyRecord | None = None


def key_id(workspace: str | None, key: bytes) -> bytes:
    """Return the name under which a workspace's key is remembered."""
    label = b"\0" if workspace is None else workspace.encode()
    return hashlib.blake2b(key, digest_size=16, key=label[:64]).digest()


@attrs.define
class KeyRecords:
    """Remember the keys that this instance has run or runs, bounded.

    A key is forgotten ``REPEAT_WINDOW_S`` after its request ended, never
    earlier: when the memory is full, new keys are refused instead.
    """

    _records_by_id: OrderedDict[bytes, KeyRecord] = attrs.Factory(OrderedDict)
    _response_sizes_by_id: OrderedDict[bytes, int] = attrs.Factory(OrderedDict)
    _stored_bytes: int = 0

    def __len__(self) -> int:
        return len(self._records_by_id)

    def begin(self, id_: bytes, fingerprint: bytes, now: float) -> KeyDecision:
        """Decide whether a request may run, and remember it as running if so."""
        self._expire(now)
        record = self._records_by_id.get(id_)
        if record is not None:
            if record.fingerprint != fingerprint:
                return KeyDecision(KeyVerdict.OTHER_REQUEST, record)
            return KeyDecision(KeyVerdict.REPEAT, record)
        if len(self._records_by_id) >= MAX_KEYS:
            return KeyDecision(KeyVerdict.FULL)
        self._records_by_id[id_] = KeyRecord(fingerprint)
        return KeyDecision(KeyVerdict.RUN)

    def find(self, id_: bytes, now: float) -> KeyRecord | None:
        """Return what is remembered of a key."""
        self._expire(now)
        return self._records_by_id.get(id_)

    def discard(self, id_: bytes) -> None:
        """Drop a key whose request is known not to have run."""
        self._records_by_id.pop(id_, None)

    def finish(
        self,
        id_: bytes,
        status: int | None,
        response: StoredResponse | None,
        now: float,
    ) -> None:
        """Keep how a request that may have run ended."""
        record = self._records_by_id[id_]
        record.state = RunState.UNKNOWN if response is None else RunState.RESPONDED
        record.status = status
        record.ended_s = now
        self._records_by_id.move_to_end(id_)
        if response is not None and response.size <= MAX_STORED_RESPONSE_BYTES:
            record.response = response
            self._response_sizes_by_id[id_] = response.size
            self._stored_bytes += response.size
            while self._stored_bytes > MAX_STORED_TOTAL_BYTES:
                self._drop_response(next(iter(self._response_sizes_by_id)))

    def _expire(self, now: float) -> None:
        """Forget ended keys; running ones stand before them or among them."""
        for id_, record in tuple(self._oldest()):
            if record.state is RunState.RUNNING:
                continue
            if now - record.ended_s <= REPEAT_WINDOW_S:
                break
            self._drop_response(id_)
            del self._records_by_id[id_]

    def _oldest(self, count: int = 64) -> list[tuple[bytes, KeyRecord]]:
        iterator = iter(self._records_by_id.items())
        return [item for _, item in zip(range(count), iterator, strict=False)]

    def _drop_response(self, id_: bytes) -> None:
        size = self._response_sizes_by_id.pop(id_, None)
        if size is not None:
            self._stored_bytes -= size
            self._records_by_id[id_].response = None
