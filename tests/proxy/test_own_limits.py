"""Pattern: demand above what single instances can take, with few ways to tell it.

An instance counts what crosses its link and how its event loop lags; the directory
moves callers away from full ones without swinging to and fro.
"""

from __future__ import annotations

import pytest

from gentianhitch.proxy.own_limits import BYTES_PER_MBIT
from gentianhitch.proxy.own_limits import CALM_LOAD
from gentianhitch.proxy.own_limits import FAULTY_PERCENT
from gentianhitch.proxy.own_limits import FULL_LAG_S
from gentianhitch.proxy.own_limits import FULL_PERCENT
from gentianhitch.proxy.own_limits import FULL_QUEUE_S
from gentianhitch.proxy.own_limits import LAG_SPANS
from gentianhitch.proxy.own_limits import MAX_HOLD_S
from gentianhitch.proxy.own_limits import MESSAGE_BYTES
from gentianhitch.proxy.own_limits import MIN_HOLD_S
from gentianhitch.proxy.own_limits import Fullness
from gentianhitch.proxy.own_limits import OwnLimits
from gentianhitch.proxy.own_limits import OwnLoad
from gentianhitch.proxy.steering import MIN_SERVING
from tests.builders_proxy import make_peer
from tests.builders_steering import SteeredDomain
from tests.builders_steering import make_mixed_fleet

SLOW_MBPS = 5.0
UPLOAD_BYTES = 60_000
USUAL_MBPS = 9.6
"""Uploads of 60 kB, 20 a second in each of three failure domains."""

WAVE_FACTOR = 2.2
MAX_NAMINGS = 5
"""In a minute an instance is named at first and once for each of the four waves."""


def make_load(queue_s: float, lag_s: float = 0.0, **changes: bool) -> OwnLoad:
    suspected = changes.get("is_link_suspected", False)
    return OwnLoad(queue_s, lag_s, suspected, changes.get("counts_load", True))


def wave(seconds: float) -> float:
    """Return the demand in Mbit/s: 6 s of every 17 s are a wave."""
    return USUAL_MBPS * (WAVE_FACTOR if seconds % 17 < 6 else 1.0)


class TestLink:
    def test_uploads_of_twice_the_link_fill_it(self) -> None:
        limits = OwnLimits(SLOW_MBPS)
        per_s = 2 * SLOW_MBPS * BYTES_PER_MBIT / UPLOAD_BYTES
        now = 10.0
        for _ in range(round(2 * per_s)):
            now += 1 / per_s
            limits.receive(UPLOAD_BYTES, now)
            limits.load(now)
        assert limits.queue_s(now) == pytest.approx(2.0, abs=0.3)
        assert limits.load(now).share >= 1.0
        now += 3.0
        assert limits.queue_s(now) == 0.0
        assert limits.is_idle(now)
        limits.load(now)
        assert limits.load(now + 3.0).share < CALM_LOAD

    def test_an_upload_crosses_the_link_twice(self) -> None:
        limits = OwnLimits(SLOW_MBPS)
        alone_s = limits.crossing_s(UPLOAD_BYTES, 10.0)
        assert alone_s == 2 * UPLOAD_BYTES / (SLOW_MBPS * BYTES_PER_MBIT)
        limits.receive(UPLOAD_BYTES - MESSAGE_BYTES, 10.0)
        limits.send(UPLOAD_BYTES - MESSAGE_BYTES, 10.0)
        assert limits.crossing_s(UPLOAD_BYTES, 10.0) == pytest.approx(2 * alone_s)

    def test_one_large_upload_does_not_make_it_full(self) -> None:
        limits = OwnLimits(SLOW_MBPS)
        now = 10.0
        limits.load(now)
        limits.receive(360_000, now)
        shares = []
        for _ in range(20):
            now += 0.1
            shares.append(limits.load(now).share)
        assert 0.3 < max(shares) < 1.0

    def test_refused_bodies_take_half_of_the_link_at_most(self) -> None:
        # Guards against an instance that reads nothing while callers come in vain.
        limits = OwnLimits(SLOW_MBPS)
        now = 10.0
        for _ in range(1_000):
            now += 0.005
            limits.refuse(UPLOAD_BYTES, now)
        assert limits.queue_s(now) < 0.1
        assert limits.queue_s(now) > 0.0

    def test_a_fast_link_counts_if_the_deployment_expects_pressure(self) -> None:
        limits = OwnLimits(100.0, expects_pressure=True)
        for _ in range(LAG_SPANS):
            limits.record_lag(2.0)
        assert limits.load(10.0).share >= 1.0

    def test_a_fast_link_is_not_counted(self) -> None:
        # Deployments with links of 100 Mbit/s or more ask for nothing new.
        limits = OwnLimits(100.0)
        limits.receive(10**9, 10.0)
        for _ in range(LAG_SPANS):
            limits.record_lag(2.0)
        assert limits.load(10.0).share == 0.0
        assert limits.load(10.0, is_link_suspected=True).share == 1.0


class TestProcessor:
    def test_a_core_slowed_five_times_makes_the_instance_full(self) -> None:
        # Each span of 0.5 s then has work for 2.5 s: what arrives waits for longer.
        limits = OwnLimits(SLOW_MBPS)
        limits.record_lag(5 * 0.05)
        limits.record_lag(5 * 0.05)
        assert limits.load(10.0).share < 1.0
        limits.record_lag(5 * 0.05)
        load = limits.load(10.0)
        assert load.share >= 1.0
        assert load.is_faulty

    def test_one_long_lag_does_not(self) -> None:
        limits = OwnLimits(SLOW_MBPS)
        for lag_s in (0.01, 0.01, 0.9, 0.01):
            limits.record_lag(lag_s)
        assert limits.load(10.0).share < 0.5


