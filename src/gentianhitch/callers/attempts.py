"""Send one request to targets until one answers or none may be tried."""

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
from gentianhitch.decisions.sending import Sending
from gentianhitch.decisions.sending import Step
from gentianhitch.operators.document import BackendServer

if TYPE_CHECKING:
    from gentianhitch.callers.connection import CallerConnection
    from gentianhitch.callers.request_path import PathContext

SHED_NOT_RUN = b"not-run"


class AttemptsOwner(Protocol):
    """Take what comes of the attempts."""

    def response_progressed(
        self, head: ResponseHead | None, piece: ResponsePart
    ) -> None:
        """Take the next piece of the answer; ``head`` comes with the first."""
        ...

    def attempts_failed(self, step: Step, cause: Cause, detail: str) -> None:
        """Learn that no target will answer, or not to the end."""
        ...


class Attempts:
    """Drive the attempts of one request; ``mode`` is set on a relay."""

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
        self._relays = relay_to is not None
        if relay_to is None:
            self._slot = Reservation(context.selector, admitted)
        else:
            self._slot = Reservation(SingleInstanceSelector(relay_to), admitted)
        budget = context.budget(admitted.matched.service.name)
        self.sending = Sending(admitted.matched.idempotent, budget)
        self._connecting: Connecting | None = None
        self._connection: TargetConnection | None = None
        self._waiting: Deferred[BackendServer] | None = None
        self._status = 0
        self._upload: Upload | None = None

    @property
    def connection(self) -> TargetConnection | None:
        """Return the connection on which the request runs."""
        return self._connection

    def begin(self) -> None:
        """Try the first target; wait in the queue if every slot is taken."""
        if self._relays:
            self._try_next()
            return
        waiting = self._context.slots.acquire(
            self._admitted.matched.service.name,
            self._admitted.matched.route,
            self._admitted.workspace,
            self._admitted.deadline,
        )
        self._waiting = waiting
        waiting.addCallbacks(self._slot_reserved, self._slot_refused)

    def _slot_reserved(self, target: BackendServer) -> None:
        self._waiting = None
        self._connect(target)

    def _slot_refused(self, failure: Failure) -> None:
        self._waiting = None
        if failure.check(CancelledError) is None:
            failure.trap(NoSlotError)
            step = self.sending.give_up()
            self._owner.attempts_failed(step, Cause.NO_CAPACITY, str(failure.value))

    def body_progressed(self) -> None:
        """Send on what came of the body."""
        if self._connection is not None and self._upload is not None:
            self._upload.progressed()

    def time_out_attempt(self) -> bool:
        """Give up a silent target if another one may be tried."""
        if not self.sending.may_retry_answer():
            return False
        self._leave(Outcome.SILENT)
        self._follow(self.sending.failed(), Cause.SILENT)
        return True

    def deadline_passed(self) -> None:
        """Stop: the time is up."""
        waited = self._connection is not None
        cause = Cause.SILENT if waited else Cause.DEADLINE
        if self._waiting is not None:
            cause = Cause.NO_CAPACITY
        self._leave(Outcome.SILENT if waited else Outcome.NOT_SENT)
        self._follow(self.sending.give_up(), cause)

    def abandon(self, outcome: Outcome) -> Step:
        """Stop, and close the connection; return what is known."""
        self._leave(outcome)
        return self.sending.give_up()

    def _try_next(self) -> bool:
        target = self._slot.find(self._context.seconds(), self.sending.tried)
        if target is None:
            return False
        self._connect(target)
        return True

    def _connect(self, target: BackendServer) -> None:
        self._slot.hold(target, self._context.seconds())
        self.sending.connect(target.name)
        connecting = self._context.pool.acquire(
            target, self, proven=not self.sending.idempotent
        )
        # None: it is already decided, and another attempt may be connecting.
        if connecting is not None:
            self._connecting = connecting

    def connected(self, connection: TargetConnection) -> None:
        """Write the request, unless time has passed what allowed it."""
        self._connecting = None
        now = self._context.seconds()
        cause = self._forbids_writing(now)
        if cause is not None:
            connection.close()
            self._record(Outcome.NOT_SENT)
            self._owner.attempts_failed(self.sending.give_up(), cause, "")
            return
        self.sending.write()
        self._connection = connection
        whole = self._incoming.complete
        body = self._incoming.peek() if whole else None
        connection.send(
            self._encode(max(1, int((self._admitted.deadline - now) * 1000)), body),
            self,
            to_head_request=self._head.method == "HEAD",
            whole=whole,
        )
        if not whole:
            self.sending.replayable = False
            self._upload = Upload(self._caller, self._incoming, connection)
            self._upload.start()

    def _forbids_writing(self, now: float) -> Cause | None:
        """Check again what a pause of this process may have changed."""
        if now >= self._admitted.deadline:
            return Cause.DEADLINE
        if not self._context.agreement.is_fresh(now):
            return Cause.NOT_FRESH
        return None

    def connect_failed(self, error: ConnectError) -> None:
        """Try another target: nothing was written."""
        self._connecting = None
        self._record(Outcome.NOT_SENT)
        self._follow(self.sending.connect_failed(), Cause.NO_CONNECTION, str(error))

    def response_received(self, piece: ResponsePart) -> None:
        """Pass on a piece of the answer, once it is known to be the right one."""
        head = piece.head
        if head is not None:
            self._slot.head_received(self._context.seconds())
            if not self._accepts(head, piece.ended):
                return
        if piece.ended:
            self._connection = None
            if head is not None:
                self._status = head.status
            self._record(Outcome.ERROR if self._status >= 500 else Outcome.OK)
            self.sending.end()
        self._owner.response_progressed(head, piece)

    def response_failed(self, error: BackendServerError) -> None:
        """Retry, refuse, or break the answer that has begun."""
        self._connection = None
        if isinstance(error, TruncatedResponseError):
            outcome, cause = Outcome.CUT, Cause.TRUNCATED_RESPONSE
        else:
            outcome, cause = Outcome.WRONG, Cause.INVALID_RESPONSE
        self._record(outcome)
        self._follow(self.sending.failed(), cause, str(error))

    def _accepts(self, head: ResponseHead, ended: bool) -> bool:
        if head.request_id is not None and head.request_id != self._head.request_id:
            self._drop_connection()
            self.response_failed(
                InvalidResponseError("the answer is of another request")
            )
            return False
        if head.status == 503 and head.shed == SHED_NOT_RUN:
            self._drop_answer(ended)
            self._record(Outcome.SHED)
            # Only the echoed id shows that this answer is of this request.
            known = head.request_id is not None
            step = self.sending.shed() if known else self.sending.failed()
            self._follow(step, Cause.SHED)
            return False
        if head.status >= 500 and self._retries_error(ended):
            return False
        self.sending.answer()
        self._status = head.status
        return True

    def _retries_error(self, ended: bool) -> bool:
        """Drop an error answer if another target is there to be tried."""
        if not self.sending.may_retry_answer():
            return False
        other = self._slot.find(self._context.seconds(), self.sending.tried)
        if other is None:
            return False
        self._drop_answer(ended)
        self._record(Outcome.ERROR)
        self.sending.failed()
        self._context.count("retries")
        self._connect(other)
        return True

    @property
    def _head(self) -> RequestHead:
        return self._incoming.head

    def _encode(self, remaining_ms: int, body: bytes | None) -> bytes:
        if self._relays:
            return encode_relay(
                self._head, mode=self._mode, remaining_ms=remaining_ms, body=body
            )
        return encode_request(
            self._head,
            workspace=self._admitted.workspace,
            remaining_ms=remaining_ms,
            body=body,
        )

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

    def _leave(self, outcome: Outcome) -> None:
        waiting, self._waiting = self._waiting, None
        if waiting is not None:
            waiting.cancel()
        if self._connecting is not None:
            self._connecting.cancel()
            self._connecting = None
        self._drop_connection()
        self._record(outcome)

    def _follow(self, step: Step, cause: Cause, detail: str = "") -> None:
        if step is Step.TRY_ANOTHER:
            if self._try_next():
                self._context.count("retries")
                return
            step = self.sending.give_up()
        self._owner.attempts_failed(step, cause, detail)

    def _record(self, outcome: Outcome) -> None:
        self._slot.release(outcome, self._context.seconds())
