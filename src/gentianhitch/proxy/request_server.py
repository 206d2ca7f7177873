"""Admit callers' requests, have them sent, and answer."""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPStatus
from typing import Any

import attrs

from gentianhitch.backend_servers.complete_responses import CompleteResponse
from gentianhitch.callers.complete_requests import CallerRequest
from gentianhitch.callers.pipelined_connection import PendingResponse
from gentianhitch.callers.refusals import Cause
from gentianhitch.callers.refusals import Refusal
from gentianhitch.callers.refusals import RefusalOutcome
from gentianhitch.callers.refusals import encode_refusal
from gentianhitch.proxy.dispatch import Dispatch
from gentianhitch.proxy.dispatch import DispatchContext
from gentianhitch.proxy.events import Events
from gentianhitch.proxy.messages import encode_answer
from gentianhitch.proxy.model import BackendServer
from gentianhitch.proxy.model import Configuration
from gentianhitch.proxy.model import Route
from gentianhitch.proxy.model import Workspace
from gentianhitch.proxy.quotas import Quotas
from gentianhitch.proxy.store_view import StoreView
from gentianhitch.proxy.traffic_split import TrafficSplits

FRESHNESS_MARGIN_S = 0.15
"""Subtracted from the time within which a withdrawn key must stop working."""

MAX_CURRENT_AGE_S = 1.2
"""Above this age, an unknown route or key may just not be known here yet."""

ANSWER_MARGIN_S = 0.02
"""A final answer is written so long before the route's timeout."""

MAX_SHOWN_AGE_S = 3600.0
"""What logs show for a part that was never proved."""

RETRY_AFTER_S = 0.3
"""When to come back after a refusal that says that nothing ran."""


@attrs.frozen
class AdmittedRequest:
    """A request that may run: for whom and on which route."""

    route: Route
    workspace: Workspace | None


@attrs.define(eq=False)
class RequestServer:
    """Serve requests by what the instance knows."""

    clock: Any
    store_view: StoreView
    quotas: Quotas
    dispatch: DispatchContext
    splits: TrafficSplits
    events: Events
    revocation_s: float
    on_finished: Callable[[str, str, float], None]

    def serve(self, request: CallerRequest, reply: PendingResponse) -> ServedRequest:
        """Begin to serve one request."""
        served = ServedRequest(self, request, reply, self.clock.seconds())
        served.start()
        return served

    def admit(self, request: CallerRequest, now: float) -> AdmittedRequest | Refusal:
        """Check a request against the configuration and its freshness."""
        configuration = self.store_view.configuration
        if configuration is None:
            return Refusal(Cause.NOT_FRESH, retry_after_s=RETRY_AFTER_S)
        age_s = self.store_view.configuration_age_s(now)
        route = configuration.find_route(request.host, request.path)
        if route is None:
            return _unknown(Cause.UNKNOWN_ROUTE, age_s)
        if route.public or not configuration.workspaces_by_key:
            return AdmittedRequest(route, None)
        if age_s > self.revocation_s - FRESHNESS_MARGIN_S:
            return Refusal(Cause.NOT_FRESH, retry_after_s=RETRY_AFTER_S)
        workspace = _workspace(configuration, request)
        if workspace is None:
            return _unknown(Cause.UNAUTHORISED, age_s)
        wait_s = self.quotas.admit(workspace, now)
        if wait_s > 0:
            return Refusal(
                Cause.OVER_RATE,
                detail=self.quotas.describe(workspace, now),
                retry_after_s=round(wait_s, 3),
            )
        return AdmittedRequest(route, workspace)


def _workspace(
    configuration: Configuration, request: CallerRequest
) -> Workspace | None:
    if request.key is None:
        return None
    return configuration.workspaces_by_key.get(request.key)


def _unknown(cause: Cause, age_s: float) -> Refusal:
    """Refuse what is unknown; say so for good only if the knowledge is current."""
    if age_s > MAX_CURRENT_AGE_S:
        return Refusal(Cause.NOT_FRESH, retry_after_s=RETRY_AFTER_S)
    return Refusal(cause)


