"""Serve one request: check it, send it to a target and pass the answer back."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from gentianhitch.backend_servers.answers import AnswerHead
from gentianhitch.backend_servers.answers import AnswerPiece
from gentianhitch.backend_servers.connection import TargetConnection
from gentianhitch.backend_servers.errors import BackendServerError
from gentianhitch.backend_servers.errors import ConnectError
from gentianhitch.backend_servers.errors import CutAnswerError
from gentianhitch.backend_servers.errors import WrongAnswerError
from gentianhitch.backend_servers.pool import Connecting
from gentianhitch.callers.admission import Admitted
from gentianhitch.callers.encoding import CONTINUE
from gentianhitch.callers.encoding import LAST_CHUNK
from gentianhitch.callers.encoding import encode_answer_head
from gentianhitch.callers.encoding import encode_chunk
from gentianhitch.callers.encoding import encode_request
from gentianhitch.callers.incoming import Incoming
from gentianhitch.callers.observing import Finished
from gentianhitch.callers.refusals import Cause
from gentianhitch.callers.refusals import Refusal
from gentianhitch.callers.refusals import RefusalOutcome
from gentianhitch.callers.refusals import encode_refusal
from gentianhitch.decisions.interfaces import Attempt
from gentianhitch.decisions.interfaces import Outcome
from gentianhitch.decisions.interfaces import Verdict
from gentianhitch.decisions.sending import Sending
from gentianhitch.decisions.sending import Stage
from gentianhitch.decisions.sending import Step
from gentianhitch.operators.document import BackendServer

if TYPE_CHECKING:
    from gentianhitch.callers.connection import CallerConnection
    from gentianhitch.callers.request_path import PathContext

BUFFERED_BODY_BYTES = 64 * 1024
"""A body up to this size is complete before anything is sent, and replayable."""

WAIT_STEP_S = 0.01
SHED_NOT_RUN = b"not-run"


class Exchange:
    """One request of one caller, from its head to the end of its answer."""

    def __init__(
        self, context: PathContext, caller: CallerConnection, incoming: Incoming
    ) -> None:
        self._context = context
        self._caller = caller
        self._incoming = incoming
        self._head = incoming.head
        self._started_s = context.seconds()
        self._admitted: Admitted | None = None
        self._sending: Sending | None = None
        self._target: BackendServer | None = None
        self._connecting: Connecting | None = None
        self._connection: TargetConnection | None = None
        self._attempt_started_s = 0.0
        self._head_received_s: float | None = None
        self._answer: AnswerHead | None = None
        self._streams = False
        self._body_sent = False
        self._registered = False
        self._ended = False
        self._deadline_call = None
        self._wait_call = None
        self.progressed_s = self._started_s

    # From the caller.

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
        service = checked.matched.service
        budget = self._context.budget(service.name)
        budget.deposit()
        self._sending = Sending(checked.matched.idempotent, budget)
        self._deadline_call = self._context.reactor.callLater(
            checked.deadline - self._started_s, self._deadline_passed
        )
        self._take_token()

    def body_progressed(self) -> None:
        """Send on what came of the body, or refuse if it can't be completed."""
        if self._ended:
            return
        if self._incoming.fault is not None:
            self._give_up(self._incoming.fault)
        elif self._connection is not None and self._streams:
            self._send_more()
        elif self._wait_call is None and self._target is None and self._is_ready():
            self._attempt()

    def caller_gone(self) -> None:
        """Cancel the request at the target: nobody waits for its answer."""
        if self._ended:
            return
        self._abandon(Outcome.ABANDONED)
        self._end(status=499, cause="caller-gone")

    # Admission.

    def _take_token(self) -> None:
        self._wait_call = None
        assert self._admitted is not None
        workspace = self._admitted.workspace
        if workspace is not None:
            now = self._context.seconds()
            verdict = self._context.limiter.take(workspace, now)
            if verdict is Verdict.REFUSED:
                retry_after_s = self._context.limiter.retry_after_s(workspace, now)
                self._refuse(
                    Refusal(
                        Cause.OVER_RATE,
                        retry_after_s=max(1, math.ceil(retry_after_s)),
                    )
                )
                return
            if verdict is Verdict.WAIT:
                self._wait_call = self._context.reactor.callLater(
                    WAIT_STEP_S, self._take_token
                )
                return
        if self._head.expects_continue and not self._incoming.complete:
            self._caller.transport.write(CONTINUE)
        if self._is_ready():
            self._attempt()

    def _is_ready(self) -> bool:
        incoming = self._incoming
        return incoming.complete or incoming.buffered_bytes >= BUFFERED_BODY_BYTES

    # Attempts.

    def _attempt(self) -> None:
        assert self._admitted is not None
        assert self._sending is not None
        context, admitted, sending = self._context, self._admitted, self._sending
        now = context.seconds()
        target = context.selector.choose(
            admitted.matched.service.name,
            admitted.matched.route,
            admitted.workspace,
            now,
            sending.tried,
        )
        if target is None:
            self._give_up(Cause.NO_CAPACITY)
            return
        self._target = target
        self._attempt_started_s = now
        self._head_received_s = None
        sending.connect(target.name)
        self._connecting = context.pool.acquire(
            target, self, proven=not sending.idempotent
        )

    def connected(self, connection: TargetConnection) -> None:
        """Write the request."""
        assert self._admitted is not None
        assert self._sending is not None
        self._connecting = None
        self._sending.write()
        self._connection = connection
        incoming = self._incoming
        self._streams = not incoming.complete
        body = None if self._streams else incoming.peek()
        remaining_s = self._admitted.deadline - self._context.seconds()
        data = encode_request(
            self._head,
            workspace=self._admitted.workspace,
            remaining_ms=max(1, int(remaining_s * 1000)),
            body=body,
        )
        connection.send(
            data,
            self,
            to_head_request=self._head.method == "HEAD",
            whole=not self._streams,
        )
        if self._streams:
            self._sending.replayable = False
            connection.transport.registerProducer(self._caller.transport, True)
            self._send_more()

    def _send_more(self) -> None:
        assert self._connection is not None
        if self._body_sent:
            return
        data = self._incoming.take()
        whole = self._incoming.complete
        if self._head.chunked:
            data = encode_chunk(data) + (LAST_CHUNK if whole else b"")
        self._connection.send_more(data, whole=whole)
        self.progressed_s = self._context.seconds()
        if whole:
            self._body_sent = True
            self._connection.transport.unregisterProducer()

    def connect_failed(self, error: ConnectError) -> None:
        """Try another target: nothing was written."""
        assert self._sending is not None
        self._connecting = None
        self._record(Outcome.NOT_SENT)
        self._follow(self._sending.connect_failed(), Cause.NO_CONNECTION, str(error))

    # From the target.

    def answer_received(self, piece: AnswerPiece) -> None:
        """Pass on a piece of the answer."""
        self.progressed_s = self._context.seconds()
        if piece.head is not None and not self._begin_answer(piece.head, piece.ended):
            return
        answer = self._answer
        assert answer is not None
        data = piece.body
        if answer.has_body and answer.content_length is None:
            data = encode_chunk(data) + (LAST_CHUNK if piece.ended else b"")
        transport = self._caller.transport
        if piece.head is not None:
            data = self._encode_head(answer) + data
        if data:
            transport.write(data)
        if piece.ended:
            self._finish_answer(answer)
        elif not self._registered:
            self._registered = True
            transport.registerProducer(self._connection, True)

    def answer_failed(self, error: BackendServerError) -> None:
        """Retry, refuse, or break the caller's connection."""
        assert self._sending is not None
        self._connection = None
        if isinstance(error, CutAnswerError):
            outcome, cause = Outcome.CUT, Cause.CUT_ANSWER
        else:
            outcome, cause = Outcome.WRONG, Cause.WRONG_ANSWER
        self._record(outcome)
        self._follow(self._sending.failed(), cause, str(error))

    def _begin_answer(self, head: AnswerHead, ended: bool) -> bool:
        assert self._sending is not None
        self._head_received_s = self.progressed_s
        if head.request_id is not None and head.request_id != self._head.request_id:
            self._drop_connection()
            self.answer_failed(WrongAnswerError("the answer is of another request"))
            return False
        if head.status == 503 and head.shed == SHED_NOT_RUN:
            self._drop_answer(ended)
            self._record(Outcome.SHED)
            if head.request_id is None:
                # Nothing shows that this answer is of this request.
                step = self._sending.failed()
            else:
                step = self._sending.shed()
            self._follow(step, Cause.SHED)
            return False
        if head.status >= 500 and self._sending.may_retry_answer():
            self._drop_answer(ended)
            self._record(Outcome.ERROR)
            self._follow(self._sending.failed(), Cause.WRONG_ANSWER)
            return False
        self._sending.answer()
        self._answer = head
        return True

    def _drop_answer(self, ended: bool) -> None:
        """Keep the connection only if nothing of the answer is left on it."""
        if ended:
            self._connection = None
        else:
            self._drop_connection()

    def _drop_connection(self) -> None:
        if self._connection is not None:
            self._connection.abandon()
            self._connection = None

    def _encode_head(self, answer: AnswerHead) -> bytes:
        return encode_answer_head(
            answer,
            request_id=self._head.request_id,
            close=not self._keeps_alive(),
        )

    def _finish_answer(self, answer: AnswerHead) -> None:
        assert self._sending is not None
        self._connection = None
        self._record(Outcome.ERROR if answer.status >= 500 else Outcome.OK)
        self._sending.end()
        self._end(status=answer.status, cause=None)

    # Ends.

    def _follow(self, step: Step, cause: Cause, detail: str = "") -> None:
        if step is Step.TRY_ANOTHER:
            self._context.count("retries")
            self._attempt()
        elif step is Step.BREAK:
            self._break(cause)
        else:
            outcome = RefusalOutcome.UNKNOWN
            if step is Step.REFUSE_NOT_RUN:
                outcome = RefusalOutcome.NOT_RUN
            self._refuse(Refusal(cause, outcome, detail))

    def _give_up(self, cause: Cause) -> None:
        """End a request that can't go on, telling what is known of it."""
        self._abandon(Outcome.ABANDONED)
        if self._sending is None:
            self._refuse(Refusal(cause))
        else:
            self._follow(self._sending.give_up(), cause)

    def _deadline_passed(self) -> None:
        self._deadline_call = None
        assert self._sending is not None
        if self._sending.stage is Stage.ANSWERING:
            return
        waited = self._connection is not None
        self._abandon(Outcome.SILENT if waited else Outcome.NOT_SENT)
        cause = Cause.SILENT if waited else Cause.DEADLINE
        self._follow(self._sending.give_up(), cause)

    def stalled(self) -> None:
        """Break an answer that no longer moves."""
        if not self._ended and self._answer is not None:
            self._abandon(Outcome.SILENT)
            self._break(Cause.SILENT)

    def _abandon(self, outcome: Outcome) -> None:
        """Leave the current attempt; its connection is never used again."""
        if self._connecting is not None:
            self._connecting.cancel()
            self._connecting = None
        self._drop_connection()
        self._record(outcome)

    def _record(self, outcome: Outcome) -> None:
        if self._target is None or self._admitted is None:
            return
        now = self._context.seconds()
        answered_s = self._head_received_s or now
        attempt = Attempt(
            target=self._target.name,
            route=self._admitted.matched.route,
            workspace=self._admitted.workspace,
            outcome=outcome,
            latency_s=answered_s - self._attempt_started_s,
        )
        self._target = None
        self._context.selector.record(attempt, now)

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
        self._finish(status=502, cause=cause.label)
        self._caller.break_off()

    def _end(self, *, status: int, cause: str | None) -> None:
        keep_alive = self._keeps_alive()
        self._finish(status=status, cause=cause)
        self._caller.exchange_ended(self, keep_alive=keep_alive)

    def _finish(self, *, status: int, cause: str | None) -> None:
        self._ended = True
        for call in (self._deadline_call, self._wait_call):
            if call is not None and call.active():
                call.cancel()
        if self._registered:
            self._caller.transport.unregisterProducer()
        route = None if self._admitted is None else self._admitted.matched.route
        workspace = None if self._admitted is None else self._admitted.workspace
        duration_s = self._context.seconds() - self._started_s
        self._context.finished(Finished(workspace, route, status, cause, duration_s))
