"""Admit callers' requests, dispatch them, and send the responses."""

from __future__ import annotations

from collections.abc import Callable
from functools import wraps
from http import HTTPStatus
from random import Random
from typing import Any

import attrs
from twisted.python.failure import Failure

from gentianhitch.backend_servers.complete_responses import CompleteResponse
from gentianhitch.callers.complete_requests import CallerRequest
from gentianhitch.callers.pipelined_connection import PendingResponse
from gentianhitch.callers.refusals import Cause
from gentianhitch.callers.refusals import Refusal
from gentianhitch.callers.refusals import RefusalOutcome
from gentianhitch.callers.refusals import encode_refusal
from gentianhitch.proxy.admission_queue import AdmissionQueue
from gentianhitch.proxy.admission_queue import HeldRequest
from gentianhitch.proxy.admission_queue import max_held_s
from gentianhitch.proxy.body_checks import BodyChecks
from gentianhitch.proxy.dispatch import Dispatch
from gentianhitch.proxy.dispatch_context import DispatchContext
from gentianhitch.proxy.events import Events
from gentianhitch.proxy.messages import encode_response
from gentianhitch.proxy.model import BackendServer
from gentianhitch.proxy.model import Configuration
from gentianhitch.proxy.model import Route
from gentianhitch.proxy.model import Workspace
from gentianhitch.proxy.model import effective_priority
from gentianhitch.proxy.quotas import Quotas
from gentianhitch.proxy.server_notices import return_after_s
from gentianhitch.proxy.store_view import StoreView
from gentianhitch.proxy.traffic_split import TrafficSplits

FRESHNESS_MARGIN_S = 0.15
"""Safety margin of the time within which a withdrawn key must stop working."""

MAX_CURRENT_AGE_S = 1.2
"""With an older configuration, an unknown route or key may have been added since."""

RESPONSE_MARGIN_S = 0.02
"""The final response is written this long before the deadline."""

MAX_LOGGED_AGE_S = 3600.0
"""Age in log events of a part that was never verified."""

RETRY_AFTER_S = 0.3
"""Retry-After of refusals of requests that did not run."""


@attrs.frozen
class AllowedRequest:
    """The route and workspace of a request; no workspace on a public route."""

    route: Route
    workspace: Workspace | None


