"""Connections, servers and callers of dispatches, without a network."""

from __future__ import annotations

from random import Random
from typing import Any

import attrs
from twisted.internet.task import Clock

from gentianhitch.backend_servers.complete_responses import CompleteResponse
from gentianhitch.backend_servers.errors import ConnectError
from gentianhitch.callers.complete_requests import CallerRequest
from gentianhitch.platform.caller_interface import HEADER_NAMES
from gentianhitch.proxy.admission_queue import AdmissionQueue
from gentianhitch.proxy.balancing import Balancer
from gentianhitch.proxy.dispatch_context import DispatchContext
from gentianhitch.proxy.quotas import Quotas
from gentianhitch.proxy.request_server import RequestServer
from gentianhitch.proxy.retry_budget import RetryBudget
from gentianhitch.proxy.store_view import StoreView
from gentianhitch.proxy.traffic_split import TrafficSplits
from tests.builders_proxy import HOST
from tests.builders_proxy import TOLERANCE
from tests.builders_proxy import make_configuration
from tests.builders_proxy import make_route
from tests.builders_proxy import make_server
from tests.builders_proxy import make_stored

HELD = b""
REVOCATION_S = 60.0


@attrs.define(eq=False)
class FakeConnection:
    """Record the data written to one server."""

    server: str
    waiter: Any
    sent: list[bytes] = attrs.Factory(list)
    closed: bool = False

    def send(self, request_id: bytes, data: bytes, waiter: Any) -> None:
        self.sent.append(data)

    def close(self) -> None:
        self.closed = True


class FakeConnecting:
    """A connection that is being opened."""

    def cancel(self) -> None:
        pass


@attrs.define(eq=False)
class FakeConnections:
    """Connect at once, except to the ``unreachable`` servers."""

    unreachable: set[str] = attrs.Factory(set)
    made: list[FakeConnection] = attrs.Factory(list)
    max_idle_s: list[float] = attrs.Factory(list)
    is_slow: bool = False
    connecting: list[FakeConnection] = attrs.Factory(list)

    def acquire(
        self,
        key: Any,
        address: Any,
        waiter: Any,
        *,
        max_idle_s: float,
        may_open: bool = True,
    ) -> Any:
        self.max_idle_s.append(max_idle_s)
        if self.is_slow:
            self.connecting.append(FakeConnection(key[0], waiter))
            return FakeConnecting()
        if key[0] in self.unreachable:
            waiter.connect_failed(ConnectError("refused"))
            return None
        connection = FakeConnection(key[0], waiter)
        self.made.append(connection)
        waiter.connected(connection)
        return None

    def finish_connecting(self) -> None:
        """Connect where ``is_slow`` had delayed it."""
        connecting, self.connecting = self.connecting, []
        for connection in connecting:
            self.made.append(connection)
            connection.waiter.connected(connection)

    def servers_with_idle_connections(self) -> frozenset[str]:
        return frozenset()


@attrs.define
class RecordedEvents:
    """Record the names of the events of requests, and the kinds of failures."""

    names: list[str] = attrs.Factory(list)
    failures: list[str] = attrs.Factory(list)

    def request(self, event: str, request_id: bytes, **inputs: Any) -> None:
        self.names.append(event)

    def failure(self, failure: Any) -> None:
        self.failures.append(failure.type.__name__)


@attrs.define(eq=False)
class RecordedResponse:
    """Record the response to one request."""

    data: bytes = HELD
    will_close: bool = False

    def send(self, data: bytes) -> None:
        assert self.data == HELD
        self.data = data


def make_response(status: int = 200, *headers: tuple[bytes, bytes]) -> CompleteResponse:
    signature = (b"X-Gentianhitch-Response-Signature", b"sig")
    return CompleteResponse(status, b"", [signature, *headers], b"body", True)


class Serving:
    """One instance with one server, whose route is public and not idempotent."""

    def __init__(self) -> None:
        self.clock = Clock()
        route = make_route(idempotent=False, public=True)
        store_view = StoreView(1.5)
        store_view.update_configuration(make_stored(1, make_configuration(route)), 0.0)
        quotas = Quotas("e-1", TOLERANCE, 5.0, frozenset({"e-1"}))
        self.events = RecordedEvents()
        self.connections = FakeConnections()
        self.balancer = Balancer("e-1", "a", Random(1))
        self.balancer.update([make_server()], 0.0)
        self.server = RequestServer(
            self.clock,
            store_view,
            quotas,
            AdmissionQueue(self.clock, quotas),
            DispatchContext(
                self.clock,
                self.balancer,
                self.connections,  # type: ignore[arg-type]
                HEADER_NAMES,
                lambda: RetryBudget(0.2, 10.0, 10.0),
                lambda: 1.0,
            ),
            TrafficSplits(),
            self.events,  # type: ignore[arg-type]
            REVOCATION_S,
            lambda outcome, workspace, elapsed_s: None,
        )

    def send(self) -> RecordedResponse:
        """Send an order and return its response."""
        request = CallerRequest(
            method=b"POST",
            target=b"/stock/1",
            host=HOST,
            headers=[],
            body=b"",
            keep_alive=True,
            request_id=b"id",
            remaining_s=10.0,
            key=None,
            has_length=False,
        )
        response = RecordedResponse()
        self.server.serve(request, response)  # type: ignore[arg-type]
        return response

    def respond(self, status: int, *headers: tuple[bytes, bytes]) -> None:
        """Have the server respond to the last request."""
        connection = self.connections.made[-1]
        connection.waiter.response_received(make_response(status, *headers))
