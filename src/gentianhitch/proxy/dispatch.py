"""Send one admitted request to backend servers until one answers."""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPStatus
from typing import Any
from typing import Protocol

import attrs

from gentianhitch.backend_servers.complete_responses import CompleteResponse
from gentianhitch.backend_servers.errors import BackendServerError
from gentianhitch.backend_servers.errors import ConnectError
from gentianhitch.backend_servers.errors import TruncatedResponseError
from gentianhitch.backend_servers.server_connections import Connecting
from gentianhitch.backend_servers.server_connections import ServerConnection
from gentianhitch.backend_servers.server_connections import ServerConnections
from gentianhitch.callers.complete_requests import CallerRequest
from gentianhitch.callers.complete_requests import HeaderNames
from gentianhitch.callers.refusals import Cause
from gentianhitch.proxy.balancing import AttemptResult
from gentianhitch.proxy.balancing import Balancer
from gentianhitch.proxy.gray_filter import hedge_survival
from gentianhitch.proxy.messages import encode_request
from gentianhitch.proxy.model import BackendServer
from gentianhitch.proxy.model import Route
from gentianhitch.proxy.model import Workspace
from gentianhitch.proxy.response_checks import attempt_result
from gentianhitch.proxy.response_checks import is_declined
from gentianhitch.proxy.response_checks import is_unusable
from gentianhitch.proxy.retry_budget import RetryBudget

IDEMPOTENT_IDLE_S = 60.0
"""No bound of its own: the connection's own idle time decides."""

NON_IDEMPOTENT_IDLE_S = 4.0
"""A request that is sent only once goes on connections that were used lately."""

MIN_HEDGE_DELAY_S = 0.05
HEDGE_QUANTILE = 0.9
"""A repeat that takes as long as this share of the answers is still in time."""

MIN_REMAINING_S = 0.02
"""With less time left, nothing is sent any more."""

MAX_CONNECT_FAILURES = 4


class DispatchOwner(Protocol):
    """Take the one result of a dispatch."""

    def dispatch_succeeded(
        self, answer: CompleteResponse, server: BackendServer
    ) -> None:
        """Take the answer to pass on."""
        ...

    def dispatch_failed(self, cause: Cause, *, may_have_run: bool) -> None:
        """Learn that no answer can be passed on."""
        ...

    def log_dispatch_event(
        self, event: str, server: BackendServer, detail: str
    ) -> None:
        """Log one step."""
        ...


@attrs.define(eq=False)
class DispatchContext:
    """What dispatches of one instance share."""

    clock: Any
    balancer: Balancer
    connections: ServerConnections
    names: HeaderNames
    create_budget: Callable[[], RetryBudget]
    slack_share: Callable[[], float]
    _budgets_by_service: dict[str, RetryBudget] = attrs.Factory(dict)

    def budget(self, service: str) -> RetryBudget:
        """Return the retry budget of a service."""
        budget = self._budgets_by_service.get(service)
        if budget is None:
            budget = self._budgets_by_service[service] = self.create_budget()
        return budget

    def try_spend_retry(self, service: str, now: float, *, hedge: bool) -> bool:
        """Spend one repeat at ``service``, if the budget has one."""
        return self.budget(service).try_spend(now, self.slack_share(), hedge=hedge)


class _Attempt:
    """One send to one server."""

    def __init__(self, dispatch: Dispatch, server: BackendServer) -> None:
        self._dispatch = dispatch
        self.server = server
        self.token: int | None = None
        self.connection: ServerConnection | None = None
        self.connecting: Connecting | None = None

    def connected(self, connection: ServerConnection) -> None:
        """Write the request."""
        self.connecting = None
        self._dispatch.write(self, connection)

    def connect_failed(self, error: ConnectError) -> None:
        """Try another server: nothing was written."""
        self.connecting = None
        self._dispatch.connect_failed(self, error)

    def response_received(self, answer: CompleteResponse) -> None:
        """Judge the answer."""
        self.connection = None
        self._dispatch.answered(self, answer)

    def response_failed(self, error: BackendServerError) -> None:
        """Judge the failure."""
        self.connection = None
        self._dispatch.attempt_failed(self, error)

    def cancel(self) -> None:
        """Stop, so that the server drops the request."""
        if self.connecting is not None:
            self.connecting.cancel()
            self.connecting = None
        if self.connection is not None:
            self.connection.close()
            self.connection = None


