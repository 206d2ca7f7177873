from __future__ import annotations

import attrs
import pytest

from gentianhitch.proxy.directory import ISOLATED_AGE_S
from gentianhitch.proxy.directory import Directory
from gentianhitch.proxy.model import Peer
from gentianhitch.proxy.serving_fleet import ServingFleet
from gentianhitch.proxy.sources import reading_order
from gentianhitch.proxy.steering import CARRIED_SHARE
from gentianhitch.proxy.steering import LINKS_REMEMBERED_S
from gentianhitch.proxy.steering import MIN_SERVING
from gentianhitch.proxy.steering import SERVING_CAPACITY_SHARE
from gentianhitch.proxy.steering import STANDBY_FACTOR
from gentianhitch.proxy.steering import ServingOrder
from gentianhitch.proxy.steering import near_serving
from gentianhitch.proxy.steering import serving_instances
from gentianhitch.proxy.store_view import StoreView
from tests.builders_proxy import make_listing
from tests.builders_proxy import make_peer

PEERS = tuple(make_peer(f"{domain}-{n}", domain) for domain in "abc" for n in range(5))


def make_directory(*, has_reply: bool = True) -> Directory:
    store_view = StoreView(1.5)
    store_view.update_listing(make_listing(5, peers=PEERS), 10.0, 10.0)
    fleet = ServingFleet("a-1", store_view)
    return Directory(store_view, fleet, lambda now: has_reply)


class TestServingInstances:
    def test_returns_a_few_instances_of_each_failure_domain(self) -> None:
        serving = serving_instances(PEERS)
        assert set(serving) == {"a", "b", "c"}
        assert {len(each) for each in serving.values()} == {MIN_SERVING}

    def test_the_largest_instances_serve(self) -> None:
        # Guards against a long outage after a loss of power: callers were sent to small
        # instances, which took twice as long to start as large ones.
        peers = [attrs.evolve(make_peer(f"a-{n}"), capacity=0.4) for n in range(12)]
        large = {"a-3", "a-8"}
        peers = [
            attrs.evolve(peer, capacity=2.0) if peer.name in large else peer
            for peer in peers
        ]
        assert {peer.name for peer in serving_instances(peers)["a"]} == large

    def test_a_larger_fleet_has_more_serving_instances(self) -> None:
        peers = [make_peer(f"a-{n}") for n in range(round(10 / SERVING_CAPACITY_SHARE))]
        assert len(serving_instances(peers)["a"]) == 10

    def test_few_large_instances_serve_before_many_small_ones(self) -> None:
        # Guards against a quota that is divided among more instances than the load
        # needs, and as many more connections to each server.
        small = [attrs.evolve(make_peer(f"a-{n}"), capacity=0.4) for n in range(60)]
        large = [attrs.evolve(make_peer(f"b-{n}", "a"), capacity=2.0) for n in range(3)]
        serving = serving_instances([*small, *large])["a"]
        assert len(serving) == MIN_SERVING
        assert set(serving) <= set(large)
        remaining = [peer for peer in (*small, *large) if peer not in serving]
        after = serving_instances(remaining)["a"]
        needed = SERVING_CAPACITY_SHARE * sum(peer.capacity for peer in remaining)
        assert sum(peer.capacity for peer in after) >= needed

    def test_does_not_select_the_reader_of_the_store(self) -> None:
        near = [peer for peer in PEERS if peer.failure_domain == "a"]
        assert reading_order(near)[0] not in serving_instances(PEERS)["a"]

    def test_a_failed_instance_is_replaced_and_the_others_stay(self) -> None:
        before = serving_instances(PEERS)["a"]
        others = [peer for peer in PEERS if peer != before[0]]
        assert before[1] in serving_instances(others)["a"]

    def test_near_serving_are_those_that_replace_failed_ones(self) -> None:
        peers = tuple(make_peer(f"a-{number}") for number in range(64))
        assert len(near_serving(peers)) == 4 * STANDBY_FACTOR
        names = near_serving(PEERS)
        near = [peer for peer in PEERS if peer.name in names]
        assert len(near) == min(len(PEERS), 3 * MIN_SERVING * STANDBY_FACTOR)
        failed = {each[0] for each in serving_instances(PEERS).values()}
        remaining = [peer for peer in PEERS if peer not in failed]
        for each in serving_instances(remaining).values():
            assert set(each) <= set(near)


LARGE = {"capacity": 2.15, "link_mbps": 100.0}
SMALL = {"capacity": 0.43, "link_mbps": 5.0}


def make_mixed_fleet(large: int = 2, small: int = 36) -> list[Peer]:
    """Return one failure domain of the deployment with 115 instances."""
    return [
        *(make_peer(f"a-{number}", **LARGE) for number in range(large)),
        *(make_peer(f"a-{100 + number}", **SMALL) for number in range(small)),
    ]


def by_name(peers: list[Peer]) -> dict[str, Peer]:
    return {peer.name: peer for peer in peers}