class TestFullness:
    def test_is_full_until_the_load_was_calm_for_the_hold_time(self) -> None:
        fullness = Fullness()
        assert fullness.update(make_load(0.99 * FULL_QUEUE_S), 10.0) < FULL_PERCENT
        assert fullness.update(make_load(FULL_QUEUE_S), 10.1) >= FULL_PERCENT
        assert fullness.update(make_load(0.6 * FULL_QUEUE_S), 10.2) >= FULL_PERCENT
        assert fullness.update(make_load(0.0), 10.3) >= FULL_PERCENT
        assert fullness.update(make_load(0.0), 10.1 + MIN_HOLD_S) >= FULL_PERCENT
        assert fullness.update(make_load(0.0), 10.2 + MIN_HOLD_S) == 0

    def test_a_flapping_load_changes_it_rarely(self) -> None:
        # Guards against a directory that sends callers to and fro.
        fullness = Fullness()
        changes, was_full, now = 0, False, 10.0
        while now < 130.0:
            load = make_load(1.5 if int(now / 0.7) % 2 else 0.0)
            fullness.update(load, now)
            changes += fullness.is_full != was_full
            was_full = fullness.is_full
            now += 0.1
        assert changes == 1

    def test_holds_for_longer_when_it_is_full_again_soon(self) -> None:
        fullness = Fullness()
        full_s = []
        now = 10.0
        for _ in range(5):
            fullness.update(make_load(1.0), now)
            begin_s = now
            while fullness.is_full:
                now += 0.1
                fullness.update(make_load(0.0), now)
            full_s.append(now - begin_s)
            now += 1.0
        assert full_s == sorted(full_s)
        assert full_s[0] == pytest.approx(MIN_HOLD_S, abs=0.2)
        assert full_s[-1] == pytest.approx(MAX_HOLD_S, abs=0.2)

    def test_a_suspected_link_or_a_slow_core_is_faulty(self) -> None:
        assert Fullness().update(make_load(1.2), 10.0) < FAULTY_PERCENT
        suspected = make_load(0.0, is_link_suspected=True, counts_load=False)
        assert Fullness().update(suspected, 10.0) == FAULTY_PERCENT
        assert Fullness().update(make_load(0.0, FULL_LAG_S), 10.0) == FAULTY_PERCENT
        both = make_load(1.2, is_link_suspected=True)
        assert Fullness().update(both, 10.0) < FAULTY_PERCENT


class TestSteering:
    """Demand on one failure domain of 2 instances of 100 and 36 of 5 Mbit/s."""

    @pytest.mark.parametrize("missing", [[], ["a-0"], ["a-0", "a-1"]])
    def test_the_usual_waves_are_served_without_a_change(
        self, missing: list[str]
    ) -> None:
        domain = SteeredDomain(make_mixed_fleet())
        domain.run(5.0, lambda seconds: USUAL_MBPS)
        domain.remove(*missing)
        domain.run(60.0, wave)
        assert domain.refused_bytes == 0
        assert len(domain.changes_s) == (2 if missing else 1)

    def test_more_instances_take_larger_waves(self) -> None:
        # Guards against three instances that are full while 33 are idle: 0.46 of the
        # demand was refused.
        domain = SteeredDomain(make_mixed_fleet(large=0))
        domain.run(60.0, lambda seconds: 2 * wave(seconds))
        assert domain.refused_share < 0.02
        assert max(domain.namings.values()) <= MAX_NAMINGS

    def test_a_lasting_demand_does_not_swing(self) -> None:
        domain = SteeredDomain([make_peer(f"a-{n}", link_mbps=5.0) for n in range(64)])
        domain.run(60.0, lambda seconds: 30.0)
        assert domain.refused_share < 0.02
        assert max(domain.namings.values()) <= MAX_NAMINGS

    def test_lost_reports(self) -> None:
        domain = SteeredDomain(make_mixed_fleet(large=0), lost_share=0.5)
        domain.run(60.0, lambda seconds: 2 * wave(seconds))
        assert domain.refused_share < 0.02
        assert max(domain.namings.values()) <= MAX_NAMINGS

    def test_without_any_report_callers_stay(self) -> None:
        domain = SteeredDomain(make_mixed_fleet(large=0), lost_share=1.0)
        domain.run(60.0, lambda seconds: 2 * wave(seconds))
        assert len(domain.changes_s) == 1

    @pytest.mark.parametrize("demand_mbps", [150.0, 250.0, 400.0])
    def test_large_instances_are_not_replaced_by_small_ones(
        self, demand_mbps: float
    ) -> None:
        # Guards against 36 links of 5 Mbit/s in place of two of 100 that are busy.
        domain = SteeredDomain(make_mixed_fleet())
        domain.run(30.0, lambda seconds: demand_mbps)
        assert domain.named == {"a-0", "a-1"}
        assert len(domain.changes_s) == 1

    def test_a_full_instance_that_is_the_only_one_left_stays(self) -> None:
        domain = SteeredDomain(make_mixed_fleet(large=0, small=1))
        domain.run(20.0, lambda seconds: 30.0)
        assert len(domain.named) == 1

    def test_two_stay_named_when_all_are_full(self) -> None:
        domain = SteeredDomain(make_mixed_fleet(large=0, small=4))
        domain.run(20.0, lambda seconds: 100.0)
        assert len(domain.named) >= MIN_SERVING
