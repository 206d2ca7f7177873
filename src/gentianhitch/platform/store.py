"""Client of the platform's key-value store."""

from __future__ import annotations

import base64
from collections.abc import Callable
from http import HTTPStatus
from typing import Any
from urllib.parse import urlencode

import attrs
import msgspec
from twisted.internet.defer import CancelledError
from twisted.internet.error import ConnectionDone
from twisted.internet.error import ConnectionLost
from twisted.internet.error import TimeoutError as TwistedTimeoutError
from twisted.web.client import ResponseFailed

from gentianhitch import json_codec
from gentianhitch.addresses import Address
from gentianhitch.http_client import NOT_SENT_ERRORS
from gentianhitch.http_client import Answer
from gentianhitch.http_client import Progress
from gentianhitch.http_client import StalledError
from gentianhitch.http_client import call
from gentianhitch.http_client import make_agent
from gentianhitch.http_client import make_pool
from gentianhitch.platform.interface import OutcomeUnknownError
from gentianhitch.platform.interface import PlatformError
from gentianhitch.platform.interface import UnavailableError
from gentianhitch.platform.wire_names import STORE_ERA
from gentianhitch.proxy.store_revision import StoreRevision

CONNECT_TIMEOUT_S = 0.5
STALL_TIMEOUT_S = 1.0
"""A call fails when no byte of its response arrives for this long."""

MAX_CONNECTIONS = 3
"""One each for the listing, the configuration and the lease: their calls overlap."""

NO_ERA = 0
"""Era of a store that names none."""

MAX_ERA_DIGITS = 15

RESPONSE_LOST_ERRORS = (
    CancelledError,
    ConnectionDone,
    ConnectionLost,
    ResponseFailed,
    StalledError,
    TwistedTimeoutError,
)


class LeaseEndedError(PlatformError):
    """The lease has ended and the store has deleted its keys."""


@attrs.frozen
class GrantedLease:
    """A lease, and the era of the store that granted it.

    In a later era it may be gone, or its number be that of another lease.
    """

    number: int
    era: int = NO_ERA


@attrs.frozen
class Item:
    """One item of the store; revisions number the writes to all keys together.

    ``era`` is that of the store when the item was read.
    """

    key: str
    value: bytes
    revision: int
    created_revision: int
    era: int = NO_ERA

    @property
    def written(self) -> StoreRevision:
        """Return the revision of the item's last write."""
        return StoreRevision(self.era, self.revision)


@attrs.frozen
class Page:
    """Items in key order, complete up to the store's ``revision``."""

    items: tuple[Item, ...]
    revision: StoreRevision


class _WireItem(msgspec.Struct):
    key: str
    value: str
    revision: int
    created: int


class _WireRange(msgspec.Struct, rename="camel"):
    items: list[_WireItem]
    has_more: bool
    # The store's revision at the time of the read.
    at: int


class _WireLease(msgspec.Struct, rename="camel"):
    lease: int
    ttl_ms: float


class _WireConflict(msgspec.Struct):
    # Current items of the keys whose revision differs from the expected one.
    items: list[_WireItem]


_item_decoder = msgspec.json.Decoder(_WireItem)
_conflict_decoder = msgspec.json.Decoder(_WireConflict)
_range_decoder = msgspec.json.Decoder(_WireRange)
_lease_decoder = msgspec.json.Decoder(_WireLease)


