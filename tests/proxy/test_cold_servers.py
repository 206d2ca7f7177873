"""Pattern: servers are cold, and crash above a number of requests in any one second.

Instances choose among them without any report from the others. Requests come at random
times, or in bursts.
"""

from __future__ import annotations

import attrs
import pytest

from tests.builders_cold_servers import LIMIT
from tests.builders_cold_servers import MOST_PER_S
from tests.builders_cold_servers import WARMUP_S
from tests.builders_cold_servers import ColdFleet

FLEETS = [(3, 130.0), (8, 130.0), (8, 1040.0), (40, 130.0), (40, 1040.0)]
"""Instances, and the requests that all of them get in a second."""

COLD = {"warmup_s": WARMUP_S}
WARM = {"warmup_s": 0.0}


def most(fleet: ColdFleet, servers: list[str], since_s: float, until_s: float) -> int:
    return max(fleet.most_in_a_second(each, since_s, until_s) for each in servers)


class TestReturnOfADomain:
    """A failure domain was evacuated for a while, and its servers are cold again."""

    def evacuate(self, fleet: ColdFleet) -> tuple[list[str], float]:
        """Return the domain's servers, and the time at which the evacuation ends."""
        fleet.run(2.0)
        fleet.set_evacuated("b")
        fleet.run(4.0)
        servers = fleet.servers_of("b")
        assert most(fleet, servers, fleet.now - 3.0, fleet.now) == 0
        fleet.set_evacuated()
        return servers, fleet.now

    # Guards against a crowd: its servers look unused, and unused servers come first.
    @pytest.mark.parametrize(("instances", "rate_per_s"), FLEETS)
    def test_its_servers_are_not_flooded(
        self, instances: int, rate_per_s: float
    ) -> None:
        fleet = ColdFleet(instances, rate_per_s)
        servers, began_s = self.evacuate(fleet)
        fleet.run(WARMUP_S)
        assert most(fleet, servers, began_s, began_s + WARMUP_S) <= MOST_PER_S
        assert fleet.refused == 0

    # Guards against a domain that stays unused though it is warm.
    @pytest.mark.parametrize(("instances", "rate_per_s"), FLEETS)
    def test_its_servers_get_their_part_once_they_are_warm(
        self, instances: int, rate_per_s: float
    ) -> None:
        fleet = ColdFleet(instances, rate_per_s)
        servers, began_s = self.evacuate(fleet)
        fleet.run(WARMUP_S + 4.0)
        since_s = began_s + WARMUP_S + fleet.spread_s
        share = sum(fleet.count(each, since_s, fleet.now) for each in servers) / sum(
            fleet.count(each.id, since_s, fleet.now) for each in fleet.servers
        )
        assert share > 0.2

    # Guards against callers of the domain itself that are refused though servers of
    # others are warm.
    def test_other_domains_serve_meanwhile(self) -> None:
        fleet = ColdFleet(8, 1040.0)
        self.evacuate(fleet)
        fleet.run(WARMUP_S)
        assert fleet.refused == 0


class TestServersThatJoin:
    @pytest.mark.parametrize(("instances", "rate_per_s"), FLEETS)
    def test_are_not_flooded(self, instances: int, rate_per_s: float) -> None:
        fleet = ColdFleet(instances, rate_per_s)
        fleet.run(2.0)
        new = [f"n-{number}" for number in range(5)]
        template = fleet.servers[0]
        for name in new:
            fleet.servers.append(attrs.evolve(template, id=name, **COLD))
            fleet.arrivals_by_server[name] = []
        fleet.list_servers()
        began_s = fleet.now
        fleet.run(WARMUP_S)
        assert most(fleet, new, began_s, fleet.now) <= MOST_PER_S
        fleet.list_servers(**dict.fromkeys(new, WARM))
        fleet.run(3.0)
        assert most(fleet, new, fleet.now - 2.0, fleet.now) > 0


