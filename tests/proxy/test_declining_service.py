"""Pattern: part of a service declines requests while the rest has free slots.

In a model of the service, with the choice as it was before in the same run. Seen in a
replay: 77 of 117 servers declined about half of their requests for 8.5 s; 3,410 of
21,138 sends were declined and 1,983 requests refused while the other servers could have
served them.
"""

from __future__ import annotations

import attrs
import pytest

from gentianhitch.proxy.balancing import Balancer
from gentianhitch.proxy.floor import FLOOR_WINDOW_S
from tests.builders_declining_service import ORDERS
from tests.builders_declining_service import READS
from tests.builders_declining_service import BalancerWithoutDeclines
from tests.builders_declining_service import DecliningService

FLOOR_SHARE = 0.7
RECOVERY_S = 3.0

BEFORE, AFTER = BalancerWithoutDeclines, Balancer


def _run(
    seed: int, *makers: type[Balancer], report_loss: float = 0.0
) -> DecliningService:
    """Return a service after two thirds of its servers declined half for 6 s."""
    service = DecliningService(seed, makers=makers, report_loss=report_loss)
    service.at(1.0, service.set_decline_share, 20, 0.55)
    service.at(7.0, service.set_decline_share, 20, 0.0)
    service.run(9.0)
    return service


class TestService:
    @pytest.mark.parametrize("seed", range(3))
    def test_two_thirds_of_the_servers_decline_half(self, seed: int) -> None:
        before, after = _run(seed, BEFORE), _run(seed, AFTER)
        assert after.declined() < 0.5 * before.declined()
        assert after.refused() < 0.1 * before.refused()
        assert after.timely_share(1.0, 7.0) > 0.95

    @pytest.mark.parametrize("seed", range(3))
    def test_half_of_the_reports_are_lost(self, seed: int) -> None:
        before = _run(seed, BEFORE, report_loss=0.5)
        after = _run(seed, AFTER, report_loss=0.5)
        assert after.declined() < 0.5 * before.declined()
        assert after.refused() < 0.2 * before.refused()

    @pytest.mark.parametrize("seed", range(3))
    def test_one_of_three_instances_is_of_an_older_version(self, seed: int) -> None:
        before, after = _run(seed, BEFORE), _run(seed, BEFORE, AFTER, AFTER)
        assert after.declined() < before.declined()
        assert after.refused() < 2 / 3 * before.refused()

    @pytest.mark.parametrize("queue_length", [1, 8])
    @pytest.mark.parametrize("seed", range(2))
    def test_all_servers_are_full_for_a_moment(
        self, seed: int, queue_length: int
    ) -> None:
        # Guards against sound servers that are taken for faulty after a burst.
        refused, timely = [], []
        for maker in (BEFORE, AFTER):
            service = DecliningService(
                seed, rate_per_s=250.0, makers=(maker,), queue_length=queue_length
            )
            service.at(2.0, service.send_burst, 500)
            service.run(5.0)
            refused.append(service.refused())
            timely.append(service.timely_share(2.5))
            assert service.declined(to_s=2.2) > 100
        assert refused[1] <= 1.1 * refused[0]
        assert timely[1] >= timely[0] - 0.01

    @pytest.mark.parametrize("seed", range(3))
    def test_one_server_declines_everything(self, seed: int) -> None:
        service = DecliningService(seed, rate_per_s=250.0)
        service.at(1.0, service.set_decline_share, 1, 1.0)
        service.run(6.0)
        # Single tries after 1.2 s without use.
        assert service.declined() <= 10
        assert service.refused() == 0
        assert service.timely_share() > 0.99

    @pytest.mark.parametrize("seed", range(3))
    def test_load_returns_after_the_declines(self, seed: int) -> None:
        service = DecliningService(seed, rate_per_s=400.0)
        service.at(1.0, service.set_decline_share, 20, 0.55)
        service.at(5.0, service.set_decline_share, 20, 0.0)
        end_s = 5.0 + RECOVERY_S
        service.run(end_s + 1.0)
        recovered = [service.models_by_id[each.id] for each in service.servers[:20]]
        accepted = sum(
            at_s >= end_s for model in recovered for at_s in model.accepted_at_s
        )
        assert accepted / service.sends(from_s=end_s) == pytest.approx(2 / 3, abs=0.1)
        for instance in service.instances:
            for server in service.servers:
                believed = instance.balancer.decline_probability(server, end_s)
                assert believed < 0.2

    @pytest.mark.parametrize("max_attempts", [1, 2])
    @pytest.mark.parametrize("seed", range(3))
    def test_recovered_servers_are_in_use_while_others_decline(
        self, seed: int, max_attempts: int
    ) -> None:
        # Guards against servers that ceased to decline and get nothing (FLOOR).
        routes = tuple(
            attrs.evolve(route, max_attempts=max_attempts) for route in (ORDERS, READS)
        )
        service = DecliningService(seed, rate_per_s=100.0, routes=routes)
        service.at(1.0, service.set_decline_share, 20, 0.55)
        service.at(5.0, service.set_decline_share, 20, 0.0)
        for server in service.servers[20:24]:
            model = service.models_by_id[server.id]
            service.at(5.0, setattr, model, "decline_share", 0.9)
        service.run(11.0)
        # Sound servers are those that nothing disrupted for the length of a window.
        start_s = 5.0 + FLOOR_WINDOW_S
        while start_s + FLOOR_WINDOW_S <= 11.0:
            end_s = start_s + FLOOR_WINDOW_S
            used = [
                any(start_s <= at_s < end_s for at_s in model.accepted_at_s)
                for model in service.models_by_id.values()
                if model.decline_share == 0.0
            ]
            assert sum(used) >= FLOOR_SHARE * len(used)
            start_s += 0.25
