"""Decide whether a request may be sent, sent again, and what is known of it."""

from __future__ import annotations

from enum import Enum

import attrs

from gentianhitch.errors import GentianhitchError

REQUESTS_PER_RETRY = 10
"""A service's requests pay for one retry in so many: at most 10% more load."""

MAX_SAVED_RETRIES = 20
MAX_ATTEMPTS = 3


class InvalidSendError(GentianhitchError):
    """A request was about to be sent although the rules forbid it."""


class RequestStage(Enum):
    """How far one request has come."""

    READY = "ready"
    CONNECTING = "connecting"
    WRITTEN = "written"
    RESPONDING = "answering"
    ENDED = "ended"


class FailureAction(Enum):
    """What to do with a request after an attempt failed."""

    TRY_ANOTHER = "try another target"
    REFUSE_NOT_RUN = "refuse, the request did not run"
    REFUSE_UNKNOWN = "refuse, the request may have run"
    ABORT_RESPONSE = "break the caller's connection, its answer is incomplete"


@attrs.define
class RetryBudget:
    """Allow retries worth a share of the requests of one service.

    It starts empty, so there is never more than one retry for each
    ``REQUESTS_PER_RETRY`` requests.
    """

    _saved_requests: int = 0

    def deposit(self) -> None:
        """Count one request."""
        limit = MAX_SAVED_RETRIES * REQUESTS_PER_RETRY
        self._saved_requests = min(self._saved_requests + 1, limit)

    def has_token(self) -> bool:
        """Tell whether a retry is allowed now."""
        return self._saved_requests >= REQUESTS_PER_RETRY

    def take(self) -> bool:
        """Spend one retry; False when the budget is used up."""
        if not self.has_token():
            return False
        self._saved_requests -= REQUESTS_PER_RETRY
        return True


@attrs.define
class RetryState:
    """Follow one request through its attempts.

    ``writes`` counts the attempts of which at least one byte was written.
    ``may_have_run`` stays True once any written attempt is not known to have
    been refused unrun. ``replayable`` is False once part of the body is gone.
    """

    idempotent: bool
    budget: RetryBudget
    stage: RequestStage = RequestStage.READY
    writes: int = 0
    attempts: int = 0
    may_have_run: bool = False
    replayable: bool = True
    tried_targets: frozenset[str] = frozenset()

    def start_attempt(self, target: str) -> None:
        """Begin an attempt at ``target``."""
        self._expect(RequestStage.READY)
        self.stage = RequestStage.CONNECTING
        self.attempts += 1
        self.tried_targets |= {target}

    def record_write(self) -> None:
        """Note that the first byte is about to be written; raise InvalidSendError."""
        self._expect(RequestStage.CONNECTING)
        if self.writes and not self.idempotent:
            raise InvalidSendError("a non-idempotent request would be written twice")
        self.stage = RequestStage.WRITTEN
        self.writes += 1
        self.may_have_run = True

    def record_connect_failure(self) -> FailureAction:
        """Decide after an attempt of which nothing was written."""
        self._expect(RequestStage.CONNECTING)
        if self.attempts < MAX_ATTEMPTS:
            return self._try_another()
        return self._refuse()

    def record_shed(self) -> FailureAction:
        """Decide after the target said that it did not run the request."""
        self._expect(RequestStage.WRITTEN)
        if self.writes == 1:
            self.may_have_run = False
        return self._retry_or_refuse()

    def record_failure(self) -> FailureAction:
        """Decide after an attempt ended without a whole answer."""
        if self.stage is RequestStage.RESPONDING:
            self.stage = RequestStage.ENDED
            return FailureAction.ABORT_RESPONSE
        self._expect(RequestStage.WRITTEN)
        return self._retry_or_refuse()

    def can_retry_response(self) -> bool:
        """Tell whether an error answer may be dropped for another attempt."""
        return self.stage is RequestStage.WRITTEN and self._may_retry()

    def has_attempts_left(self) -> bool:
        """Tell whether a silent target might be given up for another."""
        return self.idempotent and self.attempts < MAX_ATTEMPTS - 1

    def start_response(self) -> None:
        """Note that the answer begins to go to the caller."""
        self._expect(RequestStage.WRITTEN)
        self.stage = RequestStage.RESPONDING

    def finish(self) -> None:
        """Note that nothing more happens to the request."""
        self.stage = RequestStage.ENDED

    def give_up(self) -> FailureAction:
        """Decide at the deadline or when no target is left."""
        if self.stage is RequestStage.RESPONDING:
            self.stage = RequestStage.ENDED
            return FailureAction.ABORT_RESPONSE
        return self._refuse()

    def _may_retry(self) -> bool:
        return (
            self.idempotent
            and self.replayable
            and self.attempts < MAX_ATTEMPTS
            and self.budget.has_token()
        )

    def _retry_or_refuse(self) -> FailureAction:
        if self._may_retry() and self.budget.take():
            return self._try_another()
        return self._refuse()

    def _try_another(self) -> FailureAction:
        self.stage = RequestStage.READY
        return FailureAction.TRY_ANOTHER

    def _refuse(self) -> FailureAction:
        self.stage = RequestStage.ENDED
        return (
            FailureAction.REFUSE_UNKNOWN
            if self.may_have_run
            else FailureAction.REFUSE_NOT_RUN
        )

    def _expect(self, stage: RequestStage) -> None:
        if self.stage is not stage:
            raise InvalidSendError(f"expected {stage.value}, found {self.stage.value}")
