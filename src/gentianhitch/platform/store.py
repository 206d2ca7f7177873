"""Client of the platform's key-value store."""

from __future__ import annotations

import base64
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

CONNECT_TIMEOUT_S = 0.5
STALL_TIMEOUT_S = 1.0
"""Without a byte for so long, an answer is taken for lost."""

MAX_CONNECTIONS = 3
"""The listing, the configuration and the lease are called for at the same time."""

LOST_ERRORS = (
    CancelledError,
    ConnectionDone,
    ConnectionLost,
    ResponseFailed,
    StalledError,
    TwistedTimeoutError,
)


class LeaseEndedError(PlatformError):
    """The lease has ended and its keys are gone."""


@attrs.frozen
class Item:
    """One item; revisions count the changes of the whole store."""

    key: str
    value: bytes
    revision: int
    created_revision: int


@attrs.frozen
class Page:
    """Items in key order as of the store's ``revision``."""

    items: tuple[Item, ...]
    revision: int


class _WireItem(msgspec.Struct):
    key: str
    value: str
    revision: int
    created: int


class _WireRange(msgspec.Struct, rename="camel"):
    items: list[_WireItem]
    has_more: bool
    # The revision of the whole store at the time of the read.
    at: int


class _WireLease(msgspec.Struct, rename="camel"):
    lease: int
    ttl_ms: float


class _WireConflict(msgspec.Struct):
    # The current state of the keys that the call expected at another revision.
    items: list[_WireItem]


_item_decoder = msgspec.json.Decoder(_WireItem)
_conflict_decoder = msgspec.json.Decoder(_WireConflict)
_range_decoder = msgspec.json.Decoder(_WireRange)
_lease_decoder = msgspec.json.Decoder(_WireLease)


class KeyValueStore:
    """Call the store over a few kept connections; every call is bounded in time."""

    def __init__(self, reactor: Any, address: Address) -> None:
        self._reactor = reactor
        self._base = f"http://{address}"
        self._pool = make_pool(reactor, MAX_CONNECTIONS)
        self._agent = make_agent(reactor, self._pool, CONNECT_TIMEOUT_S)
        self.calls = 0

    async def read_range(
        self, prefix: str, after: str = "", progress: Progress | None = None
    ) -> Page:
        """Read every item under ``prefix`` past ``after``, page by page."""
        items: list[Item] = []
        revision = None
        while True:
            query = {"prefix": prefix}
            if after:
                query["after"] = after
            path = f"/v1/kv-range?{urlencode(query)}"
            answer = await self._call("GET", path, progress=progress)
            page = _decode(_range_decoder, _body(answer, path))
            items += [_decode_item(item) for item in page.items]
            # Pages are no snapshot: only the first one's revision covers all.
            revision = page.at if revision is None else revision
            if not page.has_more or not page.items:
                return Page(tuple(items), revision)
            after = page.items[-1].key

    async def read(self, key: str, progress: Progress | None = None) -> Item | None:
        """Read one item, newest state; None if there is none."""
        path = f"/v1/kv-key?{urlencode({'key': key})}"
        answer = await self._call("GET", path, progress=progress)
        if answer.status == HTTPStatus.NOT_FOUND:
            return None
        return _decode_item(_decode(_item_decoder, _body(answer, path)))

    async def read_if_changed(
        self, key: str, revision: int, progress: Progress | None = None
    ) -> Item | None:
        """Read one item unless it is still at ``revision``; None if it is.

        A transaction that writes nothing answers with the item only if it changed.
        """
        path = "/v1/kv-txn"
        expect = [{"key": key, "revision": revision}]
        body = {"expect": expect, "puts": [], "deletes": []}
        answer = await self._call("POST", path, body, progress=progress)
        if answer.status != HTTPStatus.PRECONDITION_FAILED:
            _body(answer, path)
            return None
        for item in _decode(_conflict_decoder, answer.body).items:
            if item.key == key:
                return _decode_item(item)
        raise UnavailableError(f"{path}: the changed item {key} is missing")

    async def grant_lease(self, ttl_s: float) -> int:
        """Create a lease and return its id."""
        path = "/v1/kv-lease"
        answer = await self._call("POST", path, {"ttlMs": int(ttl_s * 1000)})
        granted: _WireLease = _decode(_lease_decoder, _body(answer, path))
        return granted.lease

    async def renew_lease(self, lease: int) -> None:
        """Renew a lease; raise LeaseEndedError when it has ended."""
        path = f"/v1/kv-keep/{lease}"
        _lease_body(await self._call("POST", path), path)

    async def end_lease(self, lease: int) -> None:
        """End a lease, which removes its keys."""
        path = f"/v1/kv-lease-end/{lease}"
        _lease_body(await self._call("DELETE", path), path)

    async def put(self, key: str, value: bytes, *, lease: int) -> None:
        """Write one item under a lease; raise LeaseEndedError when it has ended."""
        put = {"key": key, "value": base64.b64encode(value).decode(), "lease": lease}
        body = {"expect": [], "puts": [put], "deletes": []}
        path = "/v1/kv-txn"
        _lease_body(await self._call("POST", path, body), path)

    def close(self) -> Any:
        """Close kept connections."""
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
        url = self._base + path
        try:
            return await call(
                self._reactor, STALL_TIMEOUT_S, self._agent, method, url, data, progress
            )
        except NOT_SENT_ERRORS as error:
            raise UnavailableError(f"{method} {path}: {error!r}") from error
        except LOST_ERRORS as error:
            raise OutcomeUnknownError(f"{method} {path}: {error!r}") from error


def _body(answer: Answer, path: str) -> bytes:
    if answer.status != HTTPStatus.OK:
        raise UnavailableError(f"{path}: status {answer.status}")
    return answer.body


def _lease_body(answer: Answer, path: str) -> bytes:
    if answer.status == HTTPStatus.NOT_FOUND:
        raise LeaseEndedError(f"{path}: not found")
    return _body(answer, path)


def _decode(decoder: Any, body: bytes) -> Any:
    try:
        return decoder.decode(body)
    except msgspec.MsgspecError as error:
        raise UnavailableError(f"malformed answer of the store: {error}") from error


def _decode_item(item: _WireItem) -> Item:
    try:
        value = base64.b64decode(item.value, validate=True)
    except ValueError:
        # Another writer's item: its decoder reports the empty value.
        value = b""
    return Item(item.key, value, item.revision, item.created)
