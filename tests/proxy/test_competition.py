"""Services whose requests compete, which activates the choice by cost."""

from __future__ import annotations

from gentianhitch.proxy.competition import Competition
from gentianhitch.proxy.competition import competing_services
from gentianhitch.proxy.model import WeightedService
from tests.builders_proxy import make_configuration
from tests.builders_proxy import make_route

URGENT = make_route(name="urgent", priority=1)
STOCK = WeightedService("stock", 1.0)
STAGED = WeightedService("staged", 0.1)


class TestCompetingServices:
    def test_routes_of_different_priority_compete(self) -> None:
        other = make_route(name="other", prefix="/other/", priority=2)
        configuration = make_configuration(URGENT, other)
        assert competing_services(configuration) == {"stock"}

    def test_routes_of_different_hosts_compete(self) -> None:
        # Guards against a comparison of the routes of each listener alone.
        other = make_route(name="other", host="other.example", priority=2)
        configuration = make_configuration(URGENT, other)
        assert competing_services(configuration) == {"stock"}

    def test_routes_of_equal_priority_do_not_compete(self) -> None:
        other = make_route(name="other", prefix="/other/", priority=1)
        assert not competing_services(make_configuration(URGENT, other))

    def test_each_destination_of_a_traffic_split_counts(self) -> None:
        other = make_route(name="other", priority=2, destinations=(STOCK, STAGED))
        staged = make_route(name="staged", priority=3, destinations=(STAGED,))
        configuration = make_configuration(URGENT, other, staged)
        assert competing_services(configuration) == {"stock", "staged"}

    def test_a_destination_without_weight_does_not_count(self) -> None:
        unused = WeightedService("stock", 0.0)
        other = make_route(name="other", priority=2, destinations=(STAGED, unused))
        assert not competing_services(make_configuration(URGENT, other))


class TestCompetition:
    def test_follows_the_configuration_in_force(self) -> None:
        competition = Competition()
        other = make_route(name="other", prefix="/other/", priority=2)
        competition.update(make_configuration(URGENT, other))
        assert competition.competes("stock")
        competition.update(make_configuration(URGENT))
        assert not competition.competes("stock")
        assert not competition.has_competing_services

    def test_all_services_compete_under_expected_pressure(self) -> None:
        competition = Competition(expects_pressure=True)
        competition.update(make_configuration(URGENT))
        assert competition.competes("stock")
        competition.expects_pressure = False
        assert not competition.competes("stock")
