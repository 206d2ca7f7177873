from __future__ import annotations

import pytest

from gentianhitch.decisions.interfaces import TokenVerdict
from gentianhitch.decisions.limits.driver import LimitsDriver
from gentianhitch.decisions.limits.limiter import LocalLimiter
from gentianhitch.operators.document import Document
from gentianhitch.operators.document import Workspace
from gentianhitch.soak import fleet_model as fleet_soak
from gentianhitch.soak.limits_ledger import FleetLedger

RATE = 30.0
BURST = 12.0


def decode_document(data: bytes) -> Document:
    return Document(data.decode(), (Workspace("yard", RATE, BURST),), (), (), ())


class LimitedFleet(fleet_soak.FleetModel):
    """The fleet model with real freshness and a limiter in every process."""

    def start(self, name: str) -> None:
        super().start(name)
        process = self.processes_by_name[name]
        limiter = LocalLimiter(
            process.member.id,
            process.member.peers,
            process.fleet,
            process.endpoint,
            self.now,
        )
        driver = LimitsDriver(
            limiter, process.endpoint, process.clock, process.clock.seconds
        )
        driver.start()
        if not hasattr(self, "ledger"):
            self.drivers_by_name: dict[str, LimitsDriver] = {}
            self.ledger = FleetLedger()
            self.ledger.limit("yard", RATE, BURST, self.now)
            self.admitted = 0
        self.drivers_by_name[name] = driver

    def advance(self, seconds: float) -> None:
        for _ in range(round(seconds / 0.05)):
            super().advance(0.05)
            for name, process in list(self.processes_by_name.items()):
                if not process.paused:
                    result = self.drivers_by_name[name].take("yard")
                    result.addCallback(self._count)

    def _count(self, verdict: TokenVerdict) -> None:
        if verdict is TokenVerdict.ADMITTED:
            self.ledger.admit("yard", self.now)
            self.admitted += 1

    def count_admitted_in_10_s(self) -> int:
        before = self.admitted
        self.advance(10.0)
        return self.admitted - before


@pytest.fixture
def model(monkeypatch: pytest.MonkeyPatch) -> LimitedFleet:
    monkeypatch.setattr(fleet_soak, "decode_named_document", decode_document)
    model = LimitedFleet(seed=5)
    model.promote()
    model.advance(10.0)
    return model


class TestLimitsWithRealFreshness:
    def test_serves_the_rate_and_no_more(self, model: LimitedFleet) -> None:
        assert 0.85 * RATE * 10 <= model.count_admitted_in_10_s() <= RATE * 10 + BURST

    def test_keeps_limit_and_rate_through_faults(self, model: LimitedFleet) -> None:
        names = model.names
        model.cut_platform(names[0], one_way=True)
        model.isolate(names[1])
        model.advance(6.0)
        model.pause(names[2])
        model.advance(6.0)
        model.resume(names[2])
        model.heal()
        model.kill(names[3])
        model.advance(8.0)
        model.start(names[3])
        model.drop_from_list(names[4])
        model.advance(8.0)
        model.partition()
        model.advance(6.0)
        model.heal()
        model.advance(10.0)
        # 5% of the messages are lost and the others take up to 200 ms.
        assert model.count_admitted_in_10_s() >= 0.75 * RATE * 10

    def test_serves_the_rate_after_restarts_during_an_outage(
        self, model: LimitedFleet
    ) -> None:
        model.store.outage = True
        for name in model.names:
            is_acknowledged = self.stop_planned(model, name)
            assert is_acknowledged
            model.start(name)
            model.advance(6.0)
        assert model.count_admitted_in_10_s() >= 0.8 * RATE * 10

    @staticmethod
    def stop_planned(model: LimitedFleet, name: str) -> bool:
        done = model.drivers_by_name[name].begin_leaving()
        while not done.called:
            model.advance(0.2)
        model.kill(name)
        model.advance(1.0)
        return bool(done.result)