class TestAmidTraffic:
    """Servers turn cold while they get requests from all instances."""

    # Guards against requests that go on as before: instances know the server, and its
    # connections are open.
    @pytest.mark.parametrize(("instances", "rate_per_s"), FLEETS)
    def test_a_server_that_turns_cold_is_not_flooded_once_all_know(
        self, instances: int, rate_per_s: float
    ) -> None:
        fleet = ColdFleet(instances, rate_per_s, servers=9)
        fleet.run(3.0)
        fleet.list_servers(**{"s-4": COLD, "s-5": COLD})
        fleet.run(fleet.spread_s)
        known_s = fleet.now
        fleet.run(WARMUP_S)
        assert most(fleet, ["s-4", "s-5"], known_s, fleet.now) <= MOST_PER_S

    # Guards against a server that counts as warm after the time that its entry first
    # said, though it became cold again meanwhile.
    def test_a_server_whose_entry_still_says_cold_stays_limited(self) -> None:
        fleet = ColdFleet(8, 1040.0, servers=9)
        fleet.run(3.0)
        fleet.list_servers(**{"s-4": COLD})
        fleet.run(fleet.spread_s)
        known_s = fleet.now
        fleet.run(3 * WARMUP_S)
        assert 0 < most(fleet, ["s-4"], known_s, fleet.now) <= MOST_PER_S
        fleet.list_servers(**{"s-4": WARM})
        fleet.run(3.0)
        assert most(fleet, ["s-4"], fleet.now - 2.0, fleet.now) > MOST_PER_S

    # Guards against a rule on cold servers that lasts as long as the store is away.
    def test_a_server_counts_as_warm_in_time_without_the_store(self) -> None:
        fleet = ColdFleet(8, 1040.0, servers=9)
        fleet.list_servers(**{"s-4": COLD})
        fleet.run(1.0)
        for balancer in fleet.balancers.values():
            balancer.listing_verified_s = fleet.now
        fleet.keeps_listing_current = False
        fleet.run(WARMUP_S + 3.0)
        assert most(fleet, ["s-4"], fleet.now - 2.0, fleet.now) > MOST_PER_S

    # Guards against a limit that starts anew: its entry lapsed and was written again.
    def test_a_server_whose_entry_lapses_for_a_moment_stays_limited(self) -> None:
        fleet = ColdFleet(3, 1040.0, servers=3, spread_s=0.0)
        fleet.list_servers(**{each.id: COLD for each in fleet.servers})
        fleet.run(1.0)
        began_s = fleet.now
        listed = fleet.servers
        for _ in range(10):
            fleet.servers = listed[1:]
            fleet.list_servers()
            fleet.run(0.1)
            fleet.servers = listed
            fleet.list_servers()
            fleet.run(0.1)
        assert 0 < most(fleet, ["s-0"], began_s, fleet.now) <= MOST_PER_S

    def test_all_servers_turn_cold_at_once(self) -> None:
        fleet = ColdFleet(8, 1040.0, servers=9)
        fleet.run(3.0)
        servers = [each.id for each in fleet.servers]
        fleet.list_servers(**dict.fromkeys(servers, COLD))
        fleet.run(fleet.spread_s)
        known_s = fleet.now
        fleet.run(WARMUP_S)
        assert 0 < most(fleet, servers, known_s, fleet.now) <= MOST_PER_S
        assert fleet.refused > 0
        balancer = fleet.balancers["e-0"]
        assert 0 < (balancer.free_in_s("stock", fleet.now) or 0.0) <= WARMUP_S
        text = balancer.describe_unused("stock", fleet.now)
        assert text.startswith("of 9 servers, ")
        assert text.endswith(" cold")


class TestBursts:
    # Guards against requests of one loop iteration that are all sent, since none of
    # them was written when the others were chosen.
    @pytest.mark.parametrize("instances", [1, 3, 8, 40])
    def test_many_requests_in_one_iteration(self, instances: int) -> None:
        fleet = ColdFleet(instances, 0.0, servers=6)
        servers = [each.id for each in fleet.servers]
        fleet.list_servers(**dict.fromkeys(servers, COLD))
        fleet.run(fleet.spread_s)
        began_s = fleet.now
        for _ in range(3):
            for balancer in fleet.balancers.values():
                for _ in range(200):
                    fleet.send(balancer)
            fleet.run(0.4)
        assert 0 < most(fleet, servers, began_s, fleet.now) <= MOST_PER_S

    # Guards against a burst that was just connecting when its server turned cold.
    def test_requests_that_connect_when_the_server_turns_cold(self) -> None:
        fleet = ColdFleet(3, 0.0, servers=3, spread_s=0.0)
        for balancer in fleet.balancers.values():
            for _ in range(40):
                fleet.send(balancer)
        servers = [each.id for each in fleet.servers]
        fleet.list_servers(**dict.fromkeys(servers, COLD))
        began_s = fleet.now
        fleet.run(1.0)
        assert fleet.withdrawn > 0
        assert most(fleet, servers, began_s + 0.005, fleet.now) <= MOST_PER_S


class TestInstancesThatJoin:
    @pytest.mark.parametrize(
        ("before", "after"), [(3, 8), (8, 9), (8, 40), (1, 8), (40, 8)]
    )
    @pytest.mark.parametrize("rate_per_s", [130.0, 1040.0])
    def test_cold_servers_are_not_flooded(
        self, before: int, after: int, rate_per_s: float
    ) -> None:
        fleet = ColdFleet(before, rate_per_s, spread_s=1.9)
        servers = fleet.servers_of("b")
        fleet.list_servers(**dict.fromkeys(servers, COLD))
        fleet.run(fleet.spread_s)
        began_s = fleet.now
        fleet.list_instances(frozenset(f"e-{number}" for number in range(after)))
        fleet.run(4.0)
        assert 0 < most(fleet, servers, began_s, fleet.now) <= MOST_PER_S


class TestActivation:
    # Guards against a limit where the deployment asks for none.
    def test_without_a_limit_cold_servers_are_used_as_before(self) -> None:
        fleet = ColdFleet(3, 1040.0, servers=3)
        for balancer in fleet.balancers.values():
            balancer.set_warmup_limits({})
        fleet.list_servers(**{each.id: COLD for each in fleet.servers})
        fleet.run(2.0)
        assert most(fleet, ["s-0"], fleet.now - 1.0, fleet.now) > 2 * MOST_PER_S
        assert fleet.refused == fleet.withdrawn == 0
        assert fleet.balancers["e-0"].count_cold(fleet.now) == 0

    def test_a_service_without_a_limit_is_not_affected(self) -> None:
        fleet = ColdFleet(3, 1040.0, servers=3)
        for balancer in fleet.balancers.values():
            balancer.set_warmup_limits({"other": LIMIT})
        fleet.list_servers(**{each.id: COLD for each in fleet.servers})
        fleet.run(2.0)
        assert fleet.refused == fleet.withdrawn == 0
