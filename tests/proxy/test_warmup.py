"""Test the decisions about cold servers: allowances, bursts, lists that change."""

from __future__ import annotations

from random import Random

import pytest
import xxhash

from gentianhitch.proxy.warmup import LIST_SPREAD_S
from gentianhitch.proxy.warmup import RESERVATION_S
from gentianhitch.proxy.warmup import WINDOW_S
from gentianhitch.proxy.warmup import SendWindow
from gentianhitch.proxy.warmup import Share
from gentianhitch.proxy.warmup import SharesOfServer
from gentianhitch.proxy.warmup import WarmupBounds
from gentianhitch.proxy.warmup import WarmupLimit
from gentianhitch.proxy.warmup import share_of
from gentianhitch.proxy.warmup import warmup_limit
from tests.builders_cold_servers import LIMIT
from tests.builders_cold_servers import MOST_PER_S

LIMITS = [
    LIMIT,
    WarmupLimit(3.0, 1.0, 0.0),
    WarmupLimit(3.0, 0.9, 0.5),
    WarmupLimit(3.0, 2.5, 2.0),
    WarmupLimit(10.0, 400.0, 8.0),
]


def digest(instance: str, server: str) -> int:
    return xxhash.xxh32_intdigest(f"{instance} {server}".encode())


def share(instance: str, server: str, names: frozenset[str]) -> Share:
    own = digest(instance, server) if instance in names else None
    return share_of(own, (digest(name, server) for name in names), len(names))


def names_of(count: int, first: int = 0) -> frozenset[str]:
    return frozenset(f"e-{number}" for number in range(first, first + count))


class Sharers:
    """Instances that learn of lists at different times; all ask for all they may."""

    def __init__(self, names: frozenset[str], server: str) -> None:
        self.server = server
        self.listed = names
        self.shares = {
            name: SharesOfServer(share(name, server, names)) for name in names
        }

    def learn(self, name: str, names: frozenset[str], now: float) -> None:
        shares = self.shares.setdefault(name, SharesOfServer())
        shares.replace(share(name, self.server, names), now)

    def total(self, limit: WarmupLimit, now: float) -> int:
        return sum(each.allowance(limit, now) for each in self.shares.values())


class TestLimit:
    def test_is_set_only_with_a_rate_and_both_bounds(self) -> None:
        bounds = WarmupBounds(1.5, 8.0)
        assert warmup_limit(3.0, 0.0, bounds) is None
        assert warmup_limit(3.0, 6.5, None) is None
        assert warmup_limit(3.0, 6.5, bounds) == LIMIT

    def test_half_of_the_slack_is_kept_in_reserve(self) -> None:
        assert (LIMIT.divided, LIMIT.reserve) == (13, 4)
        assert LIMIT.divided + LIMIT.reserve == MOST_PER_S


class TestDivision:
    @pytest.mark.parametrize("limit", LIMITS)
    @pytest.mark.parametrize("instances", [1, 2, 3, 8, 12, 13, 14, 40, 400])
    def test_the_allowances_of_all_instances_add_up_to_the_limit(
        self, instances: int, limit: WarmupLimit
    ) -> None:
        names = names_of(instances)
        for number in range(20):
            sharers = Sharers(names, f"s-{number}")
            assert sharers.total(limit, 0.0) == limit.divided

    def test_different_instances_are_first_for_different_servers(self) -> None:
        names = names_of(40)
        used = {
            name
            for number in range(40)
            for name in names
            if share(name, f"s-{number}", names).allowance(LIMIT.divided)
        }
        assert used == names

    def test_an_instance_that_is_not_listed_sends_nothing(self) -> None:
        assert share("e-9", "s-1", names_of(8)).allowance(13) == 0
        assert SharesOfServer().allowance(LIMIT, 0.0) == 0


