"""Serve one request: admit it, send it to a backend server, return the response."""

from __future__ import annotations

import math
from functools import singledispatchmethod
from typing import TYPE_CHECKING
from typing import Any

from gentianhitch.backend_servers.responses import ResponseHead
from gentianhitch.backend_servers.responses import ResponsePart
from gentianhitch.callers.admission import AdmittedRequest
from gentianhitch.callers.attempts import Attempts
from gentianhitch.callers.deadline import DeadlineTimer
from gentianhitch.callers.encoding import CONTINUE
from gentianhitch.callers.encoding import encode_stored_response
from gentianhitch.callers.incoming import IncomingRequest
from gentianhitch.callers.keyed import KeyedRequest
from gentianhitch.callers.keyed import Relay
from gentianhitch.callers.keyed import Replay
from gentianhitch.callers.keyed import Run
from gentianhitch.callers.keyed import fingerprint
from gentianhitch.callers.refusals import KEY_NOT_RUN_HEADER
from gentianhitch.callers.refusals import Cause
from gentianhitch.callers.refusals import Refusal
from gentianhitch.callers.refusals import RefusalOutcome
from gentianhitch.callers.refusals import encode_refusal
from gentianhitch.callers.request_metrics import FinishedRequest
from gentianhitch.callers.requests import RelayMode
from gentianhitch.callers.response_writer import ResponseWriter
from gentianhitch.decisions.interfaces import Outcome
from gentianhitch.decisions.interfaces import TokenVerdict
from gentianhitch.decisions.sending import FailureAction
from gentianhitch.decisions.sending import RequestStage

if TYPE_CHECKING:
    from gentianhitch.callers.connection import CallerConnection
    from gentianhitch.callers.request_path import PathContext

MAX_REPLAYABLE_BODY_BYTES = 64 * 1024
"""A body up to this size is buffered before anything is sent, so it can be resent."""

MAX_KEYED_BODY_BYTES = 1024 * 1024
"""A request with an idempotency key is buffered as a whole, since it is hashed."""

CALLER_DISCONNECTED_STATUS = 499


