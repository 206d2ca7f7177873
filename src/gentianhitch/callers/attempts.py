"""Send one request to backend servers until one responds or retries are used up."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol

from twisted.internet.defer import CancelledError
from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from gentianhitch.addresses import Address
from gentianhitch.backend_servers.connection import TargetConnection
from gentianhitch.backend_servers.errors import BackendServerError
from gentianhitch.backend_servers.errors import ConnectError
from gentianhitch.backend_servers.errors import InvalidResponseError
from gentianhitch.backend_servers.errors import TruncatedResponseError
from gentianhitch.backend_servers.pool import Connecting
from gentianhitch.backend_servers.responses import ResponseHead
from gentianhitch.backend_servers.responses import ResponsePart
from gentianhitch.callers.admission import AdmittedRequest
from gentianhitch.callers.encoding import encode_relay
from gentianhitch.callers.encoding import encode_request
from gentianhitch.callers.incoming import IncomingRequest
from gentianhitch.callers.refusals import Cause
from gentianhitch.callers.relay_selector import SingleInstanceSelector
from gentianhitch.callers.requests import RelayMode
from gentianhitch.callers.requests import RequestHead
from gentianhitch.callers.reservation import Reservation
from gentianhitch.callers.upload import Upload
from gentianhitch.decisions.interfaces import NoSlotError
from gentianhitch.decisions.interfaces import Outcome
from gentianhitch.decisions.sending import FailureAction
from gentianhitch.decisions.sending import RetryState
from gentianhitch.operators.document import BackendServer

if TYPE_CHECKING:
    from gentianhitch.callers.connection import CallerConnection
    from gentianhitch.callers.request_path import PathContext

SHED_NOT_RUN_VALUE = b"not-run"


class AttemptsOwner(Protocol):
    """Receives the response or the failure of a request's attempts."""

    def response_progressed(
        self, head: ResponseHead | None, part: ResponsePart
    ) -> None:
        """Handle the next part of the response; ``head`` comes with the first."""
        ...

    def attempts_failed(self, action: FailureAction, cause: Cause, detail: str) -> None:
        """Handle the end of all attempts without a complete response."""
        ...


