"""Call the platform's key-value service over HTTP."""

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

CLIENT_HEADER = "X-Instance"
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
MAX_SHOWN_BYTES = 200

T = TypeVar("T")
K = TypeVar("K")


class RefusedCallError(UnavailableError):
    """The platform rejected a call as wrong; nothing changed."""


@attrs.frozen
class _KeyAnswer:
    key: str
    value: bytes
    revision: int

    def entry(self) -> Entry:
        return Entry(self.key, self.value, self.revision)


@attrs.frozen
class _WriteAnswer:
    revision: int


@attrs.frozen
class _ConflictAnswer:
    current: _KeyAnswer | None


@attrs.frozen
class _InstancesAnswer:
    instances: tuple[ListedInstance, ...]


@attrs.frozen
class _Nothing:
    pass


@attrs.frozen
class _Call(Generic[T]):
    """One call whose answer is a ``kind``; ``changes`` if it may have an effect."""

    method: str
    path: str
    kind: type[T]
    changes: bool = False
    body: dict[str, Any] | None = None
    params: dict[str, str] = attrs.Factory(dict)
    wait_s: float = 0.0

    def lost(self, reason: object) -> PlatformError:
        """Return the error for an answer that never came or cannot be read."""
        lost = OutcomeUnknownError if self.changes else UnavailableError
        return lost(f"no answer to {self.method}: {reason!r}")


@attrs.frozen
class _Answer:
    status: int
    body: bytes


@attrs.define(eq=False)
class HttpPlatform:
    """Call the platform at the first of several addresses that answers.

    ``timeout_s`` bounds one call at one address, beside the wait of a watch.
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
        """Close the idle connections."""
        await self._pool.closeCachedConnections()  # type: ignore[no-untyped-call]

    async def get(self, key: str) -> Entry | None:
        """Read one key; None when it is absent."""
        answer = await self._ask(_Call("GET", _key_path(key), _KeyAnswer))
        return answer.entry() if answer else None

    async def put(
        self,
        key: str,
        value: bytes,
        *,
        expected_revision: int,
        lease: Lease | None = None,
    ) -> Entry:
        """Write if the key is still at ``expected_revision``."""
        body = {
            "value": value,
            "expected_revision": expected_revision,
            "lease": lease.id if lease else None,
        }
        call = _Call("PUT", _key_path(key), _WriteAnswer, True, body)
        answer = await self._require(call)
        return Entry(key, value, answer.revision)

    async def delete(self, key: str, *, expected_revision: int) -> None:
        """Delete if the key is still at ``expected_revision``."""
        params = {"expected_revision": str(expected_revision)}
        await self._ask(_Call("DELETE", _key_path(key), _Nothing, True, None, params))

    async def watch(
        self, key: str, *, after_revision: int, wait_s: float
    ) -> Entry | None:
        """Wait until the key is past ``after_revision``; None after ``wait_s``."""
        params = {"after_revision": str(after_revision), "wait_s": str(wait_s)}
        path = _key_path(key)
        call = _Call("GET", path, _KeyAnswer, False, None, params, wait_s)
        answer = await self._ask(call)
        return answer.entry() if answer else None

    async def grant_lease(self, ttl_s: float) -> Lease:
        """Create a lease of ``ttl_s`` seconds."""
        return await self._require(
            _Call("POST", "/v1/leases", Lease, True, {"ttl_s": ttl_s})
        )

    async def renew_lease(self, lease: Lease) -> None:
        """Renew a lease; raise ConflictError when it has already ended."""
        path = f"/v1/leases/{quote(lease.id, safe='')}/renew"
        await self._ask(_Call("POST", path, _Nothing, True, {}))

    async def list_instances(self) -> tuple[ListedInstance, ...]:
        """Read the lagging list of live and leaving entry instances."""
        answer = await self._require(_Call("GET", "/v1/instances", _InstancesAnswer))
        return answer.instances

    @property
    def _connect_timeout_s(self) -> float:
        # Below the call's timeout, so that a refusal to connect is told apart
        # from a lost answer.
        return min(CONNECT_TIMEOUT_S, self.timeout_s / 2)

    async def _require(self, call: _Call[T]) -> T:
        answer = await self._ask(call)
        if answer is None:
            raise call.lost("an empty answer")
        return answer

    async def _ask(self, call: _Call[T]) -> T | None:
        """Try each address until one answers; never repeat a change once sent."""
        failures: list[str] = []
        for address in self.addresses:
            try:
                answer = await self._ask_one(address, call)
            except UnavailableError as error:
                failures.append(f"{address}: {error}")
                continue
            self._prefer(address)
            return _read(call, answer)
        raise UnavailableError("; ".join(failures))

    def _prefer(self, address: Address) -> None:
        if address != self.addresses[0]:
            others = [one for one in self.addresses if one != address]
            self.addresses = (address, *others)

    async def _ask_one(self, address: Address, call: _Call[T]) -> _Answer:
        exchange = Deferred.fromCoroutine(self._exchange(address, call))
        exchange.addTimeout(self.timeout_s + call.wait_s, self.reactor)
        try:
            answer = await exchange
        except CancelledError:
            raise
        except NOT_SENT_ERRORS as error:
            raise UnavailableError(f"cannot connect: {error!r}") from error
        except Exception as error:
            raise call.lost(error) from error
        if answer.status == UNAVAILABLE:
            raise UnavailableError("the platform refuses calls")
        return answer

    async def _exchange(self, address: Address, call: _Call[T]) -> _Answer:
        body = None if call.body is None else json_codec.encode(call.body)
        response = await self._http.request(
            call.method,
            f"http://{address}{call.path}",
            params=call.params,
            data=body,
            headers={CLIENT_HEADER: self.instance, "Content-Type": JSON_TYPE},
        )
        return _Answer(response.code, await response.content())


def _read(call: _Call[T], answer: _Answer) -> T | None:
    if answer.status == CONFLICT:
        current = _decode(call, _ConflictAnswer, answer).current
        raise ConflictError(current.entry() if current else None)
    if answer.status in (NO_CONTENT, NOT_FOUND):
        return None
    if answer.status == OK:
        return _decode(call, call.kind, answer)
    text = answer.body[:MAX_SHOWN_BYTES].decode(errors="replace")
    if answer.status >= INTERNAL_ERROR:
        raise call.lost(f"status {answer.status}: {text}")
    raise RefusedCallError(f"the platform answered {answer.status}: {text}")


def _decode(call: _Call[T], kind: type[K], answer: _Answer) -> K:
    try:
        return json_codec.decode(answer.body, kind)
    except json_codec.DecodeError as error:
        raise call.lost(error) from error


def _key_path(key: str) -> str:
    return "/v1/keys/" + quote(key, safe="/")
