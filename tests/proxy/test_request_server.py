"""Test the check of keys, and requests that await their quota."""

from __future__ import annotations

import re
from random import Random

import attrs
import pytest
from twisted.internet.task import Clock

from gentianhitch.callers.complete_requests import CallerRequest
from gentianhitch.platform.caller_interface import HEADER_NAMES
from gentianhitch.proxy.admission_queue import AdmissionQueue
from gentianhitch.proxy.balancing import Balancer
from gentianhitch.proxy.dispatch_context import DispatchContext
from gentianhitch.proxy.quotas import Quotas
from gentianhitch.proxy.request_server import RequestServer
from gentianhitch.proxy.request_server import ServedRequest
from gentianhitch.proxy.retry_budget import RetryBudget
from gentianhitch.proxy.server_notices import PRIORITY_DELAY_S
from gentianhitch.proxy.server_notices import RETURN_SPREAD_S
from gentianhitch.proxy.store_view import StoreView
from gentianhitch.proxy.traffic_split import TrafficSplits
from tests.builders_dispatch import HELD
from tests.builders_dispatch import RecordedEvents
from tests.builders_dispatch import RecordedResponse
from tests.builders_proxy import HOST
from tests.builders_proxy import KEY
from tests.builders_proxy import TOLERANCE
from tests.builders_proxy import make_configuration
from tests.builders_proxy import make_route
from tests.builders_proxy import make_server
from tests.builders_proxy import make_stored
from tests.builders_proxy import make_workspace

REVOCATION_S = 60.0


@attrs.define(eq=False)
class RecordedConnections:
    """Count the connections that are asked for; none is ever made."""

    acquired: int = 0

    def acquire(self, *args: object, **kwargs: object) -> None:
        self.acquired += 1

    def servers_with_idle_connections(self) -> frozenset[str]:
        return frozenset()


