"""Guards against requests written more often than their route permits."""

from __future__ import annotations

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import initialize
from hypothesis.stateful import invariant
from hypothesis.stateful import precondition
from hypothesis.stateful import rule

from gentianhitch.decisions.sending import MAX_ATTEMPTS
from gentianhitch.decisions.sending import REQUESTS_PER_RETRY
from gentianhitch.decisions.sending import FailureAction
from gentianhitch.decisions.sending import InvalidSendError
from gentianhitch.decisions.sending import RequestStage
from gentianhitch.decisions.sending import RetryBudget
from gentianhitch.decisions.sending import RetryState


def build_budget(requests=100):
    budget = RetryBudget()
    for _ in range(requests):
        budget.deposit()
    return budget


class TestRetryBudget:
    def test_retries_stay_within_share_of_requests(self):
        # Guards against retries that multiply the load of an overloaded service.
        budget = RetryBudget()
        retries = 0
        for _ in range(1000):
            budget.deposit()
            retries += budget.take()
        assert 0 < retries <= 1000 / REQUESTS_PER_RETRY


class TestRetryState:
    def test_non_idempotent_request_is_never_written_twice(self):
        state = RetryState(False, build_budget())
        state.start_attempt("a")
        state.record_write()
        state.stage = RequestStage.CONNECTING
        with pytest.raises(InvalidSendError):
            state.record_write()

    def test_connect_failures_are_retried_without_budget(self):
        # Guards against refused requests when a target is down: nothing was written, so
        # any request may be retried.
        state = RetryState(False, RetryBudget())
        for number in range(MAX_ATTEMPTS - 1):
            state.start_attempt(str(number))
            assert state.record_connect_failure() is FailureAction.TRY_ANOTHER
        state.start_attempt("last")
        assert state.record_connect_failure() is FailureAction.REFUSE_NOT_RUN

    def test_shed_request_did_not_run(self):
        state = RetryState(False, build_budget())
        state.start_attempt("a")
        state.record_write()
        assert state.record_shed() is FailureAction.REFUSE_NOT_RUN

    def test_shed_after_failed_write_may_have_run(self):
        # Guards against "not run" for a request that the first target may have run.
        state = RetryState(True, build_budget(requests=10))
        state.start_attempt("a")
        state.record_write()
        assert state.record_failure() is FailureAction.TRY_ANOTHER
        state.start_attempt("b")
        state.record_write()
        assert state.record_shed() is FailureAction.REFUSE_UNKNOWN


class RetryStateMachine(RuleBasedStateMachine):
    """A model of the targets counts runs and checks the decisions against them."""

    @initialize(idempotent=st.booleans(), requests=st.integers(0, 40))
    def start(self, idempotent, requests):
        self.budget = build_budget(requests)
        self.requests = requests
        self.retries = 0
        self.begin(idempotent)

    def begin(self, idempotent):
        self.state = RetryState(idempotent, self.budget)
        self.runs = 0
        self.action = None
        self.answered = False
        self.target = 0

    @precondition(lambda self: self.state.stage is RequestStage.ENDED)
    @rule(idempotent=st.booleans())
    def next_request(self, idempotent):
        self.budget.deposit()
        self.requests += 1
        self.begin(idempotent)

    def apply(self, action):
        self.action = action

    @precondition(lambda self: self.state.stage is RequestStage.READY)
    @rule()
    def connect(self):
        self.target += 1
        self.state.start_attempt(str(self.target))

    @precondition(lambda self: self.state.stage is RequestStage.CONNECTING)
    @rule()
    def connect_fails(self):
        self.apply(self.state.record_connect_failure())

    @precondition(lambda self: self.state.stage is RequestStage.CONNECTING)
    @rule(runs=st.booleans())
    def write(self, runs):
        self.state.record_write()
        self.retries += self.state.writes > 1
        self.runs += runs
        self.ran_last = runs

    @precondition(lambda self: self.state.stage is RequestStage.WRITTEN)
    @rule()
    def attempt_fails(self):
        self.apply(self.state.record_failure())

    @precondition(
        lambda self: self.state.stage is RequestStage.WRITTEN and not self.ran_last
    )
    @rule()
    def target_sheds(self):
        self.apply(self.state.record_shed())

    @precondition(lambda self: self.state.stage is RequestStage.WRITTEN)
    @rule()
    def response_starts(self):
        self.state.start_response()
        self.answered = True

    @precondition(lambda self: self.state.stage is RequestStage.RESPONDING)
    @rule()
    def response_is_truncated(self):
        assert self.state.record_failure() is FailureAction.ABORT_RESPONSE

    @precondition(lambda self: self.state.stage is not RequestStage.ENDED)
    @rule()
    def deadline_passes(self):
        self.apply(self.state.give_up())

    @precondition(lambda self: self.state.stage is RequestStage.WRITTEN)
    @rule()
    def body_is_discarded(self):
        self.state.replayable = False

    @invariant()
    def non_idempotent_request_is_written_once(self):
        if hasattr(self, "state") and not self.state.idempotent:
            assert self.state.writes <= 1
            assert self.runs <= 1

    @invariant()
    def refused_as_not_run_never_ran(self):
        if getattr(self, "action", None) is FailureAction.REFUSE_NOT_RUN:
            assert self.runs == 0

    @invariant()
    def retries_stay_within_budget(self):
        if hasattr(self, "state"):
            assert self.retries <= self.requests / REQUESTS_PER_RETRY
            assert self.state.attempts <= MAX_ATTEMPTS

    @invariant()
    def request_with_started_response_is_never_refused(self):
        if getattr(self, "answered", False):
            assert self.action in (
                None,
                FailureAction.TRY_ANOTHER,
                FailureAction.ABORT_RESPONSE,
            )


TestRetryStateMachine = RetryStateMachine.TestCase
TestRetryStateMachine.settings = settings(
    max_examples=300, stateful_step_count=20, derandomize=True, deadline=None
)
