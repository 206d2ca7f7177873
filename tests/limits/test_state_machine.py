from __future__ import annotations

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import initialize
from hypothesis.stateful import rule

from gentianhitch.soak.limits import LimitsModel


class LimitsMachine(RuleBasedStateMachine):
    """Random faults chosen by hypothesis; the model's ledger checks the limit."""

    @initialize(seed=st.integers(0, 2**32), max_owners=st.sampled_from((1, 2, 4, 9)))
    def start(self, seed: int, max_owners: int) -> None:
        self.model = LimitsModel(seed, max_owners=max_owners)

    @rule(seconds=st.sampled_from((0.05, 0.3, 1.0, 2.5)))
    def let_time_pass(self, seconds: float) -> None:
        self.model.fleet.advance(seconds, step=0.05)

    @rule()
    def saturate(self) -> None:
        self.model.saturate()

    @rule()
    def hot_requests(self) -> None:
        self.model.hot_requests()

    @rule()
    def kill(self) -> None:
        self.model.kill()

    @rule()
    def stop_planned(self) -> None:
        self.model.stop_planned()

    @rule()
    def pause(self) -> None:
        self.model.pause()

    @rule()
    def cut_evidence(self) -> None:
        self.model.cut_evidence()

    @rule()
    def cut_messages(self) -> None:
        self.model.cut_messages()

    @rule()
    def change_list(self) -> None:
        self.model.change_list()

    @rule()
    def follow_list(self) -> None:
        self.model.follow_list()

    @rule()
    def change_document(self) -> None:
        self.model.change_document()


TestLimitsMachine = LimitsMachine.TestCase
TestLimitsMachine.settings = settings(
    max_examples=12, stateful_step_count=25, deadline=None, derandomize=True
)