class LimitedServer:
    """One instance that serves one workspace of a small quota."""

    def __init__(self, objective_s: float = 1.0) -> None:
        self.clock = Clock()
        self.clock.advance(100.0)
        workspace = make_workspace(2.0, 1.0)
        store_view = StoreView(1.5)
        configuration = make_configuration(
            make_route(timeout_s=REVOCATION_S, objective_s=objective_s),
            workspace=workspace,
        )
        store_view.update_configuration(make_stored(1, configuration), 100.0)
        self.quotas = Quotas("e-1", TOLERANCE, 5.0, frozenset({"e-1"}))
        self.quotas.set_workspaces([workspace], 90.0)
        self.events = RecordedEvents()
        self.connections = RecordedConnections()
        balancer = Balancer("e-1", "a", Random(1))
        balancer.update([make_server(slots=200)], 100.0)
        self.server = RequestServer(
            self.clock,
            store_view,
            self.quotas,
            AdmissionQueue(self.clock, self.quotas),
            DispatchContext(
                self.clock,
                balancer,
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

    def send(
        self, key: str | None = KEY, remaining_s: float = REVOCATION_S
    ) -> tuple[ServedRequest, RecordedResponse]:
        request = CallerRequest(
            method=b"GET",
            target=b"/stock/1",
            host=HOST,
            headers=[],
            body=b"",
            keep_alive=True,
            request_id=b"id",
            remaining_s=remaining_s,
            key=key,
            has_length=False,
        )
        response = RecordedResponse()
        return self.server.serve(request, response), response  # type: ignore[arg-type]

    def fill_window(self) -> None:
        """Send requests until one is refused, then wait until the next is held."""
        while self.send()[1].data == HELD:
            pass
        self.clock.advance(TOLERANCE.window_s - 0.1)


class TestHeldRequests:
    def test_is_sent_when_the_window_has_room(self) -> None:
        instance = LimitedServer()
        instance.fill_window()
        before = instance.connections.acquired
        _, response = instance.send()
        assert instance.events.names[-1] == "held"
        assert instance.connections.acquired == before
        instance.clock.advance(0.15)
        assert instance.connections.acquired == before + 1
        assert response.data == HELD

    def test_is_refused_as_not_run_when_the_instance_stops(self) -> None:
        instance = LimitedServer()
        instance.fill_window()
        before = instance.connections.acquired
        served, response = instance.send()
        served.respond_now()
        assert response.data.startswith(b"HTTP/1.1 503 ")
        assert b"not-run" in response.data
        instance.clock.advance(1.0)
        assert instance.connections.acquired == before

    def test_is_dropped_when_its_caller_leaves(self) -> None:
        instance = LimitedServer()
        instance.fill_window()
        before = instance.connections.acquired
        served, response = instance.send()
        served.caller_disconnected()
        instance.clock.advance(1.0)
        assert instance.connections.acquired == before
        assert response.data == HELD

    def test_is_refused_at_once_when_the_window_stays_full(self) -> None:
        instance = LimitedServer()
        while True:
            _, response = instance.send()
            if response.data != HELD:
                break
        assert response.data.startswith(b"HTTP/1.1 429 ")
        assert b"retry-after: 5" in response.data.lower()


class TestShortObjectives:
    # Guards against 429 far below the limit: ten requests in 0.1 s, of which the last
    # was held for 0.06 s only, less than until the next report.
    def test_a_request_is_held_until_the_next_report(self) -> None:
        instance = LimitedServer(objective_s=0.4)
        instance.fill_window()
        before = instance.connections.acquired
        instance.send()
        assert instance.events.names[-1] == "held"
        instance.clock.advance(0.11)
        assert instance.connections.acquired == before + 1

    def test_no_longer_than_half_of_the_time_that_is_left(self) -> None:
        instance = LimitedServer(objective_s=0.4)
        instance.fill_window()
        _, response = instance.send(remaining_s=0.1)
        assert response.data.startswith(b"HTTP/1.1 429 ")


class TestStop:
    def test_a_late_request_is_refused_as_not_run(self) -> None:
        instance = LimitedServer()
        instance.server.refuses_after_s = instance.clock.seconds() + 1.0
        instance.send()
        instance.clock.advance(1.0)
        acquired = instance.connections.acquired
        _, response = instance.send()
        assert response.data.startswith(b"HTTP/1.1 503 ")
        assert b"not-run" in response.data
        assert (acquired, instance.connections.acquired) == (1, 1)


class TestWaitingServers:
    def test_callers_are_refused_at_once_and_return_when_servers_are_free(self) -> None:
        instance = LimitedServer()
        balancer = instance.server.dispatch.balancer
        balancer.record_wait(make_server(slots=200), 4.0, instance.clock.seconds())
        _, response = instance.send()
        assert response.data.startswith(b"HTTP/1.1 503 ")
        assert instance.connections.acquired == 0
        found = re.search(rb"retry-after: *([\d.]+)", response.data.lower())
        assert found is not None
        assert 4.0 <= float(found[1]) <= 4.0 + RETURN_SPREAD_S + 2 * PRIORITY_DELAY_S


class TestEvacuatedServers:
    # Guards against callers that wait for servers which get no requests for minutes.
    def test_callers_are_refused_at_once(self) -> None:
        instance = LimitedServer()
        instance.server.dispatch.balancer.set_evacuated(frozenset({"a"}), 100.0)
        _, response = instance.send()
        assert response.data.startswith(b"HTTP/1.1 503 ")
        assert b"not-run" in response.data
        assert b"no-capacity" in response.data
        assert b"retry-after: 0.3" in response.data.lower()
        assert b"evacuated" not in response.data
        assert instance.connections.acquired == 0


class TestKeys:
    # Guards against requests with withdrawn or unknown keys that run: a configuration
    # whose last key was withdrawn was taken for one that needs no key.
    @pytest.mark.parametrize("key", [KEY, "never-given", None])
    def test_no_request_is_sent_once_the_last_key_is_withdrawn(
        self, key: str | None
    ) -> None:
        instance = LimitedServer()
        withdrawn = make_configuration(make_route(), key=None)
        instance.server.store_view.update_configuration(
            make_stored(2, withdrawn), instance.clock.seconds()
        )
        _, response = instance.send(key)
        assert response.data.startswith(b"HTTP/1.1 401 ")
        assert instance.connections.acquired == 0

    def test_a_public_route_needs_no_key(self) -> None:
        instance = LimitedServer()
        withdrawn = make_configuration(make_route(public=True), key=None)
        instance.server.store_view.update_configuration(
            make_stored(2, withdrawn), instance.clock.seconds()
        )
        instance.send(None)
        assert instance.connections.acquired == 1
