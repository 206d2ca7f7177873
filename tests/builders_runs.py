"""Dispatches of one instance over three servers, without a network."""

from __future__ import annotations

from random import Random
from typing import Any

import attrs
from twisted.internet.task import Clock

from gentianhitch.backend_servers.complete_responses import CompleteResponse
from gentianhitch.callers.complete_requests import CallerRequest
from gentianhitch.callers.refusals import Cause
from gentianhitch.platform.caller_interface import HEADER_NAMES
from gentianhitch.proxy.balancing import Balancer
from gentianhitch.proxy.dispatch import Dispatch
from gentianhitch.proxy.dispatch_context import DispatchContext
from gentianhitch.proxy.model import BackendServer
from gentianhitch.proxy.model import Route
from gentianhitch.proxy.retry_budget import RetryBudget
from tests.builders_dispatch import FakeConnections
from tests.builders_proxy import make_server
from tests.builders_proxy import make_workspace


@attrs.define(eq=False)
class Owner:
    """Record the result of a dispatch."""

    responses: list[tuple[int, str]] = attrs.Factory(list)
    failures: list[tuple[Cause, bool]] = attrs.Factory(list)

    def dispatch_succeeded(
        self, response: CompleteResponse, server: BackendServer
    ) -> None:
        self.responses.append((response.status, server.id))

    def dispatch_failed(self, cause: Cause, *, may_have_run: bool) -> None:
        self.failures.append((cause, may_have_run))

    def log_dispatch_event(
        self, event: str, server: BackendServer, detail: str
    ) -> None:
        pass


def make_request(method: bytes = b"GET") -> CallerRequest:
    return CallerRequest(
        method=method,
        target=b"/stock/1",
        host="shop.example",
        headers=[(b"X-Gentianhitch-Request-Id", b"r-1")],
        body=b"",
        keep_alive=True,
        request_id=b"r-1",
        remaining_s=10.0,
        key=None,
        has_length=False,
    )


DECLINED = (b"X-Gentianhitch-Not-Executed", b"1")


class Run:
    """One dispatch over servers s-1, s-2 and s-3."""

    def __init__(
        self,
        route: Route,
        unreachable: tuple[str, ...] = (),
        *,
        is_slow: bool = False,
        retry_slack: float = 56.0,
    ) -> None:
        self.clock = Clock()
        self.connections = FakeConnections(set(unreachable), is_slow=is_slow)
        self.balancer = Balancer("e-1", "a", Random(1))
        servers = [
            make_server(name, failure_domain=domain)
            for name, domain in (("s-1", "a"), ("s-2", "b"), ("s-3", "c"))
        ]
        self.balancer.update(servers, 0.0)
        self.owner = Owner()
        self.route = route
        self.context = DispatchContext(
            self.clock,
            self.balancer,
            self.connections,  # type: ignore[arg-type]
            HEADER_NAMES,
            lambda: RetryBudget(0.2, retry_slack, 10.0),
            lambda: 1.0,
        )
        self.dispatch = self.start()

    def start(self) -> Dispatch:
        """Start one more dispatch."""
        dispatch = Dispatch(
            self.context,
            make_request(),
            self.route,
            "stock",
            make_workspace(),
            3.0,
            self.owner,
        )
        dispatch.start()
        return dispatch

    @property
    def writes(self) -> int:
        return sum(len(each.sent) for each in self.connections.made)

    def waiter(self, index: int) -> Any:
        return self.connections.made[index].waiter
