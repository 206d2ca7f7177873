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
from gentianhitch.decisions.sending import RetryBudget
from gentianhitch.decisions.sending import Sending
from gentianhitch.decisions.sending import SendingError
from gentianhitch.decisions.sending import Stage
from gentianhitch.decisions.sending import Step


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
        sending = Sending(False, build_budget())
        sending.connect("a")
        sending.write()
        sending.stage = Stage.CONNECTING
        with pytest.raises(SendingError):
            sending.write()

    def test_connect_failures_try_others_without_budget(self):
        sending = Sending(False, RetryBudget())
        for number in range(MAX_ATTEMPTS - 1):
            sending.connect(str(number))
            assert sending.connect_failed() is Step.TRY_ANOTHER
        sending.connect("last")
        assert sending.connect_failed() is Step.REFUSE_NOT_RUN

    def test_shed_order_did_not_run(self):
        sending = Sending(False, build_budget())
        sending.connect("a")
        sending.write()
        assert sending.shed() is Step.REFUSE_NOT_RUN

    def test_shed_after_a_failed_write_stays_unknown(self):
        sending = Sending(True, build_budget(requests=10))
        sending.connect("a")
        sending.write()
        assert sending.failed() is Step.TRY_ANOTHER
        sending.connect("b")
        sending.write()
        assert sending.shed() is Step.REFUSE_UNKNOWN


class SendingMachine(RuleBasedStateMachine):
    """A model of the targets judges what the decisions say."""

    @initialize(idempotent=st.booleans(), requests=st.integers(0, 40))
    def start(self, idempotent, requests):
        self.budget = build_budget(requests)
        self.requests = requests
        self.retries = 0
        self.begin(idempotent)

    def begin(self, idempotent):
        self.sending = Sending(idempotent, self.budget)
        self.runs = 0
        self.step = None
        self.answered = False
        self.target = 0

    @precondition(lambda self: self.sending.stage is Stage.ENDED)
    @rule(idempotent=st.booleans())
    def next_request(self, idempotent):
        self.budget.deposit()
        self.requests += 1
        self.begin(idempotent)

    def follow(self, step):
        self.step = step

    @precondition(lambda self: self.sending.stage is Stage.READY)
    @rule()
    def connect(self):
        self.target += 1
        self.sending.connect(str(self.target))

    @precondition(lambda self: self.sending.stage is Stage.CONNECTING)
    @rule()
    def connect_fails(self):
        self.follow(self.sending.connect_failed())

    @precondition(lambda self: self.sending.stage is Stage.CONNECTING)
    @rule(runs=st.booleans())
    def write(self, runs):
        self.sending.write()
        self.retries += self.sending.writes > 1
        self.runs += runs
        self.ran_now = runs

    @precondition(lambda self: self.sending.stage is Stage.WRITTEN)
    @rule()
    def fails(self):
        self.follow(self.sending.failed())

    @precondition(lambda self: self.sending.stage is Stage.WRITTEN and not self.ran_now)
    @rule()
    def sheds(self):
        self.follow(self.sending.shed())

    @precondition(lambda self: self.sending.stage is Stage.WRITTEN)
    @rule()
    def answers(self):
        self.sending.answer()
        self.answered = True

    @precondition(lambda self: self.sending.stage is Stage.ANSWERING)
    @rule()
    def is_cut(self):
        assert self.sending.failed() is Step.BREAK

    @precondition(lambda self: self.sending.stage is not Stage.ENDED)
    @rule()
    def deadline(self):
        self.follow(self.sending.give_up())

    @precondition(lambda self: self.sending.stage is Stage.WRITTEN)
    @rule()
    def body_is_gone(self):
        self.sending.replayable = False

    @invariant()
    def order_is_written_once(self):
        if hasattr(self, "sending") and not self.sending.idempotent:
            assert self.sending.writes <= 1
            assert self.runs <= 1

    @invariant()
    def not_run_is_true(self):
        if getattr(self, "step", None) is Step.REFUSE_NOT_RUN:
            assert self.runs == 0

    @invariant()
    def retries_keep_to_the_budget(self):
        if hasattr(self, "sending"):
            assert self.retries <= self.requests / REQUESTS_PER_RETRY
            assert self.sending.attempts <= MAX_ATTEMPTS

    @invariant()
    def answered_request_is_never_refused(self):
        if getattr(self, "answered", False):
            assert self.step in (None, Step.TRY_ANOTHER, Step.BREAK)


TestSendingMachine = SendingMachine.TestCase
TestSendingMachine.settings = settings(
    max_examples=300, stateful_step_count=20, derandomize=True, deadline=None
)