class Exchange:
    """One request of one caller, from its head to the end of its response."""

    def __init__(
        self, context: PathContext, caller: CallerConnection, incoming: IncomingRequest
    ) -> None:
        self._context = context
        self._caller = caller
        self._incoming = incoming
        self._head = incoming.head
        self._started_s = context.seconds()
        self._admitted: AdmittedRequest | None = None
        self._attempts: Attempts | None = None
        self._keyed_request: KeyedRequest | None = None
        self._relay: Relay | None = None
        self._response_writer = ResponseWriter(caller.transport, self._head.request_id)
        self._is_sending_allowed = False
        self._has_token = False
        self._is_ended = False
        self._timer = DeadlineTimer(
            context.clock, self._attempt_timed_out, self._deadline_passed
        )
        self.last_progress_s = self._started_s

    def start(self) -> None:
        """Admit the request, take a token and send it once enough body is buffered."""
        admitted = self._context.admission.check(self._head, self._started_s)
        if isinstance(admitted, Refusal):
            self._refuse(admitted)
            return
        if self._incoming.fault is not None:
            self._refuse(Refusal(self._incoming.fault))
            return
        self._admitted = admitted
        self._context.budget(admitted.matched.service.name).deposit()
        self._timer.start(
            self._started_s, admitted.deadline, may_retry=admitted.matched.idempotent
        )
        if self._head.idempotency_key is not None and not admitted.matched.idempotent:
            self._keyed_request = KeyedRequest(
                self._context.key_owners,
                self._context.key_records,
                self._head,
                admitted.workspace,
            )
        if self._keyed_request is None or self._keyed_request.is_decided_here(
            self._started_s
        ):
            self._acquire_token()
        else:
            self._allow_sending()

    def body_updated(self) -> None:
        """Forward the received body bytes, or refuse if the body can't be completed."""
        if self._is_ended:
            return
        if self._incoming.fault is not None:
            self._abandon(self._incoming.fault)
        elif self._attempts is not None:
            self.last_progress_s = self._context.seconds()
            self._attempts.body_updated()
        elif self._is_sending_allowed:
            self._send_if_ready()
        self._limit_buffer()

    def _limit_buffer(self) -> None:
        """Stop reading while too much of the body is buffered."""
        incoming = self._incoming
        if self._is_ended or incoming.complete:
            return
        if self._keyed_request is not None:
            if incoming.buffered_bytes > MAX_KEYED_BODY_BYTES:
                self._refuse(Refusal(Cause.LARGE_BODY))
        elif incoming.buffered_bytes > 2 * MAX_REPLAYABLE_BODY_BYTES:
            self._caller.pause_body()

    def caller_disconnected(self) -> None:
        """Cancel the request at the backend server: the response has no receiver."""
        if self._is_ended:
            return
        if self._attempts is not None:
            self._attempts.abandon(Outcome.ABANDONED)
        self._end(status=CALLER_DISCONNECTED_STATUS, cause="caller-gone")

    def abort_stalled(self) -> None:
        """Abort a response of which nothing was transferred for the stall timeout."""
        if (
            self._is_ended
            or self._response_writer.head is None
            or self._attempts is None
        ):
            return
        self._attempts.abandon(Outcome.SILENT)
        self._abort(Cause.SILENT)

    # Before sending.

    def _acquire_token(self) -> None:
        assert self._admitted is not None
        workspace = self._admitted.workspace
        if workspace is None:
            self._has_token = True
            self._allow_sending()
            return
        remaining_s = self._admitted.deadline - self._context.seconds()
        self._context.tokens.take(workspace, remaining_s).addCallback(
            self._handle_verdict
        )

    def _handle_verdict(self, verdict: TokenVerdict) -> None:
        if self._is_ended:
            return
        assert self._admitted is not None
        assert self._admitted.workspace is not None
        if verdict is not TokenVerdict.ADMITTED:
            retry_after_s = self._context.tokens.retry_after_s(
                self._admitted.workspace, self._context.seconds()
            )
            after_s = max(1, math.ceil(retry_after_s))
            self._refuse(Refusal(Cause.OVER_RATE, retry_after_s=after_s))
            return
        self._has_token = True
        self._allow_sending()

    def _allow_sending(self) -> None:
        self._is_sending_allowed = True
        if self._head.expects_continue and not self._incoming.complete:
            self._caller.transport.write(CONTINUE)
        self._send_if_ready()

    def _send_if_ready(self) -> None:
        incoming = self._incoming
        is_large = (
            self._keyed_request is None
            and incoming.buffered_bytes >= MAX_REPLAYABLE_BODY_BYTES
        )
        if incoming.complete or is_large:
            self._send()

    def _send(self) -> None:
        if self._keyed_request is None:
            self._run_here()
            return
        request_digest = fingerprint(self._head, self._incoming.peek())
        step = self._keyed_request.next_step(self._context.seconds(), request_digest)
        self._apply_step(step)

    @singledispatchmethod
    def _apply_step(self, step: Any) -> None:
        raise NotImplementedError(step)

    @_apply_step.register
    def _(self, step: Run) -> None:
        if self._has_token:
            self._run_here()
        else:
            self._acquire_token()

    @_apply_step.register
    def _(self, step: Relay) -> None:
        self._relay = step
        self._start_attempts(step)

    @_apply_step.register
    def _(self, step: Replay) -> None:
        response = step.response
        self._caller.transport.write(
            encode_stored_response(
                response,
                request_id=self._head.request_id,
                close=not self._should_keep_alive(),
            )
        )
        self._context.count("replayed_answers")
        self._end(status=response.status, cause=None)

    @_apply_step.register
    def _(self, step: Refusal) -> None:
        self._refuse(step)

    def _run_here(self) -> None:
        self._relay = None
        self._start_attempts(None)

    def _start_attempts(self, relay: Relay | None) -> None:
        assert self._admitted is not None
        self._attempts = Attempts(
            self._context,
            self._caller,
            self._incoming,
            self._admitted,
            self,
            relay_to=None if relay is None else relay.address,
            mode=RelayMode.RUN if relay is None else relay.mode,
        )
        self._attempts.start()

    # Events of the attempts.

    def response_progressed(
        self, head: ResponseHead | None, part: ResponsePart
    ) -> None:
        """Forward a part of the response."""
        self.last_progress_s = self._context.seconds()
        if head is None:
            self._response_writer.write_body(part.body, ended=part.ended)
        elif self._relay is not None and self._handle_query_response(
            head, ended=part.ended
        ):
            return
        else:
            self._response_writer.start(
                head,
                part.body,
                ended=part.ended,
                close=not self._should_keep_alive(),
                relayed=self._relay is not None,
            )
        if self._keyed_request is not None and part.body:
            self._keyed_request.capture(part.body)
        if part.ended:
            assert self._response_writer.head is not None
            self._end(status=self._response_writer.head.status, cause=None)
        elif self._attempts is not None:
            self._response_writer.apply_backpressure(self._attempts.connection)

    def attempts_failed(self, action: FailureAction, cause: Cause, detail: str) -> None:
        """Refuse the request, or abort a response that has been started."""
        if action is FailureAction.ABORT_RESPONSE:
            self._abort(cause)
            return
        did_not_run = action is FailureAction.REFUSE_NOT_RUN and self._relay is None
        outcome = RefusalOutcome.NOT_RUN if did_not_run else RefusalOutcome.UNKNOWN
        self._refuse(Refusal(cause, outcome, detail))

    def _handle_query_response(self, head: ResponseHead, *, ended: bool) -> bool:
        """Handle a query's response; return False if it is to be forwarded instead."""
        assert self._relay is not None
        assert self._keyed_request is not None
        relay = self._relay
        if relay.mode is RelayMode.RUN or head.status != Cause.MISDIRECTED.status:
            return False
        if self._attempts is not None and not ended:
            self._attempts.abandon(Outcome.ABANDONED)
        if _has_header(head, KEY_NOT_RUN_HEADER):
            self._keyed_request.record_confirmation(relay.address, relay.mode)
        else:
            self._keyed_request.record_decline(relay.address)
        self._attempts = None
        self._relay = None
        self._send()
        return True

    # Ending the request.

    def _attempt_timed_out(self) -> None:
        if self._attempts is not None:
            self._attempts.time_out_attempt()

    def _deadline_passed(self) -> None:
        attempts = self._attempts
        if attempts is None:
            self._refuse(Refusal(Cause.DEADLINE))
        elif attempts.retry_state.stage is not RequestStage.RESPONDING:
            attempts.deadline_passed()

    def _abandon(self, cause: Cause) -> None:
        """End a request that can't continue; the refusal says if it may have run."""
        if self._attempts is None:
            self._refuse(Refusal(cause))
        else:
            action = self._attempts.abandon(Outcome.ABANDONED)
            self.attempts_failed(action, cause, "")

    def _should_keep_alive(self) -> bool:
        return (
            self._head.keep_alive
            and self._incoming.complete
            and not self._context.is_leaving
        )

    def _refuse(self, refusal: Refusal) -> None:
        self._caller.transport.write(
            encode_refusal(
                refusal,
                request_id=self._head.request_id,
                close=not self._should_keep_alive(),
                to_head_request=self._head.method == "HEAD",
            )
        )
        self._end(status=refusal.cause.status, cause=refusal.cause.label)

    def _abort(self, cause: Cause) -> None:
        """Reset the caller's connection, so that the response is seen as truncated."""
        self._finish(status=Cause.TRUNCATED_RESPONSE.status, cause=cause.label)
        self._caller.abort()

    def _end(self, *, status: int, cause: str | None) -> None:
        keep_alive = self._should_keep_alive()
        self._finish(status=status, cause=cause)
        self._caller.exchange_ended(self, keep_alive=keep_alive)

    def _finish(self, *, status: int, cause: str | None) -> None:
        self._is_ended = True
        self._timer.cancel()
        self._response_writer.stop()
        now = self._context.seconds()
        if self._keyed_request is not None:
            attempts = self._attempts
            self._keyed_request.record_end(
                may_have_run=attempts is not None and attempts.retry_state.may_have_run,
                response=self._response_writer.head,
                is_complete=cause is None,
                now=now,
            )
        # Break the reference cycles, so that memory is freed without the collector.
        self._attempts = None
        self._token = None
        self._incoming.listener = None
        admitted = self._admitted
        self._context.finished(
            FinishedRequest(
                workspace=None if admitted is None else admitted.workspace,
                route=None if admitted is None else admitted.matched.route,
                status=status,
                cause=cause,
                duration_s=now - self._started_s,
            )
        )


def _has_header(head: ResponseHead, name: str) -> bool:
    lowered = name.lower().encode()
    return any(header_name.lower() == lowered for header_name, _ in head.headers)
