"""HTTP client of the platform's key-value service and instance list."""

from __future__ import annotations

from typing import Any
from typing import Generic
from typing import TypeVar
from urllib.parse import quote

import attrs
from treq.client import HTTPClient
from twisted.internet.defer import CancelledError
from twisted.internet.defer import Deferred
from twisted.web.client import HTTPConnectionPool

from gentianhitch import json_codec
from gentianhitch.addresses import Address
from gentianhitch.http_client import NOT_SENT_ERRORS
from gentianhitch.http_client import make_pool
from gentianhitch.platform.interface import ConflictError
from gentianhitch.platform.interface import Entry
from gentianhitch.platform.interface import Lease
from gentianhitch.platform.interface import ListedInstance
from gentianhitch.platform.interface import OutcomeUnknownError
from gentianhitch.platform.interface import PlatformError
from gentianhitch.platform.interface import UnavailableError
from gentianhitch.treq_client import make_client

INSTANCE_HEADER = "X-Instance"
DEFAULT_TIMEOUT_S = 2.0
CONNECT_TIMEOUT_S = 1.0
MAX_CONNECTIONS = 8

OK = 200
NO_CONTENT = 204
NOT_FOUND = 404
CONFLICT = 409
UNAVAILABLE = 503
INTERNAL_ERROR = 500

JSON_TYPE = "application/json"
MAX_ERROR_TEXT_BYTES = 200

T = TypeVar("T")
K = TypeVar("K")


class RefusedCallError(UnavailableError):
    """The platform rejected a call as invalid; nothing changed."""


@attrs.frozen
class _KeyResponse:
    key: str
    value: bytes
    revision: int

    def entry(self) -> Entry:
        return Entry(self.key, self.value, self.revision)


@attrs.frozen
class _WriteResponse:
    revision: int


@attrs.frozen
class _ConflictResponse:
    current: _KeyResponse | None


@attrs.frozen
class _InstancesResponse:
    instances: tuple[ListedInstance, ...]


@attrs.frozen
class _EmptyResponse:
    pass


@attrs.frozen
class _Call(Generic[T]):
    """One call and the type of its response.

    ``is_write`` if it may change the store. ``wait_s`` is the time for which the
    platform may hold the response back.
    """

    method: str
    path: str
    response_type: type[T]
    is_write: bool = False
    body: dict[str, Any] | None = None
    params: dict[str, str] = attrs.Factory(dict)
    wait_s: float = 0.0

    def lost_error(self, reason: object) -> PlatformError:
        """Return the error to raise when the response is missing or malformed."""
        error_type = OutcomeUnknownError if self.is_write else UnavailableError
        return error_type(f"no answer to {self.method}: {reason!r}")


@attrs.frozen
class _Response:
    status: int
    body: bytes


