"""Record idempotency keys, so that a repeated request never runs twice."""

from __future__ import annotations

import hashlib
from collections import OrderedDict
from enum import Enum
from typing import Protocol

import attrs

from gentianhitch.addresses import Address

REPEAT_WINDOW_S = 120.0
"""Time after the end of the first request in which its repeats are recognised."""

MAX_KEYS = 50_000
MAX_STORED_RESPONSE_BYTES = 4 * 1024
MAX_STORED_TOTAL_BYTES = 16 * 1024 * 1024


class OwnershipStatus(Enum):
    """Who owns a key, as seen by one instance."""

    LOCAL = "here"
    REMOTE = "elsewhere"
    CONFIRM = "ask"
    MOVED = "moved"


@attrs.frozen
class KeyOwnership:
    """The owner of a key: the one instance that may run its request.

    LOCAL: only this instance can have run the key within the repeat window.
    REMOTE: the instance at ``address`` is the owner.
    CONFIRM: this instance is the owner, but may run the key only after the instances
    at ``peers_to_ask`` confirmed that it did not run: each of them for itself, or, with
    ``any_peer_suffices``, one that has followed the agreed list for the whole repeat
    window, for the whole fleet.
    MOVED: a former owner that cannot be queried may have run the key: do not run it.
    """

    status: OwnershipStatus
    address: Address | None = None
    peers_to_ask: tuple[Address, ...] = ()
    any_peer_suffices: bool = False


class KeyOwners(Protocol):
    """Finds the one instance that may run a key."""

    def locate(self, workspace: str | None, key: bytes, now: float) -> KeyOwnership:
        """Return who owns a key of a workspace."""
        ...

    def confirms_not_run(
        self, workspace: str | None, key: bytes, now: float, *, for_fleet: bool
    ) -> bool:
        """Return whether a key without a local record certainly did not run.

        Without ``for_fleet``, this covers the local instance only. The key must be
        owned by another instance, so that this one does not run it later either.
        """
        ...


class LocalKeyOwners:
    """Assigns every key to this instance; for a fleet of one instance only."""

    def locate(self, workspace: str | None, key: bytes, now: float) -> KeyOwnership:
        """Return that this instance owns the key."""
        return KeyOwnership(OwnershipStatus.LOCAL)

    def confirms_not_run(
        self, workspace: str | None, key: bytes, now: float, *, for_fleet: bool
    ) -> bool:
        """Return False: the key may run on this instance at any time."""
        return False


@attrs.frozen
class StoredResponse:
    """A complete response to a request with a key, replayed to its repeats."""

    status: int
    reason: bytes
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes

    @property
    def size(self) -> int:
        """Return the approximate size of the response in bytes."""
        return len(self.body) + sum(
            len(name) + len(value) for name, value in self.headers
        )


class RunState(Enum):
    """State of a request with a key.

    UNKNOWN: it ended without a complete response and may have run.
    """

    RUNNING = "running"
    UNKNOWN = "unknown"
    RESPONDED = "answered"


@attrs.define
class KeyRecord:
    """The last request with a key that this instance ran or runs."""

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
    """A verdict, with the record of the earlier request if there is one."""

    verdict: KeyVerdict
    record: KeyRecord | None = None


def key_id(workspace: str | None, key: bytes) -> bytes:
    """Return the id under which a workspace's key is recorded."""
    label = b"\0" if workspace is None else workspace.encode()
    return hashlib.blake2b(key, digest_size=16, key=label[:64]).digest()


@attrs.define
class KeyRecords:
    """Records of the keys that this instance has run or runs, at most ``MAX_KEYS``.

    A record expires ``REPEAT_WINDOW_S`` after its request ended, never earlier: when
    there are ``MAX_KEYS`` records, new keys are refused instead.
    """

    _records_by_id: OrderedDict[bytes, KeyRecord] = attrs.Factory(OrderedDict)
    _response_sizes_by_id: OrderedDict[bytes, int] = attrs.Factory(OrderedDict)
    _stored_bytes: int = 0

    def __len__(self) -> int:
        return len(self._records_by_id)

    def begin(self, id_: bytes, fingerprint: bytes, now: float) -> KeyDecision:
        """Return whether a request may run, and record it as running if so."""
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
        """Return the record of a key, or None."""
        self._expire(now)
        return self._records_by_id.get(id_)

    def discard(self, id_: bytes) -> None:
        """Remove the record of a request that is known not to have run."""
        self._records_by_id.pop(id_, None)

    def finish(
        self,
        id_: bytes,
        status: int | None,
        response: StoredResponse | None,
        now: float,
    ) -> None:
        """Record how a request that may have run ended.

        Only small responses are stored. Above ``MAX_STORED_TOTAL_BYTES``, the oldest
        are dropped, but not their keys.
        """
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
        """Remove expired records; running ones stand before them or among them."""
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
