"""Client of the platform's key-value store."""

from __future__ import annotations

import base64
from http import HTTPStatus
from typing import Any
from urllib.parse import urlencode

import attrs
import msgspec
from twisted.internet.defer import CancelledError
from twisted.internet.defer import Deferred
from twisted.internet.defer import TimeoutError as DeferredTimeoutError
from twisted.internet.error import ConnectionDone
from twisted.internet.error import ConnectionLost
from twisted.internet.error import TimeoutError as TwistedTimeoutError
from twisted.web.client import ResponseFailed

from gentianhitch.addresses import Address
from gentianhitch.http_client import NOT_SENT_ERRORS
from gentianhitch.http_client import Progress
from gentianhitch.http_client import call
from gentianhitch.http_client import make_agent
from gentianhitch.http_client import make_pool
from gentianhitch.platform.interface import OutcomeUnknownError
from gentianhitch.platform.interface import PlatformError
from gentianhitch.platform.interface import UnavailableError

CONNECT_TIMEOUT_S = 0.5
CALL_TIMEOUT_S = 1.0
MAX_CONNECTIONS = 2
LOST_ERRORS = (
    CancelledError,
    ConnectionDone,
    ConnectionLost,
    DeferredTimeoutError,
    ResponseFailed,
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

    async def read_range(self, prefix: str, progress: Progress | None = None) -> Page:
        """Read every item under ``prefix``, page by page, newest state."""
        items: list[Item] = []
        revision = None
        after = ""
        while True:
            query = {"prefix": prefix}
            if after:
                query["after"] = after
            path = f"/v1/kv-range?{urlencode(query)}"
            body = await self._call("GET", path, progress=progress)
            page = _decode(_range_decoder, body)
            items += [_decode_item(item) for item in page.items]
            # Pages are no snapshot: only the first one's revision covers all.
            revision = page.at if revision is None else revision
            if not page.has_more or not page.items:
                return Page(tuple(items), revision)
            after = page.items[-1].key

    async def grant_lease(self, ttl_s: float) -> int:
        """Create a lease and return its id."""
        body = await self._call("POST", "/v1/kv-lease", {"ttlMs": int(ttl_s * 1000)})
        granted: _WireLease = _decode(_lease_decoder, body)
        return granted.lease

    async def renew_lease(self, lease: int) -> None:
        """Renew a lease; raise LeaseEndedError when it has ended."""
        await self._call("POST", f"/v1/kv-keep/{lease}")

    async def end_lease(self, lease: int) -> None:
        """End a lease, which removes its keys."""
        await self._call("DELETE", f"/v1/kv-lease-end/{lease}")

    async def put(self, key: str, value: bytes, *, lease: int) -> None:
        """Write one item under a lease; raise LeaseEndedError when it has ended."""
        put = {"key": key, "value": base64.b64encode(value).decode(), "lease": lease}
        body = {"expect": [], "puts": [put], "deletes": []}
        await self._call("POST", "/v1/kv-txn", body)

    def close(self) -> Any:
        """Close kept connections."""
        return self._pool.closeCachedConnections()

    async def _call(
        self,
        method: str,
        path: str,
        body: Any = None,
        progress: Progress | None = None,
    ) -> bytes:
        self.calls += 1
        data = None if body is None else msgspec.json.encode(body)
        exchange = call(self._agent, method, self._base + path, data, progress)
        calling = Deferred.fromCoroutine(exchange)
        try:
            answer = await calling.addTimeout(CALL_TIMEOUT_S, self._reactor)
        except NOT_SENT_ERRORS as error:
            raise UnavailableError(f"{method} {path}: {error!r}") from error
        except LOST_ERRORS as error:
            raise OutcomeUnknownError(f"{method} {path}: {error!r}") from error
        if answer.status == HTTPStatus.OK:
            return answer.body
        if answer.status == HTTPStatus.NOT_FOUND:
            raise LeaseEndedError(f"{method} {path}: not found")
        raise UnavailableError(f"{method} {path}: status {answer.status}")


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
