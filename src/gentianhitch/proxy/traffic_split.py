"""Distribute the requests of a route over its services by weight."""

from __future__ import annotations

import attrs

from gentianhitch.proxy.model import Route
from gentianhitch.proxy.model import WeightedService


@attrs.define
class _RouteCredits:
    destinations: tuple[WeightedService, ...]
    credits_by_service: dict[str, float]


@attrs.define
class TrafficSplits:
    """Take services in smooth turns, so that short spans keep the weights too."""

    _credits_by_route: dict[str, _RouteCredits] = attrs.Factory(dict)

    def choose(self, route: Route) -> str:
        """Return the service of the next request on ``route``."""
        destinations = route.destinations
        if len(destinations) == 1:
            return destinations[0].service
        route_credits = self._credits_by_route.get(route.name)
        if route_credits is None or route_credits.destinations != destinations:
            route_credits = _RouteCredits(
                destinations, {each.service: 0.0 for each in destinations}
            )
            self._credits_by_route[route.name] = route_credits
        credits = route_credits.credits_by_service
        total = sum(each.weight for each in destinations)
        for each in destinations:
            credits[each.service] += each.weight
        chosen = max(destinations, key=lambda each: credits[each.service]).service
        credits[chosen] -= total
        return chosen

    def retain(self, routes: frozenset[str]) -> None:
        """Forget the turns of routes that are gone."""
        for name in self._credits_by_route.keys() - routes:
            del self._credits_by_route[name]