class TestListsThatChange:
    """Each instance learns of the new list within the time for that, in any order."""

    @pytest.mark.parametrize("seed", range(10))
    @pytest.mark.parametrize(
        ("before", "after"),
        [(3, 4), (3, 8), (8, 9), (8, 40), (1, 2), (1, 40), (9, 8), (40, 8), (8, 3)],
    )
    def test_the_limit_holds_while_instances_join_and_leave(
        self, before: int, after: int, seed: int
    ) -> None:
        random = Random(f"{before} {after} {seed}")
        sharers = Sharers(names_of(before), f"s-{seed}")
        names = names_of(after)
        # Those that leave are out of contact: they keep their allowances until then.
        times_s = {name: random.uniform(0.0, LIST_SPREAD_S) for name in names}
        end_s = 2 * LIST_SPREAD_S + 0.1
        for step in range(int(end_s / 0.05) + 1):
            now = step * 0.05
            for name in sorted(names):
                if times_s.get(name, end_s) <= now:
                    sharers.learn(name, names, times_s.pop(name))
            for name in names_of(before) - names:
                if now >= LIST_SPREAD_S:
                    sharers.shares.pop(name, None)
            assert sharers.total(LIMIT, now) <= MOST_PER_S
        assert sharers.total(LIMIT, end_s) == LIMIT.divided

    # Guards against instances that exchange their places: all of one set is replaced
    # by another at once.
    @pytest.mark.parametrize("seed", range(10))
    def test_the_limit_holds_while_all_are_replaced(self, seed: int) -> None:
        sharers = Sharers(names_of(8), f"s-{seed}")
        for name in names_of(8, first=100):
            sharers.learn(name, names_of(8, first=100), 0.0)
        assert LIMIT.divided <= sharers.total(LIMIT, 0.1) <= MOST_PER_S

    def test_what_is_lost_counts_at_once_and_what_is_gained_later(self) -> None:
        shares = SharesOfServer(Share(0, 2))
        shares.replace(Share(0, 13), 10.0)
        assert shares.allowance(LIMIT, 10.0) == 1
        shares.replace(Share(0, 1), 20.0)
        assert shares.allowance(LIMIT, 20.0) == 1
        assert shares.allowance(LIMIT, 20.0 + LIST_SPREAD_S) == 13

    def test_a_joining_instance_has_one_request_of_the_reserve(self) -> None:
        first, last = SharesOfServer(), SharesOfServer()
        first.replace(Share(3, 8), 10.0)
        last.replace(Share(4, 8), 10.0)
        assert (first.allowance(LIMIT, 10.0), last.allowance(LIMIT, 10.0)) == (1, 0)
        later_s = 10.0 + LIST_SPREAD_S
        assert first.allowance(LIMIT, later_s) == 2


class TestSends:
    # Guards against all requests of a burst that are sent since none was written when
    # the others were chosen.
    def test_a_burst_in_one_iteration_stays_within_the_allowance(self) -> None:
        window = SendWindow()
        chosen = 0
        while window.has_room(3, 10.0):
            window.record_choice(10.0)
            chosen += 1
        assert chosen == 3
        for _ in range(chosen):
            assert window.may_write(3, 10.05)
            window.record_send(10.05)
        assert not window.has_room(3, 10.05)
        assert not window.has_room(3, 10.04 + WINDOW_S)
        assert window.has_room(3, 10.05 + WINDOW_S)

    def test_a_choice_that_was_never_written_is_given_back(self) -> None:
        window = SendWindow()
        window.record_choice(10.0)
        assert not window.has_room(1, 10.0 + RESERVATION_S - 0.01)
        assert window.has_room(1, 10.0 + RESERVATION_S)

    def test_a_request_chosen_while_the_server_was_warm_needs_room(self) -> None:
        window = SendWindow()
        for _ in range(5):
            window.record_send(10.0)
        assert not window.may_write(3, 10.1)
        assert window.may_write(3, 10.0 + WINDOW_S)

    def test_a_choice_that_connects_too_long_needs_room(self) -> None:
        window = SendWindow()
        window.record_choice(10.0)
        assert window.may_write(1, 10.0 + RESERVATION_S)
        window.record_choice(20.0)
        window.record_send(20.4)
        assert not window.may_write(1, 20.0 + RESERVATION_S)

    def test_tells_when_there_is_room(self) -> None:
        window = SendWindow()
        window.record_send(10.0)
        window.record_send(10.5)
        assert window.room_in_s(3, 10.6) == 0.0
        assert window.room_in_s(2, 10.6) == pytest.approx(10.0 + WINDOW_S - 10.6)
        assert window.room_in_s(1, 10.6) == pytest.approx(10.5 + WINDOW_S - 10.6)
        window.record_choice(10.6)
        assert window.room_in_s(3, 10.6) == pytest.approx(RESERVATION_S)
