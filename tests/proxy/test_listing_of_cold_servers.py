"""Pattern: servers turn cold and warm again while instances read through others.

All instances share one simulated network and store, and learn of it as they learn of
servers that leave.
"""

from __future__ import annotations

import pytest

from gentianhitch.proxy.instance import ProxyInstance
from tests.builders_deployment import SimulatedDeployment
from tests.builders_deployment import instance_host
from tests.builders_old_versions import make_old

LINK_BYTES_PER_S = 1e6
INSTANCES = 9
SERVERS = 30
BOUNDS = {"warmupOvershoot": 1.5, "warmupSlack": 8}
WARMUP_S = 3.0
DRAIN_S = 2.0
"""The bound within which changes of servers are known."""


@pytest.fixture
def deployment() -> SimulatedDeployment:
    running = SimulatedDeployment(
        [LINK_BYTES_PER_S] * INSTANCES, SERVERS, "abc", BOUNDS
    )
    running.limit_cold_servers(WARMUP_S, 6.5)
    running.advance(6.0)
    assert known(running) == [set()] * INSTANCES
    return running


def known(deployment: SimulatedDeployment) -> list[set[str]]:
    return [deployment.cold_servers(number) for number in range(INSTANCES)]


def listing_ages_s(deployment: SimulatedDeployment) -> list[float]:
    now = deployment.network.clock.seconds()
    return [each.store_view.listing_age_s(now) for each in deployment.instances]


class TestSpread:
    def test_all_instances_learn_that_servers_turn_cold_and_warm(
        self, deployment
    ) -> None:
        deployment.cool_server(7, 30.0)
        deployment.cool_server(20, 30.0)
        deployment.advance(DRAIN_S)
        assert known(deployment) == [{"i-7", "i-20"}] * INSTANCES
        deployment.cool_server(7, 0.0)
        deployment.advance(DRAIN_S)
        assert known(deployment) == [{"i-20"}] * INSTANCES
        assert [line["cold"] for line in deployment.lines("listing_changed")][-1] == []
        assert sum(
            line["warm"] == ["i-7"] for line in deployment.lines("listing_changed")
        )

    def test_so_do_those_that_the_store_turns_away(self, deployment) -> None:
        refused = deployment.reader_hosts() | {instance_host(0), instance_host(4)}
        deployment.store.refused_hosts = refused
        # The others take over from the readers.
        deployment.advance(4.0)
        deployment.cool_server(7, 30.0)
        deployment.advance(DRAIN_S)
        assert known(deployment) == [{"i-7"}] * INSTANCES

    # Guards against a limit that lasts as long as the store is away.
    def test_a_cold_server_is_warm_in_time_though_the_store_is_away(
        self, deployment
    ) -> None:
        deployment.cool_server(7, WARMUP_S)
        deployment.advance(DRAIN_S)
        deployment.store.is_down = True
        deployment.advance(WARMUP_S + DRAIN_S)
        assert known(deployment) == [set()] * INSTANCES

    # Guards against buckets that are sent with each heartbeat of a cold server.
    def test_heartbeats_of_cold_servers_move_no_buckets(self, deployment) -> None:
        for number in range(SERVERS):
            deployment.cool_server(number, 60.0)
        deployment.advance(DRAIN_S)
        buckets = deployment.record_buckets()
        deployment.advance(10.0)
        assert buckets == []
        assert max(listing_ages_s(deployment)) < 1.5


class TestReturnOfADomain:
    def test_its_servers_are_cold_for_a_time_whatever_their_entries_say(
        self, deployment
    ) -> None:
        deployment.evacuate("b")
        deployment.advance(5.0)
        deployment.cancel_evacuation("b")
        deployment.advance(DRAIN_S)
        servers = {
            f"i-{number}"
            for number in range(SERVERS)
            if deployment.zone_of(number) == "b"
        }
        assert known(deployment) == [servers] * INSTANCES
        deployment.advance(WARMUP_S)
        assert known(deployment) == [set()] * INSTANCES


class TestRollingRestart:
    """Some instances are still of the version that knows no cold servers."""

    # Guards against a difference that no exchange removes while a server is cold.
    def test_versions_do_not_exchange_buckets_for_ever(self, deployment) -> None:
        for instance in deployment.instances[::2]:
            make_old(instance)
        for number in range(0, SERVERS, 2):
            deployment.cool_server(number, 60.0)
        deployment.advance(5.0)
        buckets = deployment.record_buckets()
        deployment.advance(10.0)
        assert buckets == []
        assert not deployment.lines("listing_not_merged")
        assert not any(each._events.failures for each in deployment.instances)
        assert max(listing_ages_s(deployment)) < 1.5

    # Guards against a server that left and is used for as long as another is cold, or
    # against cold servers that new instances don't learn of through older readers.
    @pytest.mark.parametrize("old_are_readers", [True, False])
    def test_new_instances_learn_what_changes(
        self, deployment, old_are_readers: bool
    ) -> None:
        readers = deployment.reader_hosts()
        new = []
        for number, instance in enumerate(deployment.instances):
            if (instance_host(number) in readers) == old_are_readers:
                make_old(instance)
            else:
                new.append(number)
        deployment.advance(3.0)
        deployment.cool_server(7, 30.0)
        deployment.drain_server(8)
        deployment.advance(2.5)
        assert [deployment.cold_servers(each) for each in new] == [{"i-7"}] * len(new)
        assert deployment.users_of(8) == []


class TestActivation:
    @pytest.mark.parametrize(
        ("bounds", "rate_per_s"), [({}, 6.5), ({"warmupSlack": 8}, 6.5), (BOUNDS, 0.0)]
    )
    def test_needs_the_rate_and_both_bounds(
        self, bounds: dict[str, float], rate_per_s: float
    ) -> None:
        deployment = SimulatedDeployment([LINK_BYTES_PER_S] * 3, 6, "abc", bounds)
        deployment.limit_cold_servers(WARMUP_S, rate_per_s)
        deployment.cool_server(1, 60.0)
        deployment.advance(5.0)
        assert [deployment.cold_servers(number) for number in range(3)] == [set()] * 3

    def test_bounds_take_effect_when_the_settings_are_read_again(self) -> None:
        deployment = SimulatedDeployment([LINK_BYTES_PER_S] * 3, 6, "abc", BOUNDS)
        deployment.limit_cold_servers(WARMUP_S, 6.5)
        deployment.cool_server(1, 60.0)
        deployment.advance(5.0)
        instance: ProxyInstance = deployment.instances[0]
        assert deployment.cold_servers(0) == {"i-1"}
        instance._changes.set_warmup_bounds(None)
        assert deployment.cold_servers(0) == set()
