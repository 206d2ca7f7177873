"""Pattern: the operator evacuates a failure domain and cancels the evacuation.

All instances, which share one simulated network and store, stop using its servers
within the bound, and no other servers; the store gets no more calls for it.
"""

from __future__ import annotations

import pytest

from gentianhitch.proxy.sources import REFRESH_INTERVAL_S
from tests.builders_deployment import SimulatedDeployment
from tests.builders_deployment import instance_host
from tests.builders_old_versions import make_old

LINK_BYTES_PER_S = 1e6
INSTANCES = 9
SERVERS = 30
ZONES = "abc"
EVACUATION_S = 5.0
"""The bound of the deployments."""

READS = ("kv-range", "kv-key", "kv-txn")


@pytest.fixture
def deployment() -> SimulatedDeployment:
    running = SimulatedDeployment([LINK_BYTES_PER_S] * INSTANCES, SERVERS, ZONES)
    running.advance(5.0)
    assert usable(running) == [set(ZONES)] * INSTANCES
    return running


def usable(deployment: SimulatedDeployment) -> list[set[str]]:
    return [deployment.usable_zones(number) for number in range(INSTANCES)]


class TestEvacuation:
    def test_no_instance_uses_the_domain_after_the_bound(self, deployment) -> None:
        deployment.evacuate("b")
        deployment.advance(EVACUATION_S)
        assert usable(deployment) == [{"a", "c"}] * INSTANCES
        assert deployment.listed() == INSTANCES

    def test_a_cancelled_evacuation_brings_the_servers_back(self, deployment) -> None:
        deployment.evacuate("b")
        deployment.advance(EVACUATION_S)
        deployment.cancel_evacuation("b")
        deployment.advance(EVACUATION_S)
        assert usable(deployment) == [set(ZONES)] * INSTANCES

    def test_two_domains_are_evacuated_at_once(self, deployment) -> None:
        deployment.evacuate("b")
        deployment.evacuate("a")
        deployment.advance(EVACUATION_S)
        assert usable(deployment) == [{"c"}] * INSTANCES

    # Guards against reads of the store for evacuations alone.
    def test_the_store_gets_no_further_calls(self, deployment) -> None:
        deployment.evacuate("b")
        before = deployment.store.calls_by_name.copy()
        deployment.advance(10.0)
        counts = deployment.store.calls_by_name
        reads = sum(counts[name] - before[name] for name in READS)
        assert reads <= len(ZONES) * (10.0 / REFRESH_INTERVAL_S + 1)


class TestQuickSuccession:
    # Guards against an earlier read, or a peer's, that outlasts the newest one.
    @pytest.mark.parametrize("gap_s", [0.0, 0.05, 0.4, 0.9])
    def test_written_and_deleted(self, deployment, gap_s: float) -> None:
        deployment.evacuate("b")
        deployment.advance(gap_s)
        deployment.cancel_evacuation("b")
        deployment.advance(EVACUATION_S)
        assert usable(deployment) == [set(ZONES)] * INSTANCES

    @pytest.mark.parametrize("gap_s", [0.0, 0.05, 0.4, 0.9])
    def test_deleted_and_written_again(self, deployment, gap_s: float) -> None:
        deployment.evacuate("b")
        deployment.advance(EVACUATION_S)
        deployment.cancel_evacuation("b")
        deployment.advance(gap_s)
        deployment.evacuate("b")
        deployment.advance(EVACUATION_S)
        assert usable(deployment) == [{"a", "c"}] * INSTANCES


class TestStoreFaults:
    # Guards against instances that only a peer can tell: the store refuses those that
    # usually read it, and others.
    def test_instances_turned_away_learn_through_peers(self, deployment) -> None:
        refused = deployment.reader_hosts() | {instance_host(0), instance_host(4)}
        deployment.store.refused_hosts = refused
        deployment.evacuate("b")
        deployment.advance(EVACUATION_S)
        assert usable(deployment) == [{"a", "c"}] * INSTANCES

    def test_all_instances_of_one_domain_are_turned_away(self, deployment) -> None:
        deployment.store.refused_hosts = {instance_host(each) for each in (0, 3, 6)}
        deployment.evacuate("b")
        deployment.advance(EVACUATION_S)
        assert usable(deployment) == [{"a", "c"}] * INSTANCES

    # Guards against an evacuation that is told once, in a datagram that is lost.
    def test_a_third_of_the_datagrams_is_lost(self, deployment) -> None:
        deployment.lose_datagrams(1 / 3)
        deployment.store.refused_hosts = {instance_host(0), instance_host(4)}
        deployment.advance(3.0)
        deployment.evacuate("b")
        deployment.advance(EVACUATION_S)
        assert usable(deployment) == [{"a", "c"}] * INSTANCES
        deployment.cancel_evacuation("b")
        deployment.advance(EVACUATION_S)
        assert usable(deployment) == [set(ZONES)] * INSTANCES

    def test_the_last_known_state_stays_in_force_in_an_outage(self, deployment) -> None:
        deployment.evacuate("b")
        deployment.advance(EVACUATION_S)
        deployment.store.is_down = True
        for _ in range(20):
            deployment.advance(1.0)
            assert usable(deployment) == [{"a", "c"}] * INSTANCES
        deployment.store.is_down = False
        deployment.advance(EVACUATION_S)
        assert usable(deployment) == [{"a", "c"}] * INSTANCES

    def test_an_evacuation_cancelled_in_an_outage_ends_with_it(
        self, deployment
    ) -> None:
        deployment.evacuate("b")
        deployment.advance(EVACUATION_S)
        deployment.store.is_down = True
        deployment.cancel_evacuation("b")
        deployment.advance(10.0)
        deployment.store.is_down = False
        deployment.advance(EVACUATION_S)
        assert usable(deployment) == [set(ZONES)] * INSTANCES


