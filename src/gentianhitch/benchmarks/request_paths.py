"""The ways to pass a request on that the benchmark sets side by side."""

from __future__ import annotations

import hashlib
from typing import Any

import attrs
import treq
from klein import Klein
from twisted.internet.defer import Deferred
from twisted.internet.defer import succeed
from twisted.internet.protocol import Factory
from twisted.web.client import HTTPConnectionPool
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET
from twisted.web.server import Site

from gentianhitch.addresses import Address
from gentianhitch.backend_servers.connection import TargetConnection
from gentianhitch.backend_servers.errors import BackendServerError
from gentianhitch.backend_servers.pool import ConnectionPool
from gentianhitch.backend_servers.responses import ResponsePart
from gentianhitch.benchmarks.loopback import KEY
from gentianhitch.benchmarks.loopback import PATH
from gentianhitch.callers.request_path import RequestPath
from gentianhitch.decisions.interfaces import AgreedState
from gentianhitch.decisions.interfaces import Attempt
from gentianhitch.decisions.interfaces import TokenVerdict
from gentianhitch.operators.document import BackendServer
from gentianhitch.operators.document import Document
from gentianhitch.operators.document import Route
from gentianhitch.operators.document import Service
from gentianhitch.operators.document import Workspace

SLOTS = 64
POOLED_CONNECTIONS = 64
DEADLINE_MS = 10_000
HOP_BY_HOP = frozenset({"Connection", "Transfer-Encoding", "Content-Length"})


@attrs.define
class OpenDecisions:
    """Admit every request and send all of them to one target."""

    target: BackendServer
    states: tuple[AgreedState, ...]

    def is_fresh(self, now: float) -> bool:
        """Return True."""
        return True

    def active(self, now: float) -> tuple[AgreedState, ...]:
        """Return the only state."""
        return self.states

    def take(self, workspace: str, max_wait_s: float) -> Deferred[TokenVerdict]:
        """Admit."""
        return succeed(TokenVerdict.ADMITTED)

    def acquire(
        self,
        service: str,
        route: Route,
        workspace: str | None,
        deadline: float,
        exclude: frozenset[str] = frozenset(),
    ) -> Deferred[BackendServer]:
        """Return the only target at once."""
        return succeed(self.target)

    def retry_after_s(self, workspace: str, now: float) -> float:
        """Return 0: nothing is refused."""
        return 0.0

    def choose(
        self,
        service: str,
        route: Route,
        workspace: str | None,
        now: float,
        exclude: frozenset[str] = frozenset(),
    ) -> BackendServer | None:
        """Return the only target."""
        return self.target

    def record(self, attempt: Attempt, now: float) -> None:
        """Learn nothing."""


def build_decisions(address: Address) -> OpenDecisions:
    """Build decisions for one service with one target at ``address``."""
    target = BackendServer("target", address, "a", "stock", SLOTS, SLOTS)
    document = Document(
        environment="bench",
        workspaces=(Workspace("bench", 1e6, 1e6, (hashlib.sha256(KEY).hexdigest(),)),),
        services=(Service("stock", 1, DEADLINE_MS),),
        backend_servers=(target,),
        routes=(Route("GET", PATH.decode(), "stock", idempotent=True),),
    )
    return OpenDecisions(target, (AgreedState(1, {}, document),))


def build_chosen(reactor: Any, target: Address) -> Factory:
    """Build the request path of an entry instance."""
    decisions = build_decisions(target)
    return RequestPath(reactor, decisions, decisions, decisions, decisions)


def build_klein_and_treq(reactor: Any, target: Address) -> Any:
    """Build a proxy of a klein route and a treq call."""
    app = Klein()
    pool = HTTPConnectionPool(reactor, persistent=True)  # type: ignore[no-untyped-call]
    pool.maxPersistentPerHost = POOLED_CONNECTIONS

    @app.route("/<path:path>")
    async def proxy(request: Any, path: str) -> bytes:
        answer = await treq.get(f"http://{target}/{path}", pool=pool)
        request.setResponseCode(answer.code)
        for name, values in answer.headers.getAllRawHeaders():
            if name.decode().title() not in HOP_BY_HOP:
                request.responseHeaders.setRawHeaders(name, values)
        body: bytes = await answer.content()
        request.setHeader("Content-Length", str(len(body)))
        return body

    return Site(app.resource())  # type: ignore[no-untyped-call]


def build_twisted_web(reactor: Any, target: Address) -> Any:
    """Build a proxy of twisted.web's server and the pooled connections."""
    resource = _ProxyResource(ConnectionPool(reactor, reactor), build_decisions(target))
    return Site(resource)  # type: ignore[no-untyped-call]


class _ProxyResource(Resource):
    """Pass every request to one target."""

    isLeaf = True  # noqa: N815

    def __init__(self, pool: ConnectionPool, decisions: OpenDecisions) -> None:
        super().__init__()  # type: ignore[no-untyped-call]
        self._pool = pool
        self._decisions = decisions

    def render(self, request: Any) -> Any:
        """Send the request on."""
        passing = _Passing(request)
        self._pool.acquire(self._decisions.target, passing, proven=False)
        return NOT_DONE_YET


class _Passing:
    """One request on its way through twisted.web."""

    def __init__(self, request: Any) -> None:
        self._request = request

    def connected(self, connection: TargetConnection) -> None:
        """Write the request."""
        data = b"GET %b HTTP/1.1\r\nHost: bench\r\n\r\n" % self._request.uri
        connection.send(data, self, to_head_request=False, is_complete=True)

    def connect_failed(self, error: BackendServerError) -> None:
        """Answer 503."""
        self._request.setResponseCode(503)
        self._request.finish()

    def response_received(self, piece: ResponsePart) -> None:
        """Write what came of the answer."""
        if piece.head is not None:
            self._request.setResponseCode(piece.head.status)
            for name, value in piece.head.headers:
                self._request.responseHeaders.addRawHeader(name, value)
        self._request.write(piece.body)
        if piece.ended:
            self._request.finish()

    def response_failed(self, error: BackendServerError) -> None:
        """Break the connection."""
        self._request.loseConnection()


def wait(reactor: Any, seconds: float) -> Deferred[None]:
    """Fire after ``seconds``."""
    waited: Deferred[None] = Deferred()
    reactor.callLater(seconds, waited.callback, None)
    return waited
