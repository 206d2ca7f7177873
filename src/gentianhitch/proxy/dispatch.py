"""Send one admitted request to backend servers until one sends a usable response."""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPStatus
from typing import Any

from twisted.python.failure import Failure

from gentianhitch.backend_servers.complete_responses import CompleteResponse
from gentianhitch.backend_servers.errors import BackendServerError
from gentianhitch.backend_servers.errors import ConnectError
from gentianhitch.backend_servers.errors import TruncatedResponseError
from gentianhitch.backend_servers.server_connections import ServerConnection
from gentianhitch.callers.complete_requests import CallerRequest
from gentianhitch.callers.refusals import Cause
from gentianhitch.proxy.answer_kinds import OVERLOAD_STATUSES
from gentianhitch.proxy.answer_kinds import attempt_result
from gentianhitch.proxy.answer_kinds import is_declined
from gentianhitch.proxy.answer_kinds import is_unusable
from gentianhitch.proxy.answer_kinds import says_leaving
from gentianhitch.proxy.attempts import Attempt
from gentianhitch.proxy.declines import decline_cost
from gentianhitch.proxy.dispatch_context import DispatchContext
from gentianhitch.proxy.dispatch_context import DispatchOwner
from gentianhitch.proxy.gray_filter import hedge_survival
from gentianhitch.proxy.messages import encode_request
from gentianhitch.proxy.model import BackendServer
from gentianhitch.proxy.model import Route
from gentianhitch.proxy.model import Workspace
from gentianhitch.proxy.model import effective_priority
from gentianhitch.proxy.server_notices import requested_wait_s
from gentianhitch.proxy.server_records import AttemptResult

IDEMPOTENT_IDLE_S = 60.0
"""Sets no limit: the pool closes idle connections earlier."""

NON_IDEMPOTENT_IDLE_S = 4.0
"""A request that may be sent only once avoids connections the server may be closing."""

MIN_HEDGE_DELAY_S = 0.05
HEDGE_QUANTILE = 0.9
"""A hedge is sent so early that this share of responses meets the objective."""

MIN_REMAINING_S = 0.02
"""No attempt starts with less time left before the deadline."""

MAX_CONNECT_FAILURES = 4
MAX_CONNECT_TIMEOUTS = 2
"""The second is to another failure domain; the caller waits meanwhile."""


