from __future__ import annotations

from random import Random

import pytest
from hypothesis import HealthCheck
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import initialize
from hypothesis.stateful import rule

from gentianhitch.soak.ejection import InvariantError
from gentianhitch.soak.ejection import check
from gentianhitch.soak.ejection import run
from gentianhitch.soak.ejection_model import INSTANCES
from gentianhitch.soak.ejection_model import TARGETS
from gentianhitch.soak.ejection_model import EjectionModel
from tests.targets import naive

TARGET = st.integers(0, TARGETS - 1)
INSTANCE = st.integers(0, INSTANCES - 1)
SETTLE_S = 9.0


class EjectionMachine(RuleBasedStateMachine):
    """Inject faults into a fleet; the floor is checked eight times per second."""

    @initialize(seed=st.integers(0, 1000))
    def start(self, seed: int) -> None:
        self.model = EjectionModel(Random(seed))
        self.model.advance(SETTLE_S, check)

    @rule(seconds=st.sampled_from((0.5, 2.0, 6.0)))
    def wait(self, seconds: float) -> None:
        self.model.advance(seconds, check)

    @rule(servers=st.sets(TARGET, min_size=1, max_size=4))
    def make_gray(self, servers: set[int]) -> None:
        for server in sorted(servers):
            self.model.make_gray(self.model.targets[server])
        self.model.advance(3.0, check)

    @rule(server=TARGET)
    def heal_target(self, server: int) -> None:
        self.model.heal_target(self.model.targets[server])

    @rule(server=TARGET, cold=st.booleans())
    def make_absent(self, server: int, cold: bool) -> None:
        name = self.model.targets[server]
        (self.model.start_cold if cold else self.model.leave)(name)

    @rule(instance=INSTANCE, server=TARGET)
    def lie(self, instance: int, server: int) -> None:
        self.model.lie(self.model.names[instance], self.model.targets[server])

    @rule(first=INSTANCE, others=st.sets(INSTANCE, max_size=6))
    def cut_off(self, first: int, others: set[int]) -> None:
        for other in others - {first}:
            self.model.cut(self.model.names[first], self.model.names[other])

    @rule()
    def heal_network(self) -> None:
        self.model.heal_network()

    @rule(instance=INSTANCE)
    def restart(self, instance: int) -> None:
        self.model.restart(self.model.names[instance])

    @rule(seed=st.integers(0, 1000))
    def change_list(self, seed: int) -> None:
        self.model.change_list(Random(seed))


EjectionMachine.TestCase.settings = settings(
    max_examples=6,
    stateful_step_count=12,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)
TestEjectionMachine = EjectionMachine.TestCase


class TestSoak:
    def test_floor_is_kept_under_random_faults(self) -> None:
        report = run(seed=1, steps=60)
        assert report.ejections > 0
        assert report.held_by_floor > 0

    @pytest.mark.parametrize(
        ("seed", "message"), [(1, "less than the floor"), (4, "healthy")]
    )
    def test_ejections_by_single_instances_break_the_invariants(
        self, seed: int, message: str
    ) -> None:
        with pytest.raises(InvariantError, match=message):
            run(seed, 200, naive.LocalDetector)
