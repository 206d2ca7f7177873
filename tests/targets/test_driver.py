from __future__ import annotations

from random import Random

from twisted.internet.task import Clock

from gentianhitch.decisions.interfaces import Outcome
from gentianhitch.decisions.targets.driver import TargetsDriver
from gentianhitch.instances.identity import InstanceId
from gentianhitch.operators.document import BackendServer
from gentianhitch.soak.network import Network
from tests.builders_targets import READ
from tests.builders_targets import agreement
from tests.builders_targets import attempt
from tests.builders_targets import member

INSTANCES = 5
GRAY_TARGET = "t1"
STEP_S = 0.05


class TestTargetsDriver:
    def setup_method(self) -> None:
        self.clock = Clock()
        self.network = Network(self.clock, Random(1))
        agreed_states = agreement(INSTANCES)
        self.drivers = [
            TargetsDriver(
                agreed_states,
                InstanceId(f"i{index}", 1),
                "d1",
                self.network.attach(InstanceId(f"i{index}", 1), member(index).peers),
                self.clock,
                Random(index),
            )
            for index in range(INSTANCES)
        ]
        for driver in self.drivers:
            driver.start()

    def serve(self, seconds: float, *, failing: str = "") -> set[str]:
        """Send a request from each instance per step; return the chosen targets."""
        chosen: set[str] = set()
        for _ in range(round(seconds / STEP_S)):
            for driver in self.drivers:
                reserved: list[BackendServer] = []
                deadline = self.clock.seconds() + 1.0
                driver.slots.acquire("stock", READ, "w", deadline).addCallback(
                    reserved.append
                )
                name = reserved[0].name
                chosen.add(name)
                outcome = Outcome.ERROR if name == failing else Outcome.OK
                driver.pool.record(attempt(name, outcome), self.clock.seconds())
            self.clock.advance(STEP_S)
        return chosen

    def test_failing_target_is_ejected_by_all_instances(self) -> None:
        self.serve(9.0)
        self.serve(2.0, failing=GRAY_TARGET)
        services = [driver.detector.service_health("stock") for driver in self.drivers]
        now = self.clock.seconds()
        assert all(
            GRAY_TARGET in {s.target for s in service.ejected_scopes(now)}
            for service in services
        )
        assert GRAY_TARGET not in self.serve(2.0, failing=GRAY_TARGET)
        assert sum(d.detector.counts["ejection.ejected"] for d in self.drivers) == 1

    def test_recovered_target_returns_to_full_weight(self) -> None:
        self.serve(9.0)
        self.serve(2.0, failing=GRAY_TARGET)
        self.serve(20.0)
        assert GRAY_TARGET in self.serve(1.0)
        now = self.clock.seconds()
        weights = [
            d.detector.service_health("stock").ejections.weights(now)
            for d in self.drivers
        ]
        assert weights == [{}] * INSTANCES

    def test_stopped_driver_only_replies_to_messages_in_flight(self) -> None:
        self.serve(1.0)
        for driver in self.drivers:
            driver.stop()
        self.clock.pump([STEP_S] * 2)
        before = self.network.traffic.messages
        self.clock.pump([STEP_S] * 100)
        assert self.network.traffic.messages == before
