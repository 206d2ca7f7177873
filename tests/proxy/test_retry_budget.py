from __future__ import annotations

import attrs
import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from gentianhitch.proxy.model import WeightedService
from gentianhitch.proxy.retry_budget import HEDGE_SHARE
from gentianhitch.proxy.retry_budget import SPENDABLE_SHARE
from gentianhitch.proxy.retry_budget import RetryBudget
from gentianhitch.proxy.traffic_split import TrafficSplits
from tests.builders_declining_service import ORDERS
from tests.builders_declining_service import DecliningService
from tests.builders_deployment import SimulatedDeployment
from tests.builders_deployment import make_document
from tests.builders_proxy import make_configuration
from tests.builders_proxy import make_route


@settings(max_examples=50, deadline=None, derandomize=True)
@given(st.lists(st.floats(0.0, 0.5), min_size=1, max_size=300), st.integers(1, 6))
def test_all_instances_together_stay_within_the_budget(
    gaps: list[float], sharers: int
) -> None:
    budgets = [RetryBudget(0.2, 56.0, 10.0) for _ in range(sharers)]
    now, requests, retries = 0.0, [], []
    for index, gap in enumerate(gaps):
        now += gap
        budget = budgets[index % sharers]
        budget.record_request(now)
        requests.append(now)
        if budget.try_spend(now, 1.0 / sharers):
            retries.append(now)
        window = [at for at in requests if at > now - 10.0]
        spent = [at for at in retries if at > now - 10.0]
        assert len(spent) <= 0.2 * len(window) + 56.0


def test_without_slack_or_requests_no_retry_is_allowed() -> None:
    budget = RetryBudget(0.2, 56.0, 10.0)
    assert not budget.try_spend(0.0, 0.0)


class PlainBudget:
    """The rule for services whose routes have one priority."""

    def __init__(self) -> None:
        self.requests: list[float] = []
        self.retries: list[float] = []

    def try_spend(self, now: float, *, hedge: bool) -> bool:
        requests = sum(at >= now - 10.0 for at in self.requests)
        retries = sum(at >= now - 10.0 for at in self.retries)
        share = SPENDABLE_SHARE * (HEDGE_SHARE if hedge else 1.0)
        if retries + 1 > share * (0.2 * requests + 20.0):
            return False
        self.retries.append(now)
        return True


steps = st.lists(
    st.tuples(st.floats(0.0, 0.3), st.booleans(), st.integers(0, 2)),
    min_size=1,
    max_size=300,
)