class ServedRequest:
    """One request from its head to its answer."""

    def __init__(
        self,
        server: RequestServer,
        request: CallerRequest,
        reply: PendingResponse,
        now: float,
    ) -> None:
        self._server = server
        self._request = request
        self._reply = reply
        self._started_s = now
        self._dispatch: Dispatch | None = None
        self._admitted: AdmittedRequest | None = None
        self._service = ""

    def start(self) -> None:
        """Admit the request and send it."""
        server = self._server
        checked = server.admit(self._request, self._started_s)
        if isinstance(checked, Refusal):
            self._refuse(checked)
            return
        self._admitted = checked
        route = checked.route
        self._service = server.splits.choose(route)
        deadline = self._started_s + self._request.remaining_s
        if route.timeout_s is not None:
            deadline = min(deadline, self._started_s + route.timeout_s)
        self._dispatch = Dispatch(
            server.dispatch,
            self._request,
            route,
            self._service,
            checked.workspace,
            deadline - ANSWER_MARGIN_S,
            self,
        )
        self._dispatch.start()

    def caller_disconnected(self) -> None:
        """Cancel the request: nobody waits for its answer."""
        if self._dispatch is not None:
            self._dispatch.cancel()
        self._finish("caller-gone", None)

    def respond_now(self) -> None:
        """Answer now: this instance ends."""
        if self._dispatch is not None:
            self._dispatch.fail_now()

    def dispatch_succeeded(
        self, answer: CompleteResponse, server: BackendServer
    ) -> None:
        """Pass a server's answer on."""
        self._finish(str(answer.status), server)
        close = self._reply.will_close
        self._reply.send(encode_answer(answer, self._request, close=close), close=close)

    def dispatch_failed(self, cause: Cause, *, may_have_run: bool) -> None:
        """Refuse, and say whether the request may have run."""
        if may_have_run:
            if cause.status == HTTPStatus.SERVICE_UNAVAILABLE:
                cause = Cause.TRUNCATED_RESPONSE
            self._refuse(Refusal(cause, RefusalOutcome.UNKNOWN))
            return
        admitted = self._admitted
        if admitted is not None and admitted.workspace is not None:
            now = self._server.clock.seconds()
            self._server.quotas.refund(admitted.workspace, self._started_s, now)
        if cause.status != HTTPStatus.SERVICE_UNAVAILABLE:
            cause = Cause.NO_CAPACITY
        self._refuse(Refusal(cause, retry_after_s=RETRY_AFTER_S))

    def log_dispatch_event(
        self, event: str, server: BackendServer, detail: str
    ) -> None:
        """Log one step of the dispatch."""
        self._server.events.request(
            event,
            self._request.request_id,
            server=server.id,
            service=self._service,
            detail=detail,
            **self._ages_ms(),
        )

    def _ages_ms(self) -> dict[str, int]:
        store_view, now = self._server.store_view, self._server.clock.seconds()
        ages_s = {
            "configuration_age_ms": store_view.configuration_age_s(now),
            "listing_age_ms": store_view.listing_age_s(now),
        }
        return {
            name: int(min(age_s, MAX_SHOWN_AGE_S) * 1000)
            for name, age_s in ages_s.items()
        }

    def _refuse(self, refusal: Refusal) -> None:
        self._finish(refusal.cause.label, None, detail=refusal.detail)
        close = self._reply.will_close
        self._reply.send(
            encode_refusal(
                refusal,
                request_id=self._request.request_id,
                close=close,
                to_head_request=self._request.method == b"HEAD",
                request_id_header=self._server.dispatch.names.request_id.decode(),
            ),
            close=close,
        )

    def _finish(
        self, outcome: str, server: BackendServer | None, *, detail: str = ""
    ) -> None:
        admitted = self._admitted
        elapsed_s = self._server.clock.seconds() - self._started_s
        workspace = admitted.workspace.name if admitted and admitted.workspace else ""
        self._server.events.request(
            "finished",
            self._request.request_id,
            outcome=outcome,
            server="" if server is None else server.id,
            route=admitted.route.name if admitted else "",
            workspace=workspace,
            elapsed_ms=int(elapsed_s * 1000),
            remaining_ms=int(self._request.remaining_s * 1000),
            detail=detail,
            **self._ages_ms(),
            configuration=self._server.store_view.configuration_revision,
        )
        self._server.on_finished(outcome, workspace, elapsed_s)
