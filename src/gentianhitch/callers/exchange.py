"""Serve one request: check it, have it sent and pass the answer back."""

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
from gentianhitch.callers.keyed_request import KeyedRequest
from gentianhitch.callers.keyed_request import Relay
from gentianhitch.callers.keyed_request import Replay
from gentianhitch.callers.keyed_request import Run
from gentianhitch.callers.keyed_request import fingerprint
from gentianhitch.callers.refusals import VOUCHES_HEADER
from gentianhitch.callers.refusals import Cause
from gentianhitch.callers.refusals import Refusal
from gentianhitch.callers.refusals import RefusalOutcome
from gentianhitch.callers.refusals import encode_refusal
from gentianhitch.callers.request_metrics import FinishedRequest
from gentianhitch.callers.requests import RelayMode
from gentianhitch.callers.response_writer import ResponseWriter
from gentianhitch.decisions.interfaces import Outcome
from gentianhitch.decisions.interfaces import Verdict
from gentianhitch.decisions.sending import Stage
from gentianhitch.decisions.sending import Step

if TYPE_CHECKING:
    from gentianhitch.callers.connection import CallerConnection
    from gentianhitch.callers.request_path import PathContext

BUFFERED_BODY_BYTES = 64 * 1024
"""A body up to this size is complete before anything is sent, and replayable."""

KEYED_BODY_BYTES = 1024 * 1024
"""A request with an idempotency key is complete before it is sent."""

CALLER_GONE_STATUS = 499