class TestPriorities:
    # Pattern: routes of unlike priority share a service whose servers decline or fail
    # so much that the retry budget runs short.

    @settings(max_examples=50, deadline=None, derandomize=True)
    @given(steps)
    def test_without_priorities_nothing_changes(
        self, steps: list[tuple[float, bool, int]]
    ) -> None:
        budget, plain, now = RetryBudget(0.2, 20.0, 10.0), PlainBudget(), 0.0
        for gap, hedge, _ in steps:
            now += gap
            budget.record_request(now)
            plain.requests.append(now)
            expected = plain.try_spend(now, hedge=hedge)
            assert budget.try_spend(now, 1.0, hedge=hedge) == expected

    @settings(max_examples=50, deadline=None, derandomize=True)
    @given(steps, st.integers(1, 6))
    def test_all_instances_together_stay_within_the_budget(
        self, steps: list[tuple[float, bool, int]], sharers: int
    ) -> None:
        budgets = [RetryBudget(0.2, 20.0, 10.0) for _ in range(sharers)]
        now, requests, retries = 0.0, [], []
        for index, (gap, hedge, priority) in enumerate(steps):
            now += gap
            budget = budgets[index % sharers]
            budget.record_request(now)
            requests.append(now)
            if budget.try_spend(now, 1.0 / sharers, hedge=hedge, priority=priority):
                retries.append(now)
            window = [at for at in requests if at > now - 10.0]
            spent = [at for at in retries if at > now - 10.0]
            assert len(spent) <= 0.2 * len(window) + 20.0

    def spend(
        self, wanted_per_s: dict[tuple[int, bool], int], seconds: int
    ) -> dict[tuple[int, bool], int]:
        """Return how many retries of each priority, hedges or not, are allowed.

        They come evenly, with 100 requests/s.
        """
        budget = RetryBudget(0.2, 0.0, 10.0)
        allowed = dict.fromkeys(wanted_per_s, 0)
        for tick in range(100 * seconds):
            now = 0.01 * tick
            budget.record_request(now)
            for (priority, hedge), rate in wanted_per_s.items():
                if tick * rate // 100 != (tick + 1) * rate // 100:
                    allowed[priority, hedge] += budget.try_spend(
                        now, 0.0, hedge=hedge, priority=priority
                    )
        return allowed

    def test_second_attempts_of_urgent_requests_come_first(self) -> None:
        # 10/s of the 19/s that the budget allows.
        allowed = self.spend({(1, False): 10, (2, False): 50}, 30)
        assert allowed[1, False] >= 0.95 * 10 * 30
        assert allowed[2, False] >= 0.8 * 9 * 30

    @pytest.mark.parametrize("priority", [1, 2])
    def test_second_attempts_of_urgent_requests_come_before_hedges(
        self, priority: int
    ) -> None:
        allowed = self.spend({(1, False): 16, (priority, True): 50}, 30)
        assert allowed[1, False] >= 0.95 * 16 * 30

    def test_each_priority_comes_before_the_next(self) -> None:
        allowed = self.spend({(0, False): 6, (1, False): 6, (2, False): 50}, 30)
        assert allowed[0, False] >= 0.95 * 6 * 30
        assert allowed[1, False] >= 0.95 * 6 * 30

    def test_the_others_get_all_when_no_urgent_request_needs_it(self) -> None:
        budget = RetryBudget(0.0, 100.0, 10.0)
        for step in range(20):
            assert budget.try_spend(0.1 * step, 1.0, priority=1)
        now = 4.1
        left = sum(budget.try_spend(now, 1.0, priority=2) for _ in range(100))
        assert left == 95 - 20

    def test_only_unlike_priorities_at_one_service_count(self) -> None:
        orders = make_route(name="orders", priority=1)
        reads = make_route(name="reads", priority=2)
        others = make_route(
            name="others", priority=3, destinations=(WeightedService("other", 1.0),)
        )
        alike = make_configuration(orders, attrs.evolve(reads, priority=1), others)
        assert alike.services_of_unlike_priorities() == frozenset()
        unlike = make_configuration(orders, reads, others)
        assert unlike.services_of_unlike_priorities() == frozenset({"stock"})


def test_priorities_follow_the_configuration_in_force() -> None:
    # Guards against an instance that doesn't pass them to its dispatches.
    deployment = SimulatedDeployment([1e6], servers=2)
    deployment.advance(4.0)
    context = deployment.instances[0]._server.dispatch
    assert not context.has_unlike_priorities("stock")
    document = make_document(2, 20)
    document["listeners"][0]["rules"][0]["priority"] = 1
    deployment.configure(document)
    deployment.advance(4.0)
    assert context.has_unlike_priorities("stock")
    assert not context.has_unlike_priorities("other")


@pytest.mark.parametrize("seed", range(2))
def test_urgent_requests_are_served_rather_than_others_when_all_servers_decline(
    seed: int,
) -> None:
    # Guards against orders that are refused for want of a second attempt which a hedge
    # or a less urgent request got.
    shares = []
    for has_unlike_priorities in (False, True):
        service = DecliningService(
            seed, slack=10.0, has_unlike_priorities=has_unlike_priorities
        )
        service.set_decline_share(30, 0.3)
        service.run(8.0)
        orders = [each for each in service.outcomes if each.route is ORDERS]
        shares.append(service.refused(0.0, 9.0, ORDERS) / len(orders))
    assert shares[1] < 0.8 * shares[0]


def test_a_split_follows_its_weights_in_short_spans() -> None:
    splits = TrafficSplits()
    route = make_route(
        destinations=(WeightedService("one", 90), WeightedService("two", 10))
    )
    chosen = [splits.choose(route) for _ in range(20)]
    assert chosen.count("two") == 2


def test_new_weights_take_effect_at_once() -> None:
    splits = TrafficSplits()
    weights = (WeightedService("one", 90), WeightedService("two", 10))
    splits.choose(make_route(destinations=weights))
    swapped = (WeightedService("one", 0), WeightedService("two", 10))
    chosen = {splits.choose(make_route(destinations=swapped)) for _ in range(10)}
    assert chosen == {"two"}


def test_the_state_of_removed_routes_is_dropped() -> None:
    splits = TrafficSplits()
    weights = (WeightedService("one", 90), WeightedService("two", 10))
    route = make_route(destinations=weights)
    first = [splits.choose(route) for _ in range(5)]
    splits.retain(frozenset())
    assert [splits.choose(route) for _ in range(5)] == first