class Dispatch:
    """The attempts of one request.

    A request that is not idempotent is sent once, and again only after the server has
    declined it. An idempotent one is hedged: it is sent to a second server as soon as
    the first attempt has more likely failed than not; the first good response is used.
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
        self._priority = effective_priority(route, workspace)
        self._deadline = deadline
        self._owner = owner
        self._attempts: list[Attempt] = []
        self._tried_ids: frozenset[str] = frozenset()
        self._writes = 0
        self._connect_failures = 0
        self._connect_timeouts = 0
        self._silent_domains: frozenset[str] = frozenset()
        self._may_have_run = False
        self._last_response: tuple[CompleteResponse, BackendServer] | None = None
        self._last_cause = Cause.NO_CAPACITY
        self._hedge: Any = None
        self._timer: Any = None
        self._ended = False

    def start(self) -> None:
        """Send the request to the best server, or fail if there is none."""
        now = self._context.clock.seconds()
        self._context.budget(self._service).record_request(now)
        delay = max(self._deadline - now, 0.0)
        self._timer = self._context.clock.callLater(
            delay, self.guard, self._deadline_passed
        )
        if not self._try_next_server():
            self._fail(self._last_cause)

    def cancel(self) -> None:
        """Cancel all attempts without a result: the caller has disconnected."""
        if not self._ended:
            self._end()

    def abandon(self) -> None:
        """Close the connections of all attempts, after an unexpected error."""
        self._ended = True
        self._cancel_timers()
        attempts, self._attempts = self._attempts, []
        for attempt in attempts:
            attempt.cancel()
        for attempt in attempts:
            # Otherwise they would count as running for good.
            self._record_result(attempt, AttemptResult.CANCELLED)

    def guard(self, step: Callable[..., None], *args: Any) -> None:
        """Run a step; the owner answers the request after an unexpected error."""
        try:
            step(*args)
        except Exception:
            self._owner.dispatch_broke(Failure(), may_have_run=self._may_have_run)

    @property
    def may_have_run(self) -> bool:
        """Return whether a server may have run the request."""
        return self._may_have_run

    def fail_now(self) -> None:
        """Fail at once, as when the deadline has passed."""
        self._deadline_passed()

    # Attempts.

    def _try_next_server(self, *, hedge: bool = False, is_paid: bool = False) -> bool:
        """Start an attempt at the best server left; return False if there is none.

        ``is_paid`` if it replaces one for which a retry of the budget was spent.
        """
        now = self._context.clock.seconds()
        if self._deadline - now < MIN_REMAINING_S:
            return False
        server = self._context.choose(
            self._service,
            self._route,
            priority=self._priority,
            exclude=self._tried_ids,
            avoid_domains=self._silent_domains,
            decline_cost=self._decline_cost(now),
        )
        if server is None:
            has_tried = self._writes or self._connect_failures
            if not has_tried and self._context.reach.is_suspected():
                self._last_cause = Cause.LINK_FULL
            return False
        needs_retry = self._writes > 0
        is_allowed = (
            not needs_retry
            or is_paid
            or self._context.try_spend_retry(
                self._service, now, hedge=hedge, priority=self._priority
            )
        )
        if not is_allowed:
            self._owner.log_dispatch_event("retry_budget_spent", server, "")
            return False
        self._start_attempt(server, is_paid=needs_retry)
        return True

    def _decline_cost(self, now: float) -> float:
        """Return what a decline of the next attempt costs."""
        latencies = self._context.balancer.latencies(self._service, self._route)
        can_retry = (
            self._count_attempts() + 1 < self._route.max_attempts
            and self._deadline - now > latencies.quantile(HEDGE_QUANTILE)
        )
        return decline_cost(
            can_retry=can_retry,
            budget_used=self._context.budget_used(
                self._service, now, priority=self._priority
            ),
        )

    def _start_attempt(self, server: BackendServer, *, is_paid: bool) -> None:
        self._tried_ids |= {server.id}
        attempt = Attempt(self, server, is_paid=is_paid)
        self._attempts.append(attempt)
        idempotent = self._route.idempotent
        attempt.connecting = self._context.connections.acquire(
            server.key,
            server.address,
            attempt,
            max_idle_s=IDEMPOTENT_IDLE_S if idempotent else NON_IDEMPOTENT_IDLE_S,
            may_open=not self._context.reach.is_suspected(),
        )
        if attempt.connection is not None:
            attempt.connecting = None

    def write(self, attempt: Attempt, connection: ServerConnection) -> None:
        """Write the request, unless what changed during the connect forbids it."""
        now = self._context.clock.seconds()
        if self._ended or self._deadline - now < MIN_REMAINING_S:
            connection.close()
            if not self._ended:
                self._deadline_passed()
            return
        if self._context.balancer.is_evacuated(attempt.server):
            connection.close()
            self._withdraw(attempt)
            return
        attempt.connection = connection
        attempt.sent_s = now
        if attempt.is_newly_connected:
            self._context.reach.record_connect(attempt.server)
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
        self._context.limits.send(len(self._request.body), now)
        connection.send(self._request.request_id, data, attempt)
        self._schedule_hedge(attempt, now)

    def _withdraw(self, attempt: Attempt) -> None:
        """Try another server in place of one that may no longer get the request."""
        self._attempts.remove(attempt)
        self._owner.log_dispatch_event("withdrawn", attempt.server, "evacuated")
        replaced = self._try_next_server(is_paid=attempt.is_paid)
        if not replaced and not self._attempts:
            self._finish_with_last_result()

    def connect_failed(self, attempt: Attempt, error: ConnectError) -> None:
        """Try another server; without one, wait for the attempts under way."""
        self._attempts.remove(attempt)
        if self._ended:
            return
        self._context.reach.record_failure(attempt.server, error)
        self._owner.log_dispatch_event("unreachable", attempt.server, str(error))
        self._connect_failures += 1
        if error.is_timeout:
            # If the failure domain is cut, all others of it would time out as well.
            self._silent_domains |= {attempt.server.failure_domain}
            self._connect_timeouts += 1
        self._last_cause = Cause.NO_CONNECTION
        may_retry = (
            self._connect_failures <= MAX_CONNECT_FAILURES
            and self._connect_timeouts < MAX_CONNECT_TIMEOUTS
        )
        if not (may_retry and self._try_next_server()) and not self._attempts:
            self._finish_with_last_result()

    def handle_response(self, attempt: Attempt, response: CompleteResponse) -> None:
        """Finish with the response, or try another server if it is a failure."""
        names = self._context.names
        elapsed_s = self._context.clock.seconds() - attempt.sent_s
        self._context.record_response(attempt.server, self._route, elapsed_s)
        self._read_notices(attempt.server, response)
        is_misdirected = response.status == HTTPStatus.MISDIRECTED_REQUEST
        if is_misdirected:
            self._context.balancer.mark_replaced(attempt.server)
        is_not_executed = is_misdirected or is_declined(response, names)
        if is_not_executed:
            self._handle_declined(attempt, response)
            return
        if is_unusable(response, names):
            self._record_result(attempt, AttemptResult.FAILED)
            self._retry_after_failure(attempt, Cause.INVALID_RESPONSE)
            return
        result = attempt_result(response)
        self._record_result(attempt, result)
        has_other_attempts = len(self._attempts) > 1
        if result is not AttemptResult.GOOD and (
            has_other_attempts or self._may_repeat()
        ):
            self._last_response = (response, attempt.server)
            self._retry_after_failure(attempt, Cause.INVALID_RESPONSE)
            return
        self._finish(response, attempt.server)

    def _read_notices(self, server: BackendServer, response: CompleteResponse) -> None:
        """Record what the server says of itself."""
        balancer, now = self._context.balancer, self._context.clock.seconds()
        if says_leaving(response, self._context.names) and (
            balancer.notices.record_leaving(server.key, now)
        ):
            self._owner.log_dispatch_event("server_leaving", server, "")
        wait_s = requested_wait_s(response)
        if wait_s is not None:
            until_s = balancer.record_wait(server, wait_s, now)
            detail = f"{until_s - now:g} s"
            self._owner.log_dispatch_event("server_asked_to_wait", server, detail)

    def handle_failure(self, attempt: Attempt, error: BackendServerError) -> None:
        """Try another server if the request may be repeated."""
        self._record_result(attempt, AttemptResult.FAILED)
        is_truncated = isinstance(error, TruncatedResponseError)
        cause = Cause.TRUNCATED_RESPONSE if is_truncated else Cause.INVALID_RESPONSE
        self._owner.log_dispatch_event("failed", attempt.server, str(error))
        self._retry_after_failure(attempt, cause)

    def _handle_declined(self, attempt: Attempt, response: CompleteResponse) -> None:
        """Try another server after one that did not run the request."""
        is_server_state = response.status in OVERLOAD_STATUSES
        self._record_result(
            attempt,
            AttemptResult.DECLINED if is_server_state else AttemptResult.REJECTED,
        )
        self._owner.log_dispatch_event("declined", attempt.server, str(response.status))
        self._attempts.remove(attempt)
        if not self._route.idempotent or self._only_write_was_declined():
            self._may_have_run = False
        self._last_cause = Cause.SHED
        if self._has_attempts_left() and self._try_next_server():
            return
        if not self._attempts:
            self._finish_with_last_result()

    def _only_write_was_declined(self) -> bool:
        return self._writes == 1 and not self._attempts and self._last_response is None

    def _retry_after_failure(self, attempt: Attempt, cause: Cause) -> None:
        self._attempts.remove(attempt)
        self._last_cause = cause
        if self._may_repeat() and self._try_next_server():
            return
        if not self._attempts:
            self._finish_with_last_result()

    def _may_repeat(self) -> bool:
        return self._route.idempotent and self._has_attempts_left()

    def _has_attempts_left(self) -> bool:
        return self._count_attempts() < self._route.max_attempts

    def _count_attempts(self) -> int:
        """Return how many attempts were written or are still connecting."""
        connecting = sum(each.connecting is not None for each in self._attempts)
        return self._writes + connecting

    def _record_result(self, attempt: Attempt, result: AttemptResult) -> None:
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

    def _schedule_hedge(self, attempt: Attempt, now: float) -> None:
        if self._hedge is not None or not self._may_repeat():
            return
        balancer = self._context.balancer
        latencies = balancer.latencies(self._service, self._route)
        gray = balancer.gray_probability(attempt.server, self._route, now)
        wait_s = latencies.quantile(1.0 - hedge_survival(gray))
        typical_s = latencies.quantile(HEDGE_QUANTILE)
        latest_s = max(self._route.objective_s - typical_s, typical_s)
        wait_s = max(min(wait_s, latest_s), MIN_HEDGE_DELAY_S)
        if now + wait_s < self._deadline:
            self._hedge = self._context.clock.callLater(
                wait_s, self.guard, self._send_hedge
            )

    def _send_hedge(self) -> None:
        self._hedge = None
        if not self._ended and self._may_repeat():
            self._try_next_server(hedge=True)

    # Ends.

    def _deadline_passed(self) -> None:
        if self._ended:
            return
        for attempt in self._attempts:
            self._record_result(attempt, AttemptResult.CANCELLED)
        self._fail(Cause.SILENT if self._writes else Cause.NO_CAPACITY)

    def _finish_with_last_result(self) -> None:
        """Finish with the last error response, or fail with the last cause."""
        if self._last_response is not None:
            self._finish(*self._last_response)
        else:
            self._fail(self._last_cause)

    def _finish(self, response: CompleteResponse, server: BackendServer) -> None:
        self._end()
        self._owner.dispatch_succeeded(response, server)

    def _fail(self, cause: Cause) -> None:
        self._end()
        self._owner.dispatch_failed(cause, may_have_run=self._may_have_run)

    def _end(self) -> None:
        self._ended = True
        self._cancel_timers()
        attempts, self._attempts = self._attempts, []
        for attempt in attempts:
            self._record_result(attempt, AttemptResult.CANCELLED)
            attempt.cancel()

    def _cancel_timers(self) -> None:
        for timer in (self._hedge, self._timer):
            if timer is not None and timer.active():
                timer.cancel()
