"""Decide whether a request may be sent or retried, and whether it may have run."""

from __future__ import annotations

from enum import Enum

import attrs

from gentianhitch.errors import GentianhitchError

REQUESTS_PER_RETRY = 10
"""Requests of a service that fund one retry: retries add at most 10% load."""

MAX_SAVED_RETRIES = 20
MAX_ATTEMPTS = 3


class InvalidSendError(GentianhitchError):
    """A step that the request's stage forbids, or a forbidden second write."""


class RequestStage(Enum):
    """Progress of one request."""

    READY = "ready"
    CONNECTING = "connecting"
    WRITTEN = "written"
    RESPONDING = "answering"
    ENDED = "ended"


class FailureAction(Enum):
    """What to do with a request after a failed attempt."""

    TRY_ANOTHER = "try another target"
    REFUSE_NOT_RUN = "refuse, the request did not run"
    REFUSE_UNKNOWN = "refuse, the request may have run"
    ABORT_RESPONSE = "break the caller's connection, its answer is incomplete"


@attrs.define
class RetryBudget:
    """Limits the retries of one service to a share of its requests.

    The budget starts empty, so there is never more than one retry for each
    ``REQUESTS_PER_RETRY`` requests. At most ``MAX_SAVED_RETRIES`` are saved up.
    """

    _saved_requests: int = 0

    def deposit(self) -> None:
        """Add one request to the budget."""
        limit = MAX_SAVED_RETRIES * REQUESTS_PER_RETRY
        self._saved_requests = min(self._saved_requests + 1, limit)

    def has_token(self) -> bool:
        """Return whether the budget allows a retry now."""
        return self._saved_requests >= REQUESTS_PER_RETRY

    def take(self) -> bool:
        """Spend one retry; return False if the budget does not allow it."""
        if not self.has_token():
            return False
        self._saved_requests -= REQUESTS_PER_RETRY
        return True


@attrs.define
class RetryState:
    """Tracks the attempts of one request and decides what follows each of them.

    ``writes`` counts the attempts of which at least one byte was written.
    ``may_have_run`` is True once an attempt was written, and False again only if the
    target reported that it did not run the first one. ``replayable`` is False once
    part of the body was discarded.
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
        """Record the start of an attempt at ``target``; raise InvalidSendError."""
        self._expect(RequestStage.READY)
        self.stage = RequestStage.CONNECTING
        self.attempts += 1
        self.tried_targets |= {target}

    def record_write(self) -> None:
        """Record that the first byte is about to be written; raise InvalidSendError.

        A non-idempotent request is never written twice.
        """
        self._expect(RequestStage.CONNECTING)
        if self.writes and not self.idempotent:
            raise InvalidSendError("non-idempotent request must not be written twice")
        self.stage = RequestStage.WRITTEN
        self.writes += 1
        self.may_have_run = True

    def record_connect_failure(self) -> FailureAction:
        """Return what to do after an attempt of which nothing was written.

        Such a retry is safe for any request and does not count against the budget.
        """
        self._expect(RequestStage.CONNECTING)
        if self.attempts < MAX_ATTEMPTS:
            return self._try_another()
        return self._refuse()

    def record_shed(self) -> FailureAction:
        """Return what to do after the target reported that it did not run the request.

        An earlier written attempt may still have run it.
        """
        self._expect(RequestStage.WRITTEN)
        if self.writes == 1:
            self.may_have_run = False
        return self._retry_or_refuse()

    def record_failure(self) -> FailureAction:
        """Return what to do after an attempt ended without a complete response."""
        if self.stage is RequestStage.RESPONDING:
            self.stage = RequestStage.ENDED
            return FailureAction.ABORT_RESPONSE
        self._expect(RequestStage.WRITTEN)
        return self._retry_or_refuse()

    def can_retry_response(self) -> bool:
        """Return whether the attempt may be dropped for a retry.

        Only while no part of a response has been forwarded.
        """
        return self.stage is RequestStage.WRITTEN and self._may_retry()

    def has_attempts_left(self) -> bool:
        """Return whether a request to a silent target has attempts left for another."""
        return self.idempotent and self.attempts < MAX_ATTEMPTS - 1

    def start_response(self) -> None:
        """Record that the response is now forwarded to the caller: no more retries."""
        self._expect(RequestStage.WRITTEN)
        self.stage = RequestStage.RESPONDING

    def finish(self) -> None:
        """Record that the request has ended."""
        self.stage = RequestStage.ENDED

    def give_up(self) -> FailureAction:
        """Return how to end the request at its deadline or when no target is left."""
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
            raise InvalidSendError(
                f"request is {self.stage.value}, but must be {stage.value}"
            )