class Attempts:
    """Runs the attempts of one request, one after the next_target.

    With ``relay_to``, the request goes to that entry instance instead of a backend
    server; ``mode`` says for what.
    """

    def __init__(
        self,
        context: PathContext,
        caller: CallerConnection,
        incoming: IncomingRequest,
        admitted: AdmittedRequest,
        owner: AttemptsOwner,
        *,
        relay_to: Address | None = None,
        mode: RelayMode = RelayMode.RUN,
    ) -> None:
        self._context = context
        self._caller = caller
        self._incoming = incoming
        self._admitted = admitted
        self._owner = owner
        self._mode = mode
        self._is_relay = relay_to is not None
        if relay_to is None:
            self._reservation = Reservation(context.selector, admitted)
        else:
            self._reservation = Reservation(SingleInstanceSelector(relay_to), admitted)
        budget = context.budget(admitted.matched.service.name)
        self.retry_state = RetryState(admitted.matched.idempotent, budget)
        self._connecting: Connecting | None = None
        self._connection: TargetConnection | None = None
        self._pending_slot: Deferred[BackendServer] | None = None
        self._status = 0
        self._upload: Upload | None = None

    @property
    def connection(self) -> TargetConnection | None:
        """Return the connection to which the request was written, if any."""
        return self._connection

    def start(self) -> None:
        """Start the first attempt; wait in the queue if every slot is taken."""
        if self._is_relay:
            self._try_next()
            return
        pending_slot = self._context.slots.acquire(
            self._admitted.matched.service.name,
            self._admitted.matched.route,
            self._admitted.workspace,
            self._admitted.deadline,
        )
        self._pending_slot = pending_slot
        pending_slot.addCallbacks(self._target_reserved, self._reservation_failed)

    def _target_reserved(self, target: BackendServer) -> None:
        self._pending_slot = None
        self._connect(target)

    def _reservation_failed(self, failure: Failure) -> None:
        self._pending_slot = None
        if failure.check(CancelledError) is None:
            failure.trap(NoSlotError)
            action = self.retry_state.give_up()
            self._owner.attempts_failed(action, Cause.NO_CAPACITY, str(failure.value))

    def body_updated(self) -> None:
        """Forward the body bytes that were received since the last call."""
        if self._connection is not None and self._upload is not None:
            self._upload.forward()

    def time_out_attempt(self) -> bool:
        """Retry on another target if that is allowed; return whether it was."""
        if not self.retry_state.can_retry_response():
            return False
        self._stop_attempt(Outcome.SILENT)
        self._apply_action(self.retry_state.record_failure(), Cause.SILENT)
        return True

    def deadline_passed(self) -> None:
        """Stop the attempt at the request's deadline and report the failure."""
        was_sent = self._connection is not None
        cause = Cause.SILENT if was_sent else Cause.DEADLINE
        if self._pending_slot is not None:
            cause = Cause.NO_CAPACITY
        self._stop_attempt(Outcome.SILENT if was_sent else Outcome.NOT_SENT)
        self._apply_action(self.retry_state.give_up(), cause)

    def abandon(self, outcome: Outcome) -> FailureAction:
        """Stop the attempt and close its connection.

        Return whether the request may have run, or whether a response is aborted.
        """
        self._stop_attempt(outcome)
        return self.retry_state.give_up()

    def _try_next(self) -> bool:
        target = self._reservation.reserve(
            self._context.seconds(), self.retry_state.tried_targets
        )
        if target is None:
            return False
        self._connect(target)
        return True

    def _connect(self, target: BackendServer) -> None:
        self._reservation.start_attempt(target, self._context.seconds())
        self.retry_state.start_attempt(target.name)
        connecting = self._context.pool.acquire(
            target, self, proven=not self.retry_state.idempotent
        )
        # None: the waiter was called already, and the next attempt may be connecting.
        if connecting is not None:
            self._connecting = connecting

    def connected(self, connection: TargetConnection) -> None:
        """Write the request, unless its deadline or the agreement has expired."""
        self._connecting = None
        now = self._context.seconds()
        cause = self._cause_against_sending(now)
        if cause is not None:
            connection.close()
            self._record(Outcome.NOT_SENT)
            self._owner.attempts_failed(self.retry_state.give_up(), cause, "")
            return
        self.retry_state.record_write()
        self._connection = connection
        is_complete = self._incoming.complete
        body = self._incoming.peek() if is_complete else None
        connection.send(
            self._encode(max(1, int((self._admitted.deadline - now) * 1000)), body),
            self,
            to_head_request=self._head.method == "HEAD",
            is_complete=is_complete,
        )
        if not is_complete:
            self.retry_state.replayable = False
            self._upload = Upload(self._caller, self._incoming, connection)
            self._upload.start()

    def _cause_against_sending(self, now: float) -> Cause | None:
        """Repeat the checks whose result a pause of this process may have changed."""
        if now >= self._admitted.deadline:
            return Cause.DEADLINE
        if not self._context.agreement.is_fresh(now):
            return Cause.NOT_FRESH
        return None

    def connect_failed(self, error: ConnectError) -> None:
        """Retry on another target: nothing was written."""
        self._connecting = None
        self._record(Outcome.NOT_SENT)
        self._apply_action(
            self.retry_state.record_connect_failure(), Cause.NO_CONNECTION, str(error)
        )

    def response_received(self, part: ResponsePart) -> None:
        """Check the head of the response, then forward its parts to the owner."""
        head = part.head
        if head is not None:
            self._reservation.record_head(self._context.seconds())
            if not self._accept_head(head, part.ended):
                return
        if part.ended:
            self._connection = None
            if head is not None:
                self._status = head.status
            self._record(Outcome.ERROR if self._status >= 500 else Outcome.OK)
            self.retry_state.finish()
        self._owner.response_progressed(head, part)

    def response_failed(self, error: BackendServerError) -> None:
        """Retry, refuse the request, or abort a response that has been started."""
        self._connection = None
        if isinstance(error, TruncatedResponseError):
            outcome, cause = Outcome.CUT, Cause.TRUNCATED_RESPONSE
        else:
            outcome, cause = Outcome.WRONG, Cause.INVALID_RESPONSE
        self._record(outcome)
        self._apply_action(self.retry_state.record_failure(), cause, str(error))

    def _accept_head(self, head: ResponseHead, ended: bool) -> bool:
        if head.request_id is not None and head.request_id != self._head.request_id:
            self._drop_connection()
            self.response_failed(
                InvalidResponseError("the answer is of another request")
            )
            return False
        if head.status == 503 and head.shed == SHED_NOT_RUN_VALUE:
            self._drop_response(ended)
            self._record(Outcome.SHED)
            # Without the echoed id, the response may be that of another request.
            is_verified = head.request_id is not None
            action = (
                self.retry_state.record_shed()
                if is_verified
                else self.retry_state.record_failure()
            )
            self._apply_action(action, Cause.SHED)
            return False
        if head.status >= 500 and self._retry_error(ended):
            return False
        self.retry_state.start_response()
        self._status = head.status
        return True

    def _retry_error(self, ended: bool) -> bool:
        """Drop an error response if another target has a free slot for a retry."""
        if not self.retry_state.can_retry_response():
            return False
        next_target = self._reservation.reserve(
            self._context.seconds(), self.retry_state.tried_targets
        )
        if next_target is None:
            return False
        self._drop_response(ended)
        self._record(Outcome.ERROR)
        self.retry_state.record_failure()
        self._context.count("retries")
        self._connect(next_target)
        return True

    @property
    def _head(self) -> RequestHead:
        return self._incoming.head

    def _encode(self, remaining_ms: int, body: bytes | None) -> bytes:
        if self._is_relay:
            return encode_relay(
                self._head, mode=self._mode, remaining_ms=remaining_ms, body=body
            )
        return encode_request(
            self._head,
            workspace=self._admitted.workspace,
            remaining_ms=remaining_ms,
            body=body,
        )

    def _drop_response(self, ended: bool) -> None:
        """Discard the response; close the connection if part of it is still to come."""
        if ended:
            self._connection = None
        else:
            self._drop_connection()

    def _drop_connection(self) -> None:
        if self._connection is not None:
            self._connection.abandon()
            self._connection = None

    def _stop_attempt(self, outcome: Outcome) -> None:
        pending_slot, self._pending_slot = self._pending_slot, None
        if pending_slot is not None:
            pending_slot.cancel()
        if self._connecting is not None:
            self._connecting.cancel()
            self._connecting = None
        self._drop_connection()
        self._record(outcome)

    def _apply_action(
        self, action: FailureAction, cause: Cause, detail: str = ""
    ) -> None:
        if action is FailureAction.TRY_ANOTHER:
            if self._try_next():
                self._context.count("retries")
                return
            action = self.retry_state.give_up()
        self._owner.attempts_failed(action, cause, detail)

    def _record(self, outcome: Outcome) -> None:
        self._reservation.release(outcome, self._context.seconds())
