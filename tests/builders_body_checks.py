"""A server of requests whose bodies are checked before they are read."""

from __future__ import annotations

from random import Random

from twisted.internet.task import Clock

from gentianhitch.callers.complete_requests import CallerRequest
from gentianhitch.callers.refusals import Refusal
from gentianhitch.platform.caller_interface import HEADER_NAMES
from gentianhitch.proxy.admission_queue import AdmissionQueue
from gentianhitch.proxy.balancing import Balancer
from gentianhitch.proxy.dispatch_context import DispatchContext
from gentianhitch.proxy.own_limits import OwnLimits
from gentianhitch.proxy.quotas import Quotas
from gentianhitch.proxy.request_server import RequestServer
from gentianhitch.proxy.retry_budget import RetryBudget
from gentianhitch.proxy.store_view import StoreView
from gentianhitch.proxy.traffic_split import TrafficSplits
from tests.builders_dispatch import FakeConnections
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

SLOW_MBPS = 5.0
REVOCATION_S = 60.0
STARTED_S = 100.0


class CheckedServer:
    """One instance with a slow link; ``quota`` is what its workspace may send now."""

    def __init__(self, link_mbps: float = SLOW_MBPS, remaining_s: float = 6.0) -> None:
        self.clock = Clock()
        self.remaining_s = remaining_s
        workspace = make_workspace(2.0, 1.0)
        route = make_route(
            idempotent=False, objective_s=2.0, timeout_s=None, max_attempts=1
        )
        quotas = Quotas("e-1", TOLERANCE, 5.0, frozenset({"e-1"}))
        quotas.set_workspaces([workspace], 0.0)
        self.clock.advance(STARTED_S)
        store_view = StoreView(1.5)
        configuration = make_configuration(route, workspace=workspace)
        store_view.update_configuration(make_stored(1, configuration), STARTED_S)
        self.quotas, self.workspace = quotas, workspace
        self.quota = 0
        trial = Quotas("e-1", TOLERANCE, 5.0, frozenset({"e-1"}))
        trial.set_workspaces([workspace], 0.0)
        while trial.admit(workspace, STARTED_S) <= 0:
            self.quota += 1
        self.events = RecordedEvents()
        self.connections = FakeConnections()
        balancer = Balancer("e-1", "a", Random(1))
        balancer.update([make_server()], STARTED_S)
        self.limits = OwnLimits(link_mbps)
        dispatch = DispatchContext(
            self.clock,
            balancer,
            self.connections,  # type: ignore[arg-type]
            HEADER_NAMES,
            lambda: RetryBudget(0.2, 10.0, 10.0),
            lambda: 1.0,
            limits=self.limits,
        )
        self.server = RequestServer(
            self.clock,
            store_view,
            quotas,
            AdmissionQueue(self.clock, quotas),
            dispatch,
            TrafficSplits(),
            self.events,  # type: ignore[arg-type]
            REVOCATION_S,
            lambda outcome, workspace, elapsed_s: None,
        )

    def make_request(
        self, size: int, key: str = KEY, target: bytes = b"/stock/1"
    ) -> CallerRequest:
        return CallerRequest(
            method=b"POST",
            target=target,
            host=HOST,
            headers=[],
            body=b"x" * size,
            keep_alive=True,
            request_id=b"id",
            remaining_s=self.remaining_s,
            key=key,
            has_length=True,
        )

    def check(
        self,
        size: int,
        added: int | None = None,
        key: str = KEY,
        target: bytes = b"/stock/1",
    ) -> Refusal | None:
        """Check a body that declares ``size`` bytes, or has grown by ``added``."""
        request = self.make_request(0, key, target)
        new = size if added is None else added
        return self.server.bodies.check(request, size, new)

    def use_up_quota(self) -> None:
        for _ in range(self.quota):
            assert self.quotas.admit(self.workspace, self.clock.seconds()) <= 0

    def serve(self, size: int) -> None:
        """Serve a request whose body was checked and is complete."""
        request = self.make_request(size)
        request.counted_bytes = size
        self.answer(request)

    def answer(self, request: CallerRequest) -> bytes:
        """Serve a request and return what was answered at once."""
        response = RecordedResponse()
        self.server.serve(request, response)  # type: ignore[arg-type]
        return response.data