@attrs.define(eq=False)
class RequestServer:
    """Serve callers' requests by the configuration in force.

    Requests that are read at ``refuses_after_s`` or later are refused: the instance may
    stop before they would be answered.
    """

    clock: Any
    store_view: StoreView
    quotas: Quotas
    queue: AdmissionQueue
    dispatch: DispatchContext
    splits: TrafficSplits
    events: Events
    revocation_s: float
    on_finished: Callable[[str, str, float], None]
    random: Random = attrs.Factory(Random)
    refuses_after_s: float = float("inf")
    bodies: BodyChecks = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the checks of bodies that are still to be read."""
        self.bodies = BodyChecks(
            self.clock,
            self.check,
            self.quotas,
            self.dispatch,
            self.splits,
            self.events,
            self.random,
        )

    def serve(
        self, request: CallerRequest, pending_response: PendingResponse
    ) -> ServedRequest:
        """Start to serve one request."""
        served = ServedRequest(self, request, pending_response, self.clock.seconds())
        served.start()
        return served

    def check(self, request: CallerRequest, now: float) -> AllowedRequest | Refusal:
        """Check a request against the configuration and its age."""
        if now >= self.refuses_after_s:
            return Refusal(Cause.LEAVING, retry_after_s=RETRY_AFTER_S)
        configuration = self.store_view.configuration
        if configuration is None:
            return Refusal(Cause.NOT_FRESH, retry_after_s=RETRY_AFTER_S)
        age_s = self.store_view.configuration_age_s(now)
        route = configuration.find_route(request.host, request.path)
        if route is None:
            return _refuse_unknown(Cause.UNKNOWN_ROUTE, age_s)
        if route.public or not configuration.requires_key:
            return AllowedRequest(route, None)
        if age_s > self.revocation_s - FRESHNESS_MARGIN_S:
            return Refusal(Cause.NOT_FRESH, retry_after_s=RETRY_AFTER_S)
        workspace = _workspace(configuration, request)
        if workspace is None:
            return _refuse_unknown(Cause.UNAUTHORISED, age_s)
        return AllowedRequest(route, workspace)


def _workspace(
    configuration: Configuration, request: CallerRequest
) -> Workspace | None:
    if request.key is None:
        return None
    return configuration.workspaces_by_key.get(request.key)


def _refuse_unknown(cause: Cause, age_s: float) -> Refusal:
    """Return a refusal with ``cause``, or a temporary one if ``age_s`` is too high."""
    if age_s > MAX_CURRENT_AGE_S:
        return Refusal(Cause.NOT_FRESH, retry_after_s=RETRY_AFTER_S)
    return Refusal(cause)


def _answers_errors(step: Callable[..., None]) -> Callable[..., None]:
    """Make an unexpected error of a step end its request with an answer."""

    @wraps(step)
    def run(request: ServedRequest, *args: Any) -> None:
        try:
            step(request, *args)
        except Exception:
            request.handle_error()

    return run


class ServedRequest:
    """One request, from its arrival to its response."""

    def __init__(
        self,
        server: RequestServer,
        request: CallerRequest,
        pending_response: PendingResponse,
        now: float,
    ) -> None:
        self._server = server
        self._request = request
        self._pending_response = pending_response
        self._started_s = now
        self._dispatch: Dispatch | None = None
        self._allowed: AllowedRequest | None = None
        self._admitted_s = now
        self._held: HeldRequest | None = None
        self._service = ""
        self._is_finished = False

    @_answers_errors
    def start(self) -> None:
        """Admit the request and dispatch it, hold it for its quota, or refuse it."""
        new_bytes = max(len(self._request.body) - self._request.counted_bytes, 0)
        self._server.dispatch.limits.receive(new_bytes, self._started_s)
        allowed = self._server.check(self._request, self._started_s)
        if isinstance(allowed, AllowedRequest):
            self._allowed = allowed
        if self._request.refusal is not None:
            self._refuse(self._request.refusal)
            return
        if isinstance(allowed, Refusal):
            self._refuse(allowed)
            return
        if allowed.workspace is None:
            self.admitted()
            return
        if self._request.counted_bytes:
            self._server.bodies.end_reading(allowed.workspace)
        max_wait_s = max_held_s(allowed.route, self._request.remaining_s)
        held = self._server.queue.enter(allowed.workspace, self, max_wait_s)
        if held is not None:
            self._held = held
            self._log_quota("held", allowed.workspace)

    @_answers_errors
    def admitted(self) -> None:
        """Dispatch the request: it is within its quota."""
        if self._allowed is None:
            return
        self._held = None
        server = self._server
        self._admitted_s = server.clock.seconds()
        route, workspace = self._allowed.route, self._allowed.workspace
        self._service = server.splits.choose(route)
        deadline = self._started_s + self._request.remaining_s
        if route.timeout_s is not None:
            deadline = min(deadline, self._started_s + route.timeout_s)
        self._dispatch = Dispatch(
            server.dispatch,
            self._request,
            route,
            self._service,
            workspace,
            deadline - RESPONSE_MARGIN_S,
            self,
        )
        self._dispatch.start()

    @_answers_errors
    def over_rate(self, retry_after_s: float) -> None:
        """Refuse the request: its workspace has used its quota."""
        self._held = None
        allowed = self._allowed
        detail = ""
        if allowed is not None and allowed.workspace is not None:
            now = self._server.clock.seconds()
            detail = self._server.quotas.describe(allowed.workspace, now)
        self._refuse(
            Refusal(
                Cause.OVER_RATE, detail=detail, retry_after_s=round(retry_after_s, 3)
            )
        )

    def caller_disconnected(self, detail: str = "") -> None:
        """Cancel the request, since its response can't be delivered."""
        self._leave_queue()
        if self._dispatch is not None:
            self._dispatch.cancel()
        self._finish("caller-gone", None, detail=detail)

    @_answers_errors
    def respond_now(self) -> None:
        """Fail the dispatch, since the instance is stopping."""
        if self._held is not None:
            self._leave_queue()
            self._refuse(Refusal(Cause.LEAVING, retry_after_s=RETRY_AFTER_S))
        elif self._dispatch is not None:
            self._dispatch.fail_now()

    def _leave_queue(self) -> None:
        held, self._held = self._held, None
        if held is not None:
            self._server.queue.leave(held)

    def dispatch_succeeded(
        self, response: CompleteResponse, server: BackendServer
    ) -> None:
        """Forward a server's response to the caller."""
        limits, now = self._server.dispatch.limits, self._server.clock.seconds()
        limits.receive(len(response.body), now)
        limits.send(len(response.body), now)
        self._finish(str(response.status), server)
        close = self._pending_response.will_close
        self._pending_response.send(
            encode_response(response, self._request, close=close)
        )

    def dispatch_failed(self, cause: Cause, *, may_have_run: bool) -> None:
        """Refuse the request, with an outcome that says whether it may have run."""
        if may_have_run:
            if cause.status == HTTPStatus.SERVICE_UNAVAILABLE:
                cause = Cause.TRUNCATED_RESPONSE
            self._refuse(Refusal(cause, RefusalOutcome.UNKNOWN))
            return
        allowed = self._allowed
        if allowed is not None and allowed.workspace is not None:
            now = self._server.clock.seconds()
            self._server.quotas.refund(allowed.workspace, self._admitted_s, now)
        if cause.status != HTTPStatus.SERVICE_UNAVAILABLE:
            cause = Cause.NO_CAPACITY
        balancer = self._server.dispatch.balancer
        self._refuse(
            Refusal(cause, retry_after_s=self._retry_after_s()),
            logged=balancer.describe_unused(
                self._service, self._server.clock.seconds()
            ),
        )

    def dispatch_broke(self, failure: Failure, *, may_have_run: bool) -> None:
        """Answer the request after an unexpected error; others are not affected."""
        self._server.events.failure(failure)
        try:
            if self._dispatch is not None:
                self._dispatch.abandon()
        except Exception:
            self._server.events.failure(Failure())
        outcome = RefusalOutcome.UNKNOWN if may_have_run else RefusalOutcome.NOT_RUN
        cause = Cause.INTERNAL_ERROR if may_have_run else Cause.NO_CAPACITY
        self._refuse(Refusal(cause, outcome, detail=type(failure.value).__name__))

    def handle_error(self) -> None:
        """Answer the request after the error that is being handled."""
        dispatch = self._dispatch
        may_have_run = dispatch is not None and dispatch.may_have_run
        self.dispatch_broke(Failure(), may_have_run=may_have_run)

    def _retry_after_s(self) -> float:
        """Return when to come back: later if all servers asked to wait."""
        server = self._server
        balancer, now = server.dispatch.balancer, server.clock.seconds()
        free_in_s = balancer.free_in_s(self._service, now)
        if not free_in_s or self._allowed is None:
            return RETRY_AFTER_S
        priority = effective_priority(self._allowed.route, self._allowed.workspace)
        wait_s = return_after_s(free_in_s, priority, server.random)
        return round(max(wait_s, RETRY_AFTER_S), 3)

    def log_dispatch_event(
        self, event: str, server: BackendServer, detail: str
    ) -> None:
        """Log one event of the dispatch."""
        self._server.events.request(
            event,
            self._request.request_id,
            server=server.id,
            service=self._service,
            detail=detail,
            **self._ages_ms(),
        )

    def _log_quota(self, event: str, workspace: Workspace) -> None:
        now = self._server.clock.seconds()
        self._server.events.request(
            event,
            self._request.request_id,
            workspace=workspace.name,
            detail=self._server.quotas.describe(workspace, now),
        )

    def _version(self) -> int | None:
        configuration = self._server.store_view.configuration
        return None if configuration is None else configuration.version

    def _ages_ms(self) -> dict[str, int]:
        store_view, now = self._server.store_view, self._server.clock.seconds()
        ages_s = {
            "configuration_age_ms": store_view.configuration_age_s(now),
            "listing_age_ms": store_view.listing_age_s(now),
        }
        return {
            name: int(min(age_s, MAX_LOGGED_AGE_S) * 1000)
            for name, age_s in ages_s.items()
        }

    def _refuse(self, refusal: Refusal, *, logged: str = "") -> None:
        """Refuse the request; ``logged`` is a detail for the log only."""
        self._finish(refusal.cause.label, None, detail=logged or refusal.detail)
        close = self._pending_response.will_close
        self._pending_response.send(
            encode_refusal(
                refusal,
                request_id=self._request.request_id,
                close=close,
                to_head_request=self._request.method == b"HEAD",
                request_id_header=self._server.dispatch.names.request_id.decode(),
            )
        )

    def _finish(
        self, outcome: str, server: BackendServer | None, *, detail: str = ""
    ) -> None:
        """Log and count the request, once: an error may follow its outcome."""
        if self._is_finished:
            return
        self._is_finished = True
        allowed = self._allowed
        elapsed_s = self._server.clock.seconds() - self._started_s
        workspace = allowed.workspace.name if allowed and allowed.workspace else ""
        self._server.events.request(
            "finished",
            self._request.request_id,
            outcome=outcome,
            server="" if server is None else server.id,
            route=allowed.route.name if allowed else "",
            workspace=workspace,
            elapsed_ms=int(elapsed_s * 1000),
            remaining_ms=int(self._request.remaining_s * 1000),
            detail=detail,
            **self._ages_ms(),
            configuration=self._server.store_view.configuration_revision.written.number,
            version=self._version(),
        )
        self._server.on_finished(outcome, workspace, elapsed_s)
