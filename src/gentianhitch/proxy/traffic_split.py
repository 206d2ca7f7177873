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
    """Smooth weighted round robin, which keeps the weights in short spans too."""

    _credits_by_route: dict[str, _RouteCredits] = attrs.Factory(dict)

    def choose(self, route: Route) -> str:
        """Return the service of the next request on ``route``."""
        destinations = route.destinations
        if len(destinations) == 1:
            return destinations[0].service
        route_credits = self._credits_by_route.get(route.name)
        if route_credits is None or route_credits.destinations != destinations:
            route_credits = _RouteCredits(
                destinations, {destination.service: 0.0 for destination in destinations}
            )
            self._credits_by_route[route.name] = route_credits
        credits = route_credits.credits_by_service
        total = sum(destination.weight for destination in destinations)
        for destination in destinations:
            credits[destination.service] += destination.weight
        chosen = max(
            destinations, key=lambda destination: credits[destination.service]
        ).service
        credits[chosen] -= total
        return chosen

    def retain(self, routes: frozenset[str]) -> None:
        """Drop the state of all other routes."""
        for name in self._credits_by_route.keys() - routes:
            del self._credits_by_route[name]