class Exchange:
    """One request of one caller, from its head to the end of its answer."""

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
        self._keyed: KeyedRequest | None = None
        self._relay: Relay | None = None
        self._passing = ResponseWriter(caller.transport, self._head.request_id)
        self._may_send = False
        self._is_paid = False
        self._ended = False
        self._deadline = DeadlineTimer(
            context.clock, self._time_out_attempt, self._deadline_passed
        )
        self.progressed_s = self._started_s

    def start(self) -> None:
        """Check the request and send it once enough of its body is here."""
        checked = self._context.admission.check(self._head, self._started_s)
        if isinstance(checked, Refusal):
            self._refuse(checked)
            return
        if self._incoming.fault is not None:
            self._refuse(Refusal(self._incoming.fault))
            return
        self._admitted = checked
        self._context.budget(checked.matched.service.name).deposit()
        self._deadline.start(
            self._started_s, checked.deadline, may_retry=checked.matched.idempotent
        )
        if self._head.idempotency_key is not None and not checked.matched.idempotent:
            self._keyed = KeyedRequest(
                self._context.pins,
                self._context.key_memory,
                self._head,
                checked.workspace,
            )
        if self._keyed is None or self._keyed.is_decided_here(self._started_s):
            self._take_token()
        else:
            self._allow_sending()

    def body_progressed(self) -> None:
        """Send on what came of the body, or refuse if it can't be completed."""
        if self._ended:
            return
        if self._incoming.fault is not None:
            self._give_up(self._incoming.fault)
        elif self._attempts is not None:
            self.progressed_s = self._context.seconds()
            self._attempts.body_progressed()
        elif self._may_send:
            self._send_if_ready()
        self._bound_buffer()

    def _bound_buffer(self) -> None:
        """Stop reading while much of the body waits to be sent."""
        incoming = self._incoming
        if self._ended or incoming.complete:
            return
        if self._keyed is not None:
            if incoming.buffered_bytes > KEYED_BODY_BYTES:
                self._refuse(Refusal(Cause.LARGE_BODY))
        elif incoming.buffered_bytes > 2 * BUFFERED_BODY_BYTES:
            self._caller.pause_body()

    def caller_disconnected(self) -> None:
        """Cancel the request at the target: nobody waits for its answer."""
        if self._ended:
            return
        if self._attempts is not None:
            self._attempts.abandon(Outcome.ABANDONED)
        self._end(status=CALLER_GONE_STATUS, cause="caller-gone")

    def stalled(self) -> None:
        """Break an answer that no longer moves."""
        if self._ended or self._passing.head is None or self._attempts is None:
            return
        self._attempts.abandon(Outcome.SILENT)
        self._break(Cause.SILENT)

    # Before sending.

    def _take_token(self) -> None:
        assert self._admitted is not None
        workspace = self._admitted.workspace
        if workspace is None:
            self._is_paid = True
            self._allow_sending()
            return
        left_s = self._admitted.deadline - self._context.seconds()
        self._context.tokens.take(workspace, left_s).addCallback(self._token_answered)

    def _token_answered(self, verdict: Verdict) -> None:
        if self._ended:
            return
        assert self._admitted is not None
        assert self._admitted.workspace is not None
        if verdict is not Verdict.ADMITTED:
            retry_after_s = self._context.tokens.retry_after_s(
                self._admitted.workspace, self._context.seconds()
            )
            after_s = max(1, math.ceil(retry_after_s))
            self._refuse(Refusal(Cause.OVER_RATE, retry_after_s=after_s))
            return
        self._is_paid = True
        self._allow_sending()

    def _allow_sending(self) -> None:
        self._may_send = True
        if self._head.expects_continue and not self._incoming.complete:
            self._caller.transport.write(CONTINUE)
        self._send_if_ready()

    def _send_if_ready(self) -> None:
        incoming = self._incoming
        large = self._keyed is None and incoming.buffered_bytes >= BUFFERED_BODY_BYTES
        if incoming.complete or large:
            self._send()

    def _send(self) -> None:
        if self._keyed is None:
            self._run()
            return
        request = fingerprint(self._head, self._incoming.peek())
        step = self._keyed.next_step(self._context.seconds(), request)
        self._take_step(step)

    @singledispatchmethod
    def _take_step(self, step: Any) -> None:
        raise NotImplementedError(step)

    @_take_step.register
    def _(self, step: Run) -> None:
        if self._is_paid:
            self._run()
        else:
            self._take_token()

    @_take_step.register
    def _(self, step: Relay) -> None:
        self._relay = step
        self._begin_attempts(step)

    @_take_step.register
    def _(self, step: Replay) -> None:
        answer = step.answer
        self._caller.transport.write(
            encode_stored_response(
                answer, request_id=self._head.request_id, close=not self._keeps_alive()
            )
        )
        self._context.count("replayed_answers")
        self._end(status=answer.status, cause=None)

    @_take_step.register
    def _(self, step: Refusal) -> None:
        self._refuse(step)

    def _run(self) -> None:
        self._relay = None
        self._begin_attempts(None)

    def _begin_attempts(self, relay: Relay | None) -> None:
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
        self._attempts.begin()

    # From the attempts.

    def response_progressed(
        self, head: ResponseHead | None, piece: ResponsePart
    ) -> None:
        """Pass on a piece of the answer."""
        self.progressed_s = self._context.seconds()
        if head is None:
            self._passing.go_on(piece.body, ended=piece.ended)
        elif self._relay is not None and self._asked(head, ended=piece.ended):
            return
        else:
            self._passing.begin(
                head,
                piece.body,
                ended=piece.ended,
                close=not self._keeps_alive(),
                relayed=self._relay is not None,
            )
        if self._keyed is not None and piece.body:
            self._keyed.capture(piece.body)
        if piece.ended:
            assert self._passing.head is not None
            self._end(status=self._passing.head.status, cause=None)
        elif self._attempts is not None:
            self._passing.pace(self._attempts.connection)

    def attempts_failed(self, step: Step, cause: Cause, detail: str) -> None:
        """Refuse, or break the answer that has begun."""
        if step is Step.BREAK:
            self._break(cause)
            return
        not_run = step is Step.REFUSE_NOT_RUN and self._relay is None
        outcome = RefusalOutcome.NOT_RUN if not_run else RefusalOutcome.UNKNOWN
        self._refuse(Refusal(cause, outcome, detail))

    def _asked(self, head: ResponseHead, *, ended: bool) -> bool:
        """Take the answer of an instance that was asked about the key."""
        assert self._relay is not None
        assert self._keyed is not None
        relay = self._relay
        if relay.mode is RelayMode.RUN or head.status != Cause.MISDIRECTED.status:
            return False
        if self._attempts is not None and not ended:
            self._attempts.abandon(Outcome.ABANDONED)
        if _has_header(head, VOUCHES_HEADER):
            self._keyed.vouched(relay.address, relay.mode)
        else:
            self._keyed.declined(relay.address)
        self._attempts = None
        self._relay = None
        self._send()
        return True

    # Ends.

    def _time_out_attempt(self) -> None:
        if self._attempts is not None:
            self._attempts.time_out_attempt()

    def _deadline_passed(self) -> None:
        attempts = self._attempts
        if attempts is None:
            self._refuse(Refusal(Cause.DEADLINE))
        elif attempts.sending.stage is not Stage.ANSWERING:
            attempts.deadline_passed()

    def _give_up(self, cause: Cause) -> None:
        """End a request that can't go on, telling what is known of it."""
        if self._attempts is None:
            self._refuse(Refusal(cause))
        else:
            step = self._attempts.abandon(Outcome.ABANDONED)
            self.attempts_failed(step, cause, "")

    def _keeps_alive(self) -> bool:
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
                close=not self._keeps_alive(),
                to_head_request=self._head.method == "HEAD",
            )
        )
        self._end(status=refusal.cause.status, cause=refusal.cause.label)

    def _break(self, cause: Cause) -> None:
        """Close the caller's connection, so that its answer doesn't look whole."""
        self._finish(status=Cause.TRUNCATED_RESPONSE.status, cause=cause.label)
        self._caller.break_off()

    def _end(self, *, status: int, cause: str | None) -> None:
        keep_alive = self._keeps_alive()
        self._finish(status=status, cause=cause)
        self._caller.exchange_ended(self, keep_alive=keep_alive)

    def _finish(self, *, status: int, cause: str | None) -> None:
        self._ended = True
        self._deadline.cancel()
        self._passing.stop()
        now = self._context.seconds()
        if self._keyed is not None:
            attempts = self._attempts
            self._keyed.ended(
                may_have_run=attempts is not None and attempts.sending.may_have_run,
                answer=self._passing.head,
                whole=cause is None,
                now=now,
            )
        # Break the reference cycles, so that no garbage collection is needed.
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
    wanted = name.lower().encode()
    return any(each.lower() == wanted for each, _ in head.headers)
