from __future__ import annotations

from hypothesis import HealthCheck
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import rule
from hypothesis.stateful import run_state_machine_as_test

from gentianhitch.soak.fleet import run
from gentianhitch.soak.fleet_model import FleetModel

NAMES = st.sampled_from([f"entry-{number}" for number in range(5)])


class FleetMachine(RuleBasedStateMachine):
    """Applies random faults; the model checks its invariants at each clock step."""

    def __init__(self) -> None:
        super().__init__()
        self.model = FleetModel(seed=7)

    @rule(seconds=st.floats(0.05, 3.0))
    def advance(self, seconds: float) -> None:
        self.model.advance(seconds)

    @rule()
    def promote(self) -> None:
        self.model.promote()

    @rule(name=NAMES)
    def restart(self, name: str) -> None:
        self.model.start(name)

    @rule(name=NAMES)
    def kill(self, name: str) -> None:
        self.model.kill(name)

    @rule(name=NAMES)
    def pause(self, name: str) -> None:
        self.model.pause(name)

    @rule(name=NAMES)
    def resume(self, name: str) -> None:
        self.model.resume(name)

    @rule(name=NAMES)
    def isolate(self, name: str) -> None:
        self.model.isolate(name)

    @rule(source=NAMES, receiver=NAMES)
    def cut_one_way(self, source: str, receiver: str) -> None:
        self.model.cut_one_way(source, receiver)

    @rule()
    def partition(self) -> None:
        self.model.partition()

    @rule(name=NAMES, one_way=st.booleans())
    def cut_platform(self, name: str, one_way: bool) -> None:
        self.model.cut_platform(name, one_way=one_way)

    @rule(outage=st.booleans())
    def set_outage(self, outage: bool) -> None:
        self.model.store.outage = outage

    @rule()
    def lose_replies(self) -> None:
        self.model.store.lost_replies = 2

    @rule()
    def heal(self) -> None:
        self.model.heal()


class TestFleetMachine:
    def test_invariants_hold(self) -> None:
        run_state_machine_as_test(
            FleetMachine,
            settings=settings(
                max_examples=12,
                stateful_step_count=25,
                deadline=None,
                derandomize=True,
                database=None,
                suppress_health_check=list(HealthCheck),
            ),
        )

    def test_invariants_hold_with_seeded_faults(self) -> None:
        report = run(seed=3, steps=60)
        assert report.checks_by_name["fresh only on what is not superseded"] > 1000

    def test_all_stay_fresh_in_platform_outage(self) -> None:
        # Guards against a fleet that stops when the platform is unreachable.
        model = FleetModel(seed=3)
        model.outage()
        assert model.invariants.checks_by_name["all fresh"] > 20