class KeyValueStore:
    """Calls the store over a small pool of persistent connections.

    A call raises UnavailableError when it was not sent or failed, and
    OutcomeUnknownError when its response was lost. ``calls`` counts the calls.
    ``on_era`` is called with the era of each response of the store.
    """

    def __init__(
        self,
        reactor: Any,
        address: Address,
        on_era: Callable[[int], object] = lambda era: None,
    ) -> None:
        self._reactor = reactor
        self._on_era = on_era
        self._base_url = f"http://{address}"
        self._pool = make_pool(reactor, MAX_CONNECTIONS)
        self._agent = make_agent(reactor, self._pool, CONNECT_TIMEOUT_S)
        self.calls = 0

    async def read_range(
        self, prefix: str, after: str = "", progress: Progress | None = None
    ) -> Page:
        """Read all items under ``prefix`` whose keys sort after ``after``, by pages."""
        items: list[Item] = []
        first: StoreRevision | None = None
        while True:
            query = {"prefix": prefix}
            if after:
                query["after"] = after
            path = f"/v1/kv-range?{urlencode(query)}"
            response = await self._call("GET", path, progress=progress)
            page = _decode(_range_decoder, _ok_body(response, path))
            era = _era(response)
            items += [_decode_item(item, era) for item in page.items]
            # Pages are not one snapshot: writes between two pages may be missing. The
            # result is complete only up to the first page's revision.
            first = StoreRevision(era, page.at) if first is None else first
            if era != first.era:
                raise UnavailableError(f"{path}: the store has returned from a copy")
            if not page.has_more or not page.items:
                return Page(tuple(items), first)
            after = page.items[-1].key

    async def read(self, key: str, progress: Progress | None = None) -> Item | None:
        """Read the current state of one item; None if the key does not exist."""
        path = f"/v1/kv-key?{urlencode({'key': key})}"
        response = await self._call("GET", path, progress=progress)
        if response.status == HTTPStatus.NOT_FOUND:
            return None
        item = _decode(_item_decoder, _ok_body(response, path))
        return _decode_item(item, _era(response))

    async def read_if_changed(
        self, key: str, revision: StoreRevision, progress: Progress | None = None
    ) -> Item | None:
        """Read one item; None if it is still at ``revision``.

        Sends a transaction without writes: its response contains the item only if the
        revision differs, so an unchanged item is not transferred.
        """
        path = "/v1/kv-txn"
        expect = [{"key": key, "revision": revision.number}]
        body = {"expect": expect, "puts": [], "deletes": []}
        response = await self._call("POST", path, body, progress=progress)
        if response.status != HTTPStatus.PRECONDITION_FAILED:
            _ok_body(response, path)
            if _era(response) == revision.era:
                return None
            # Another write may have been given the same number.
            item = await self.read(key, progress)
            if item is None:
                raise UnavailableError(f"{key}: does not exist any more")
            return item
        for each in _decode(_conflict_decoder, response.body).items:
            if each.key == key:
                return _decode_item(each, _era(response))
        raise UnavailableError(f"{path}: conflict response does not contain {key}")

    async def grant_lease(self, ttl_s: float) -> GrantedLease:
        """Create a lease of ``ttl_s`` seconds."""
        path = "/v1/kv-lease"
        response = await self._call("POST", path, {"ttlMs": int(ttl_s * 1000)})
        granted: _WireLease = _decode(_lease_decoder, _ok_body(response, path))
        return GrantedLease(granted.lease, _era(response))

    async def renew_lease(self, lease: int) -> None:
        """Extend a lease by its duration; raise LeaseEndedError if it has ended."""
        path = f"/v1/kv-keep/{lease}"
        _ok_lease_body(await self._call("POST", path), path)

    async def end_lease(self, lease: int) -> None:
        """End a lease and so delete its keys; raise LeaseEndedError if it has ended."""
        path = f"/v1/kv-lease-end/{lease}"
        _ok_lease_body(await self._call("DELETE", path), path)

    async def put(self, key: str, value: bytes, *, lease: int) -> None:
        """Write one item under a lease; raise LeaseEndedError if it has ended."""
        put = {"key": key, "value": base64.b64encode(value).decode(), "lease": lease}
        body = {"expect": [], "puts": [put], "deletes": []}
        path = "/v1/kv-txn"
        _ok_lease_body(await self._call("POST", path, body), path)

    def close(self) -> Any:
        """Close the idle connections of the pool."""
        return self._pool.closeCachedConnections()

    async def _call(
        self,
        method: str,
        path: str,
        body: Any = None,
        progress: Progress | None = None,
    ) -> Answer:
        self.calls += 1
        data = None if body is None else msgspec.json.encode(body)
        url = self._base_url + path
        try:
            response = await call(
                self._reactor, STALL_TIMEOUT_S, self._agent, method, url, data, progress
            )
        except NOT_SENT_ERRORS as error:
            raise UnavailableError(f"{method} {path}: {error!r}") from error
        except RESPONSE_LOST_ERRORS as error:
            raise OutcomeUnknownError(f"{method} {path}: {error!r}") from error
        # A response without the header may come from something in front of the store.
        if response.status == HTTPStatus.OK or response.headers.hasHeader(STORE_ERA):
            self._on_era(_era(response))
        return response


def _era(response: Answer) -> int:
    """Return how often the store has returned from a copy, as its response says."""
    (value,) = response.headers.getRawHeaders(STORE_ERA, [b""])[-1:]
    if not value:
        return NO_ERA
    if not value.isdigit() or len(value) > MAX_ERA_DIGITS:
        raise UnavailableError(f"malformed era of the store: {value[:20]!r}")
    return int(value)


def _ok_body(response: Answer, path: str) -> bytes:
    if response.status != HTTPStatus.OK:
        raise UnavailableError(f"{path}: status {response.status}")
    return response.body


def _ok_lease_body(response: Answer, path: str) -> bytes:
    if response.status == HTTPStatus.NOT_FOUND:
        raise LeaseEndedError(f"{path}: not found")
    return _ok_body(response, path)


def _decode(decoder: Any, body: bytes) -> Any:
    try:
        return decoder.decode(body)
    except json_codec.DecodeError as error:
        raise UnavailableError(f"malformed response from the store: {error}") from error


def _decode_item(item: _WireItem, era: int) -> Item:
    try:
        value = base64.b64decode(item.value, validate=True)
    except ValueError:
        # Other writers may store values that are not base64. The decoder of the entry
        # rejects the empty value and reports the key.
        value = b""
    return Item(item.key, value, item.revision, item.created, era)
