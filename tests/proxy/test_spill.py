"""Pattern: failure domains whose demand or servers differ for some seconds.

Requests leave their failure domain when that helps them, and not for a slot that others
have taken by the time they arrive.
"""

from __future__ import annotations

import math
from random import Random

import pytest

from gentianhitch.proxy.balancing import Balancer
from gentianhitch.proxy.competition import Competition
from gentianhitch.proxy.server_records import AttemptResult
from gentianhitch.proxy.server_records import Observation
from gentianhitch.proxy.server_records import RunningRequest
from gentianhitch.proxy.spill import DAMPING_S
from gentianhitch.proxy.spill import LOAD_MARGIN
from gentianhitch.proxy.spill import LOAD_SPAN
from gentianhitch.proxy.spill import MAX_PENALTY
from gentianhitch.proxy.spill import DomainLoads
from tests.builders_proxy import make_server
from tests.builders_spill import CAPACITY_PER_S
from tests.builders_spill import DOMAINS
from tests.builders_spill import ROUTE
from tests.builders_spill import SpillingService

SWING_S = 17.0
RUN_S = 20.0


def swinging(domain: str, now: float) -> float:
    """Return a demand that swings by half, at another time in each domain."""
    phase = now / SWING_S + DOMAINS.index(domain) / len(DOMAINS)
    return 0.8 * CAPACITY_PER_S * (1.0 + 0.5 * math.sin(2 * math.pi * phase))


def even(domain: str, now: float) -> float:
    return 0.6 * CAPACITY_PER_S


class TestPenalty:
    def test_domains_with_as_much_to_do_keep_their_requests(self) -> None:
        loads = DomainLoads()
        loads.update({"a": 0.8 + LOAD_MARGIN, "b": 0.8, "c": 1.5}, 10.0)
        assert loads.penalty("a") == pytest.approx(MAX_PENALTY)
        assert loads.penalty("b") == MAX_PENALTY

    def test_requests_leave_a_domain_that_has_clearly_more_to_do(self) -> None:
        loads = DomainLoads()
        more = 0.5 + LOAD_MARGIN + LOAD_SPAN
        loads.update({"a": more, "b": 0.5, "c": more}, 10.0)
        assert loads.penalty("a") == pytest.approx(0.0)
        assert loads.penalty("b") == MAX_PENALTY

    def test_loads_are_damped(self) -> None:
        loads = DomainLoads()
        loads.update({"a": 0.5, "b": 0.5}, 10.0)
        loads.update({"a": 2.5, "b": 0.5}, 10.1)
        assert loads.penalty("a") == MAX_PENALTY
        loads.update({"a": 2.5, "b": 0.5}, 10.1 + 2 * DAMPING_S)
        assert loads.penalty("a") == 0.0

    def test_a_domain_without_servers_has_nothing_to_keep(self) -> None:
        loads = DomainLoads()
        loads.update({"a": 0.5, "b": 0.5}, 10.0)
        loads.update({"b": 0.5}, 10.1)
        assert loads.penalty("a") == 0.0


class TestChoice:
    def make_balancer(self, *, competes: bool) -> Balancer:
        competition = Competition(expects_pressure=competes)
        balancer = Balancer("e-1", "a", Random(1), competition=competition)
        servers = [
            make_server(f"s-{domain}", failure_domain=domain, slots=2)
            for domain in DOMAINS
        ]
        balancer.update(servers, 0.0)
        return balancer

    def choose(self, balancer: Balancer) -> str:
        server = balancer.choose("stock", ROUTE, 1.0)
        assert server is not None
        return server.failure_domain

    def test_a_slot_of_the_own_domain_is_used_first(self) -> None:
        balancer = self.make_balancer(competes=True)
        chosen = make_server("s-a", slots=2)
        balancer.record_start(chosen, ROUTE, 0.9)
        assert self.choose(balancer) == "a"

    def test_other_services_are_as_before(self) -> None:
        balancer = self.make_balancer(competes=False)
        balancer.record_start(make_server("s-a", slots=2), ROUTE, 0.9)
        assert self.choose(balancer) != "a"

    def test_requests_leave_a_domain_whose_servers_are_gray(self) -> None:
        # Guards against requests that are kept at the only servers that fail them.
        balancer = self.make_balancer(competes=True)
        balancer.set_routes(frozenset({ROUTE.name}))
        key = make_server("s-a").key
        failed = Observation(key, ROUTE.name, 0.1, AttemptResult.FAILED)
        balancer.merge_observation(failed, 0.95)
        running = (RunningRequest(ROUTE.name, 0.99),)
        balancer.merge_running("e-2", {key: running}, 0.99)
        assert self.choose(balancer) != "a"


class TestSimulated:
    @pytest.mark.parametrize("lost_share", [0.0, 0.5])
    def test_demand_that_swings_in_turn(self, lost_share: float) -> None:
        # Guards against requests that all go to the same free slots elsewhere, and wait
        # there: a sixth missed the objective, and a third crossed failure domains.
        before = SpillingService(swinging, competes=False, lost_share=lost_share)
        before.run(RUN_S)
        after = SpillingService(swinging, competes=True, lost_share=lost_share)
        after.run(RUN_S)
        assert after.late_share < 0.7 * before.late_share
        assert after.remote_share < 0.5 * before.remote_share

    def test_a_domain_that_loses_most_of_its_servers(self) -> None:
        before = SpillingService(even, competes=False)
        before.run(RUN_S, lose_at_s=6.0)
        after = SpillingService(even, competes=True)
        after.run(RUN_S, lose_at_s=6.0)
        assert after.late_share < 0.7 * before.late_share
        assert after.remote_share < before.remote_share
        assert after.remote_share > 0.05