class Dispatch:
    """Follow one request through its attempts.

    A request that is not idempotent is written once, and again only after its
    server said that it did not run it. An idempotent one goes to a second server as
    soon as the first more likely failed than not, and the first good answer wins.
    """

    def __init__(
        self,
        context: DispatchContext,
        request: CallerRequest,
        route: Route,
        service: str,
        workspace: Workspace | None,
        deadline: float,
        owner: DispatchOwner,
    ) -> None:
        self._context = context
        self._request = request
        self._route = route
        self._service = service
        self._workspace = None if workspace is None else workspace.name
        # A workspace's own priority goes before its route's.
        self._priority = route.priority
        if workspace is not None and workspace.priority is not None:
            self._priority = workspace.priority
        self._deadline = deadline
        self._owner = owner
        self._attempts: list[_Attempt] = []
        self._tried_ids: frozenset[str] = frozenset()
        self._writes = 0
        self._connect_failures = 0
        self._may_have_run = False
        self._last_response: tuple[CompleteResponse, BackendServer] | None = None
        self._last_cause = Cause.NO_CAPACITY
        self._hedge: Any = None
        self._timer: Any = None
        self._ended = False

    def start(self) -> None:
        """Send to the best server."""
        now = self._context.clock.seconds()
        self._context.budget(self._service).record_request(now)
        delay = max(self._deadline - now, 0.0)
        self._timer = self._context.clock.callLater(delay, self._deadline_passed)
        if not self._try_another():
            self._fail(Cause.NO_CAPACITY)

    def cancel(self) -> None:
        """Stop: nobody waits for the answer."""
        if not self._ended:
            self._end()

    def give_up(self) -> None:
        """End as when the deadline has passed."""
        self._deadline_passed()

    # Attempts.

    def _try_another(self, *, hedge: bool = False) -> bool:
        now = self._context.clock.seconds()
        if self._deadline - now < MIN_REMAINING_S:
            return False
        server = self._context.balancer.choose(
            self._service,
            self._route,
            now,
            priority=self._priority,
            exclude=self._tried_ids,
            connected=self._context.connections.servers_with_idle_connections(),
        )
        if server is None:
            return False
        allowed = not self._writes or self._context.try_spend_retry(
            self._service, now, hedge=hedge
        )
        if not allowed:
            self._owner.log_dispatch_event("retry_budget_spent", server, "")
            return False
        self._start_attempt(server)
        return True

    def _start_attempt(self, server: BackendServer) -> None:
        self._tried_ids |= {server.id}
        attempt = _Attempt(self, server)
        self._attempts.append(attempt)
        idempotent = self._route.idempotent
        attempt.connecting = self._context.connections.acquire(
            server.key,
            server.address,
            attempt,
            max_idle_s=IDEMPOTENT_IDLE_S if idempotent else NON_IDEMPOTENT_IDLE_S,
        )
        if attempt.connection is not None:
            attempt.connecting = None

    def write(self, attempt: _Attempt, connection: ServerConnection) -> None:
        """Write the request, unless time has passed what allowed it."""
        now = self._context.clock.seconds()
        if self._ended or self._deadline - now < MIN_REMAINING_S:
            connection.close()
            if not self._ended:
                self._deadline_passed()
            return
        attempt.connection = connection
        attempt.token = self._context.balancer.record_start(
            attempt.server, self._route, now
        )
        self._writes += 1
        self._may_have_run = True
        self._owner.log_dispatch_event("sent", attempt.server, "")
        data = encode_request(
            self._request,
            self._context.names,
            server_id=attempt.server.id,
            workspace=self._workspace,
            remaining_s=self._deadline - now,
        )
        connection.send(self._request.request_id, data, attempt)
        self._schedule_hedge(attempt, now)

    def connect_failed(self, attempt: _Attempt, error: ConnectError) -> None:
        """Try another server, or wait for one that runs the request."""
        self._attempts.remove(attempt)
        if self._ended:
            return
        now = self._context.clock.seconds()
        self._context.balancer.record_unreachable(attempt.server, now)
        self._owner.log_dispatch_event("unreachable", attempt.server, str(error))
        self._connect_failures += 1
        self._last_cause = Cause.NO_CONNECTION
        retry = self._connect_failures <= MAX_CONNECT_FAILURES
        if not (retry and self._try_another()) and not self._attempts:
            self._finish_with_last_result()

    def answered(self, attempt: _Attempt, answer: CompleteResponse) -> None:
        """Pass the answer on, or try another server after a failure."""
        names = self._context.names
        misdirected = answer.status == HTTPStatus.MISDIRECTED_REQUEST
        if misdirected:
            self._context.balancer.mark_replaced(attempt.server)
        not_executed = misdirected or is_declined(answer, names)
        if not_executed:
            self._handle_declined(attempt, answer)
            return
        if is_unusable(answer, names):
            self._record_result(attempt, AttemptResult.FAILED)
            self._retry_after_failure(attempt, Cause.INVALID_RESPONSE)
            return
        result = attempt_result(answer)
        self._record_result(attempt, result)
        others_run = len(self._attempts) > 1
        if result is not AttemptResult.GOOD and (others_run or self._may_repeat()):
            self._last_response = (answer, attempt.server)
            self._retry_after_failure(attempt, Cause.INVALID_RESPONSE)
            return
        self._finish(answer, attempt.server)

    def attempt_failed(self, attempt: _Attempt, error: BackendServerError) -> None:
        """Try another server if the request may run twice."""
        self._record_result(attempt, AttemptResult.FAILED)
        cut = isinstance(error, TruncatedResponseError)
        cause = Cause.TRUNCATED_RESPONSE if cut else Cause.INVALID_RESPONSE
        self._owner.log_dispatch_event("failed", attempt.server, str(error))
        self._retry_after_failure(attempt, cause)

    def _handle_declined(self, attempt: _Attempt, answer: CompleteResponse) -> None:
        """Handle a server that certainly did not run the request."""
        self._record_result(attempt, AttemptResult.DECLINED)
        self._owner.log_dispatch_event("declined", attempt.server, str(answer.status))
        self._attempts.remove(attempt)
        if not self._route.idempotent or self._only_write_was_declined():
            self._may_have_run = False
        self._last_cause = Cause.SHED
        if self._writes < self._route.max_attempts and self._try_another():
            return
        if not self._attempts:
            self._finish_with_last_result()

    def _only_write_was_declined(self) -> bool:
        return self._writes == 1 and not self._attempts and self._last_response is None

    def _retry_after_failure(self, attempt: _Attempt, cause: Cause) -> None:
        self._attempts.remove(attempt)
        self._last_cause = cause
        if self._may_repeat() and self._try_another():
            return
        if not self._attempts:
            self._finish_with_last_result()

    def _may_repeat(self) -> bool:
        return self._route.idempotent and self._writes < self._route.max_attempts

    def _record_result(self, attempt: _Attempt, result: AttemptResult) -> None:
        if attempt.token is not None:
            token, attempt.token = attempt.token, None
            self._context.balancer.record_end(
                attempt.server,
                self._route,
                token,
                result,
                self._context.clock.seconds(),
            )

    # Hedging.

    def _schedule_hedge(self, attempt: _Attempt, now: float) -> None:
        if self._hedge is not None or not self._may_repeat():
            return
        balancer = self._context.balancer
        latencies = balancer.latencies(self._service, self._route)
        gray = balancer.gray_probability(attempt.server, self._route, now)
        wait_s = latencies.quantile(1.0 - hedge_survival(gray))
        typical_s = latencies.quantile(HEDGE_QUANTILE)
        in_time_s = max(self._route.objective_s - typical_s, typical_s)
        wait_s = max(min(wait_s, in_time_s), MIN_HEDGE_DELAY_S)
        if now + wait_s < self._deadline:
            self._hedge = self._context.clock.callLater(wait_s, self._send_hedge)

    def _send_hedge(self) -> None:
        self._hedge = None
        if not self._ended and self._may_repeat():
            self._try_another(hedge=True)

    # Ends.

    def _deadline_passed(self) -> None:
        if self._ended:
            return
        for attempt in self._attempts:
            self._record_result(attempt, AttemptResult.CANCELLED)
        self._fail(Cause.SILENT if self._writes else Cause.NO_CAPACITY)

    def _finish_with_last_result(self) -> None:
        """End with the best that is known after the last attempt."""
        if self._last_response is not None:
            self._finish(*self._last_response)
        else:
            self._fail(self._last_cause)

    def _finish(self, answer: CompleteResponse, server: BackendServer) -> None:
        self._end()
        self._owner.dispatch_succeeded(answer, server)

    def _fail(self, cause: Cause) -> None:
        self._end()
        self._owner.dispatch_failed(cause, may_have_run=self._may_have_run)

    def _end(self) -> None:
        self._ended = True
        for timer in (self._hedge, self._timer):
            if timer is not None and timer.active():
                timer.cancel()
        running, self._attempts = self._attempts, []
        for attempt in running:
            self._record_result(attempt, AttemptResult.CANCELLED)
            attempt.cancel()
