"""A request is sent at most as often as its route allows."""

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
    def test_retries_stay_below_their_share(self):
        budget = RetryBudget()
        retries = 0
        for _ in range(1000):
            budget.deposit()
            retries += budget.take()
        assert 0 < retries <= 1000 / REQUESTS_PER_RETRY


class TestSending:
    def test_second_write_of_an_order_is_forbidden(self):
        state = RetryState(False, build_budget())
        state.start_attempt("a")
        state.record_write()
        state.stage = RequestStage.CONNECTING
        with pytest.raises(InvalidSendError):
            state.record_write()

    def test_connect_failures_try_others_without_budget(self):
        state = RetryState(False, RetryBudget())
        for number in range(MAX_ATTEMPTS - 1):
            state.start_attempt(str(number))
            assert state.record_connect_failure() is FailureAction.TRY_ANOTHER
        state.start_attempt("last")
        assert state.record_connect_failure() is FailureAction.REFUSE_NOT_RUN

    def test_shed_order_did_not_run(self):
        state = RetryState(False, build_budget())
        state.start_attempt("a")
        state.record_write()
        assert state.record_shed() is FailureAction.REFUSE_NOT_RUN

    def test_shed_after_a_failed_write_stays_unknown(self):
        state = RetryState(True, build_budget(requests=10))
        state.start_attempt("a")
        state.record_write()
        assert state.record_failure() is FailureAction.TRY_ANOTHER
        state.start_attempt("b")
        state.record_write()
        assert state.record_shed() is FailureAction.REFUSE_UNKNOWN


class SendingMachine(RuleBasedStateMachine):
    """A model of the targets judges what the decisions say."""

    @initialize(idempotent=st.booleans(), requests=st.integers(0, 40))
    def start(self, idempotent, requests):
        self.budget = build_budget(requests)
        self.requests = requests
        self.retries = 0
        self.begin(idempotent)

    def begin(self, idempotent):
        self.state = RetryState(idempotent, self.budget)
        self.runs = 0
        self.step = None
        self.answered = False
        self.target = 0

    @precondition(lambda self: self.state.stage is RequestStage.ENDED)
    @rule(idempotent=st.booleans())
    def next_request(self, idempotent):
        self.budget.deposit()
        self.requests += 1
        self.begin(idempotent)

    def follow(self, step):
        self.step = step

    @precondition(lambda self: self.state.stage is RequestStage.READY)
    @rule()
    def connect(self):
        self.target += 1
        self.state.start_attempt(str(self.target))

    @precondition(lambda self: self.state.stage is RequestStage.CONNECTING)
    @rule()
    def connect_fails(self):
        self.follow(self.state.record_connect_failure())

    @precondition(lambda self: self.state.stage is RequestStage.CONNECTING)
    @rule(runs=st.booleans())
    def write(self, runs):
        self.state.record_write()
        self.retries += self.state.writes > 1
        self.runs += runs
        self.ran_now = runs

    @precondition(lambda self: self.state.stage is RequestStage.WRITTEN)
    @rule()
    def fails(self):
        self.follow(self.state.record_failure())

    @precondition(
        lambda self: self.state.stage is RequestStage.WRITTEN and not self.ran_now
    )
    @rule()
    def sheds(self):
        self.follow(self.state.record_shed())

    @precondition(lambda self: self.state.stage is RequestStage.WRITTEN)
    @rule()
    def answers(self):
        self.state.start_response()
        self.answered = True

    @precondition(lambda self: self.state.stage is RequestStage.RESPONDING)
    @rule()
    def is_cut(self):
        assert self.state.record_failure() is FailureAction.ABORT_RESPONSE

    @precondition(lambda self: self.state.stage is not RequestStage.ENDED)
    @rule()
    def deadline(self):
        self.follow(self.state.give_up())

    @precondition(lambda self: self.state.stage is RequestStage.WRITTEN)
    @rule()
    def body_is_gone(self):
        self.state.replayable = False

    @invariant()
    def order_is_written_once(self):
        if hasattr(self, "state") and not self.state.idempotent:
            assert self.state.writes <= 1
            assert self.runs <= 1

    @invariant()
    def not_run_is_true(self):
        if getattr(self, "step", None) is FailureAction.REFUSE_NOT_RUN:
            assert self.runs == 0

    @invariant()
    def retries_keep_to_the_budget(self):
        if hasattr(self, "state"):
            assert self.retries <= self.requests / REQUESTS_PER_RETRY
            assert self.state.attempts <= MAX_ATTEMPTS

    @invariant()
    def answered_request_is_never_refused(self):
        if getattr(self, "answered", False):
            assert self.step in (
                None,
                FailureAction.TRY_ANOTHER,
                FailureAction.ABORT_RESPONSE,
            )


TestSendingMachine = SendingMachine.TestCase
TestSendingMachine.settings = settings(
    max_examples=300, stateful_step_count=20, derandomize=True, deadline=None
)