class TestLinks:
    """Pattern: instances with fast links are missing while the demand stays."""

    @pytest.mark.parametrize(("large", "small"), [(2, 36), (6, 60), (3, 8), (1, 30)])
    def test_large_instances_with_fast_links_serve_as_by_capacity(
        self, large: int, small: int
    ) -> None:
        peers = make_mixed_fleet(large, small)
        fast = [attrs.evolve(peer, link_mbps=1000.0) for peer in peers]
        chosen = {peer.name for peer in serving_instances(peers)["a"]}
        if large >= MIN_SERVING:
            assert chosen == {peer.name for peer in serving_instances(fast)["a"]}
        else:
            assert chosen >= {peer.name for peer in serving_instances(fast)["a"]}

    @pytest.mark.parametrize("link_mbps", [1.0, 5.0, 100.0, 1000.0])
    @pytest.mark.parametrize("count", [2, 5, 38, 160])
    def test_a_uniform_fleet_serves_as_by_capacity(
        self, count: int, link_mbps: float
    ) -> None:
        peers = [make_peer(f"a-{n}", link_mbps=link_mbps) for n in range(count)]
        fast = [make_peer(f"a-{n}", link_mbps=1000.0) for n in range(count)]
        names = [peer.name for peer in serving_instances(peers)["a"]]
        assert names == [peer.name for peer in serving_instances(fast)["a"]]

    @pytest.mark.parametrize("missing", [1, 2])
    def test_more_serve_while_those_with_fast_links_are_missing(
        self, missing: int
    ) -> None:
        # Guards against an upload wave at two links of 5 Mbit/s in place of those of
        # 100 Mbit/s, while the store turned instances away.
        peers = make_mixed_fleet()
        order = ServingOrder()
        assert len(order.serving(by_name(peers), 10.0)["a"]) == 2
        serving = order.serving(by_name(peers[missing:]), 20.0)["a"]
        needed_mbps = SERVING_CAPACITY_SHARE * sum(peer.link_mbps for peer in peers)
        slowest_mbps = min(peer.link_mbps for peer in serving)
        assert len(serving) * slowest_mbps >= CARRIED_SHARE * needed_mbps
        assert len(serving) <= 6

    def test_many_missing_instances_are_remembered_for_a_minute(self) -> None:
        peers = make_mixed_fleet()
        order = ServingOrder()
        order.serving(by_name(peers), 10.0)
        left = by_name(peers[14:])
        assert len(order.serving(left, 20.0)["a"]) >= 4
        assert len(order.serving(left, 20.0 + LINKS_REMEMBERED_S - 1)["a"]) >= 4
        assert len(order.serving(left, 20.0 + LINKS_REMEMBERED_S)["a"]) == 2
        assert len(order.serving(by_name(peers), 90.0)["a"]) == 2

    def test_fast_links_are_not_counted(self) -> None:
        # Fleets without slow links are steered by capacity alone, also while some miss.
        peers = [make_peer(f"a-{number}") for number in range(64)]
        order = ServingOrder()
        order.serving(by_name(peers), 10.0)
        left = peers[32:]
        expected = serving_instances(left)["a"]
        assert order.serving(by_name(left), 11.0)["a"] == expected
        assert len(expected) == 2

    def test_large_processors_with_slow_links_do_not_need_every_instance(self) -> None:
        odd = [
            *(make_peer(f"a-{n}", capacity=2.0, link_mbps=5.0) for n in range(2)),
            *(
                make_peer(f"a-{100 + n}", capacity=0.4, link_mbps=100.0)
                for n in range(36)
            ),
        ]
        serving = serving_instances(odd)["a"]
        assert 4 <= len(serving) <= len(odd) / 2

    def test_near_serving_follow(self) -> None:
        peers = make_mixed_fleet()
        order = ServingOrder()
        order.serving(by_name(peers), 10.0)
        left = by_name(peers[2:])
        serving = order.serving(left, 20.0)["a"]
        near = [name for name in left if order.is_near_serving(left, name, 20.0)]
        assert len(near) == STANDBY_FACTOR * len(serving)


class TestServingOrder:
    def test_follows_every_change_of_the_listing(self) -> None:
        order = ServingOrder()
        peers_by_name = {peer.name: peer for peer in PEERS}
        while peers_by_name:
            expected = serving_instances(peers_by_name.values())
            assert order.serving(peers_by_name) == expected
            names = near_serving(peers_by_name.values())
            for name in peers_by_name:
                assert order.is_near_serving(peers_by_name, name) == (name in names)
            del peers_by_name[expected[max(expected)][0].name]

    def test_a_peer_that_moved_is_used_at_its_new_address(self) -> None:
        order = ServingOrder()
        peers_by_name = {peer.name: peer for peer in PEERS}
        first = order.serving(peers_by_name)["a"][0]
        moved = attrs.evolve(first, incarnation=first.incarnation + 1)
        peers_by_name[first.name] = moved
        assert moved in order.serving(peers_by_name)["a"]


class TestDirectory:
    def test_returns_addresses_of_the_same_failure_domain(self) -> None:
        response = make_directory().resolve("a", 10.0)
        assert response is not None
        near = {
            str(peer.caller_address) for peer in PEERS if peer.failure_domain == "a"
        }
        assert set(response.addresses) <= near

    def test_a_failure_domain_without_instances_gets_the_others(self) -> None:
        response = make_directory().resolve("z", 10.0)
        assert response is not None
        assert len(response.addresses) == 3 * MIN_SERVING

    def test_an_isolated_instance_returns_no_addresses(self) -> None:
        late = 10.0 + ISOLATED_AGE_S + 1
        assert make_directory(has_reply=False).resolve("a", late) is None
        assert make_directory(has_reply=True).resolve("a", late) is not None
