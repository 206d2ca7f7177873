from __future__ import annotations

from random import Random

from gentianhitch.decisions.interfaces import TokenVerdict
from gentianhitch.decisions.limits.counters import Cause
from gentianhitch.decisions.limits.driver import LimitsDriver
from gentianhitch.decisions.limits.limiter import LocalLimiter
from gentianhitch.soak.limits_agreement import ModelAgreement
from gentianhitch.soak.limits_agreement import ModelHistory
from gentianhitch.soak.network import Network
from gentianhitch.soak.network import SoakClock
from tests.builders_limits import member
from tests.builders_limits import state


class Pair:
    """Two instances; the first owns the complete limit of the workspace."""

    def __init__(self) -> None:
        self.clock = SoakClock()
        self.network = Network(self.clock, Random(1))
        self.history = ModelHistory()
        holder = member(0)
        self.history.publish(state(1, {holder.id.name: holder}, rate=10.0, burst=4.0))
        self.drivers = [self._start(number) for number in range(2)]
        self.advance(2.0)

    def _start(self, number: int) -> LimitsDriver:
        own = member(number)
        endpoint = self.network.attach(own.id, own.peers)
        agreement = ModelAgreement(self.history)
        agreement.hear(1, 1e9)
        limiter = LocalLimiter(own.id, own.peers, agreement, endpoint, 0.0)
        driver = LimitsDriver(limiter, endpoint, self.clock, self.clock.seconds)
        driver.start()
        return driver

    def advance(self, seconds: float) -> None:
        self.clock.pump([0.005] * round(seconds / 0.005))


class TestTake:
    def test_admits_from_own_share_at_once(self) -> None:
        verdict = Pair().drivers[0].take("yard")
        assert verdict.result is TokenVerdict.ADMITTED

    def test_waits_for_a_token_loan(self) -> None:
        pair = Pair()
        verdict = pair.drivers[1].take("yard")
        assert not verdict.called
        pair.advance(0.03)
        assert verdict.result is TokenVerdict.ADMITTED

    def test_refuses_when_no_lender_replies(self) -> None:
        pair = Pair()
        pair.network.cut(None, None)
        verdict = pair.drivers[1].take("yard")
        pair.advance(0.015)
        assert not verdict.called
        pair.advance(0.1)
        assert verdict.result is TokenVerdict.REFUSED
        refused = pair.drivers[1].limiter.counters.refused_by_cause
        assert sum(refused.values()) == 1

    def test_wait_ends_at_the_limit_of_the_caller(self) -> None:
        pair = Pair()
        pair.network.cut(None, None)
        verdict = pair.drivers[1].take("yard", max_wait_s=0.01)
        pair.advance(0.015)
        assert verdict.result is TokenVerdict.REFUSED

    def test_cancelled_wait_takes_no_token(self) -> None:
        pair = Pair()
        verdict = pair.drivers[1].take("yard")
        verdict.addErrback(lambda _: None)
        verdict.cancel()
        pair.advance(0.2)
        assert not pair.drivers[1].limiter.counters.admitted_by_workspace

    def test_refuses_at_once_when_not_fresh(self) -> None:
        pair = Pair()
        limiter = pair.drivers[0].limiter
        limiter.held_shares._agreed_states.heard = -1e9
        assert pair.drivers[0].take("yard").result is TokenVerdict.REFUSED
        assert limiter.counters.refused_by_cause["yard", Cause.NOT_FRESH] == 1

    def test_counts_unknown_workspaces_together(self) -> None:
        driver = Pair().drivers[0]
        assert driver.take("no such workspace").result is TokenVerdict.REFUSED
        refused = driver.limiter.counters.refused_by_cause
        assert refused["", Cause.UNKNOWN_WORKSPACE] == 1

    def test_stop_refuses_waiting_requests(self) -> None:
        pair = Pair()
        verdict = pair.drivers[1].take("yard")
        pair.drivers[1].stop()
        assert verdict.result is TokenVerdict.REFUSED


class TestBeginLeaving:
    def test_is_done_when_the_successor_has_acknowledged(self) -> None:
        pair = Pair()
        pair.advance(0.1)
        assert pair.drivers[1].take("yard") is not None
        pair.advance(0.1)
        handover = pair.drivers[0].begin_leaving()
        assert not handover.called
        pair.advance(1.0)
        assert handover.result is True
        assert member(0).id in pair.drivers[1].limiter.held_shares.shares_by_owner
        pair.drivers[0].stop()
        pair.network.detach(member(0).peers)
        pair.advance(1.0)
        assert pair.drivers[1].take("yard").result is TokenVerdict.ADMITTED

    def test_times_out_when_no_instance_replies(self) -> None:
        pair = Pair()
        pair.network.cut(None, None)
        handover = pair.drivers[0].begin_leaving()
        pair.advance(5.2)
        assert handover.result is False
