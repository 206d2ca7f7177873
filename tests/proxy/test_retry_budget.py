from __future__ import annotations

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from gentianhitch.proxy.model import WeightedService
from gentianhitch.proxy.retry_budget import RetryBudget
from gentianhitch.proxy.traffic_split import TrafficSplits
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