class TestRestart:
    # Guards against an instance that uses the listed servers before it knows which of
    # them are evacuated.
    @pytest.mark.parametrize("restarted", [[1], list(range(INSTANCES))])
    def test_a_restarted_instance_never_uses_the_domain(
        self, deployment, restarted: list[int]
    ) -> None:
        deployment.evacuate("b")
        deployment.advance(EVACUATION_S)
        for number in restarted:
            deployment.restart(number)
        for _ in range(60):
            deployment.advance(0.05)
            assert not any("b" in zones for zones in usable(deployment))
        assert usable(deployment) == [{"a", "c"}] * INSTANCES


class TestUnknownDomains:
    # Guards against a line for each read, and datagrams that grow with the number of
    # keys.
    def test_have_no_effect_and_are_logged_once_by_each_reader(
        self, deployment
    ) -> None:
        for number in range(200):
            deployment.evacuate(f"zone-{number}")
        deployment.advance(EVACUATION_S)
        assert usable(deployment) == [set(ZONES)] * INSTANCES
        logged = [line["domain"] for line in deployment.lines("evacuation_unknown")]
        assert len(set(logged)) == 200
        assert len(logged) <= 200 * len(ZONES)
        for instance in deployment.instances:
            assert instance.store_view.evacuated_domains == frozenset()

    def test_a_domain_whose_first_server_joins_later_is_evacuated(
        self, deployment
    ) -> None:
        deployment.evacuate("d")
        deployment.advance(EVACUATION_S)
        deployment.add_server(90, "d")
        for _ in range(40):
            deployment.advance(0.1)
            assert not any("d" in zones for zones in usable(deployment))

    @pytest.mark.parametrize("key", ["op/evacuate/", "op/evacuate", "op/evacuated/b"])
    def test_an_odd_key_evacuates_nothing(self, deployment, key: str) -> None:
        deployment.store.write_raw(key, b"{}")
        deployment.advance(EVACUATION_S)
        assert usable(deployment) == [set(ZONES)] * INSTANCES

    @pytest.mark.parametrize("value", [b"", b"\xff", b"[" * 100_000, b"false"])
    def test_the_value_does_not_matter(self, deployment, value: bytes) -> None:
        deployment.store.write_raw("op/evacuate/b", value)
        deployment.advance(EVACUATION_S)
        assert usable(deployment) == [{"a", "c"}] * INSTANCES


class TestRollingRestart:
    """Some instances are still of the version that knows no evacuations."""

    @pytest.mark.parametrize("old_are_readers", [True, False])
    def test_new_instances_learn_of_it_in_time(
        self, deployment, old_are_readers: bool
    ) -> None:
        readers = deployment.reader_hosts()
        new = []
        for number, instance in enumerate(deployment.instances):
            if (instance_host(number) in readers) == old_are_readers:
                make_old(instance)
            else:
                new.append(number)
        deployment.evacuate("b")
        deployment.advance(EVACUATION_S)
        assert [deployment.usable_zones(each) for each in new] == [{"a", "c"}] * len(
            new
        )

    # Guards against a difference that no exchange removes, for which buckets are sent
    # with every reply.
    def test_versions_do_not_exchange_buckets_for_ever(self, deployment) -> None:
        for instance in deployment.instances[::2]:
            make_old(instance)
        deployment.evacuate("b")
        deployment.advance(EVACUATION_S)
        buckets = deployment.record_buckets()
        deployment.advance(10.0)
        assert buckets == []
        assert not deployment.lines("listing_not_merged")
        assert not any(each._events.failures for each in deployment.instances)
        ages_s = [
            each.store_view.listing_age_s(deployment.network.clock.seconds())
            for each in deployment.instances
        ]
        assert max(ages_s) < 1.5