@attrs.define(eq=False)
class HttpPlatform:
    """Calls the platform at the first of several addresses that responds.

    ``timeout_s`` is the timeout of one call at one address; a watch may take its
    ``wait_s`` in addition. ``addresses`` starts with the one that responded last.
    """

    reactor: Any
    addresses: tuple[Address, ...]
    instance: str
    timeout_s: float = DEFAULT_TIMEOUT_S
    _pool: HTTPConnectionPool = attrs.field(init=False)
    _http: HTTPClient = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the connection pool."""
        self._pool = make_pool(self.reactor, MAX_CONNECTIONS)
        self._http = make_client(self.reactor, self._pool, self._connect_timeout_s)

    async def close(self) -> None:
        """Close the idle connections of the pool."""
        await self._pool.closeCachedConnections()  # type: ignore[no-untyped-call]

    async def get(self, key: str) -> Entry | None:
        """Read one key; None if it does not exist."""
        response = await self._send(_Call("GET", _key_path(key), _KeyResponse))
        return response.entry() if response else None

    async def put(
        self,
        key: str,
        value: bytes,
        *,
        expected_revision: int,
        lease: Lease | None = None,
    ) -> Entry:
        """Write the key if it is still at ``expected_revision``."""
        body = {
            "value": value,
            "expected_revision": expected_revision,
            "lease": lease.id if lease else None,
        }
        call = _Call("PUT", _key_path(key), _WriteResponse, True, body)
        response = await self._require(call)
        return Entry(key, value, response.revision)

    async def delete(self, key: str, *, expected_revision: int) -> None:
        """Delete the key if it is still at ``expected_revision``."""
        params = {"expected_revision": str(expected_revision)}
        await self._send(
            _Call("DELETE", _key_path(key), _EmptyResponse, True, None, params)
        )

    async def watch(
        self, key: str, *, after_revision: int, wait_s: float
    ) -> Entry | None:
        """Return the key once it is past ``after_revision``; None after ``wait_s``."""
        params = {"after_revision": str(after_revision), "wait_s": str(wait_s)}
        path = _key_path(key)
        call = _Call("GET", path, _KeyResponse, False, None, params, wait_s)
        response = await self._send(call)
        return response.entry() if response else None

    async def grant_lease(self, ttl_s: float) -> Lease:
        """Create a lease of ``ttl_s`` seconds."""
        return await self._require(
            _Call("POST", "/v1/leases", Lease, True, {"ttl_s": ttl_s})
        )

    async def renew_lease(self, lease: Lease) -> None:
        """Renew a lease; raise ConflictError if it has already ended."""
        path = f"/v1/leases/{quote(lease.id, safe='')}/renew"
        await self._send(_Call("POST", path, _EmptyResponse, True, {}))

    async def list_instances(self) -> tuple[ListedInstance, ...]:
        """Read the list of live and leaving entry instances, which lags."""
        response = await self._require(
            _Call("GET", "/v1/instances", _InstancesResponse)
        )
        return response.instances

    @property
    def _connect_timeout_s(self) -> float:
        # Shorter than the call's timeout, so that a failed connect, after which nothing
        # was sent, is not mistaken for a lost response.
        return min(CONNECT_TIMEOUT_S, self.timeout_s / 2)

    async def _require(self, call: _Call[T]) -> T:
        response = await self._send(call)
        if response is None:
            raise call.lost_error("an empty answer")
        return response

    async def _send(self, call: _Call[T]) -> T | None:
        """Try the addresses until one responds; do not repeat a write that was sent."""
        failures: list[str] = []
        for address in self.addresses:
            try:
                response = await self._send_to(address, call)
            except UnavailableError as error:
                failures.append(f"{address}: {error}")
                continue
            self._move_to_front(address)
            return _parse(call, response)
        raise UnavailableError("; ".join(failures))

    def _move_to_front(self, address: Address) -> None:
        if address != self.addresses[0]:
            others = [other for other in self.addresses if other != address]
            self.addresses = (address, *others)

    async def _send_to(self, address: Address, call: _Call[T]) -> _Response:
        exchange = Deferred.fromCoroutine(self._exchange(address, call))
        exchange.addTimeout(self.timeout_s + call.wait_s, self.reactor)
        try:
            response = await exchange
        except CancelledError:
            raise
        except NOT_SENT_ERRORS as error:
            raise UnavailableError(f"cannot connect: {error!r}") from error
        except Exception as error:
            raise call.lost_error(error) from error
        if response.status == UNAVAILABLE:
            raise UnavailableError("the platform refuses calls")
        return response

    async def _exchange(self, address: Address, call: _Call[T]) -> _Response:
        body = None if call.body is None else json_codec.encode(call.body)
        response = await self._http.request(
            call.method,
            f"http://{address}{call.path}",
            params=call.params,
            data=body,
            headers={INSTANCE_HEADER: self.instance, "Content-Type": JSON_TYPE},
        )
        return _Response(response.code, await response.content())


def _parse(call: _Call[T], response: _Response) -> T | None:
    if response.status == CONFLICT:
        current = _decode(call, _ConflictResponse, response).current
        raise ConflictError(current.entry() if current else None)
    if response.status in (NO_CONTENT, NOT_FOUND):
        return None
    if response.status == OK:
        return _decode(call, call.response_type, response)
    text = response.body[:MAX_ERROR_TEXT_BYTES].decode(errors="replace")
    if response.status >= INTERNAL_ERROR:
        raise call.lost_error(f"status {response.status}: {text}")
    raise RefusedCallError(f"the platform answered {response.status}: {text}")


def _decode(call: _Call[T], response_type: type[K], response: _Response) -> K:
    try:
        return json_codec.decode(response.body, response_type)
    except json_codec.DecodeError as error:
        raise call.lost_error(error) from error


def _key_path(key: str) -> str:
    return "/v1/keys/" + quote(key, safe="/")
