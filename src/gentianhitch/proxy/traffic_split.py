"""Distribute the requests of a route over its services by weight."""

from __future__ import annotations

import attrs

from gentianhitch.proxy.model import Route
from gentianhitch.proxy.model import WeightedService


@attrs.define
class _Turns:
    destinations: tuple[WeightedService, ...]
    credits_by_service: dict[str, float]


@attrs.define
class TrafficSplits:
    """Take services in smooth turns, so that short spans keep the weights too."""

    _turns_by_route: dict[str, _Turns] = attrs.Factory(dict)

    def choose(self, route: Route) -> str:
        """Return the service of the next request on ``route``."""
        destinations = route.destinations
        if len(destinations) == 1:
            return destinations[0].service
        turns = self._turns_by_route.get(route.name)
        if turns is None or turns.destinations != destinations:
            turns = _Turns(destinations, {each.service: 0.0 for each in destinations})
            self._turns_by_route[route.name] = turns
        credits = turns.credits_by_service
        total = sum(each.weight for each in destinations)
        for each in destinations:
            credits[each.service] += each.weight
        chosen = max(destinations, key=lambda each: credits[each.service]).service
        credits[chosen] -= total
        return chosen

    def retain(self, routes: frozenset[str]) -> None:
        """Forget the turns of routes that are gone."""
        for name in self._turns_by_route.keys() - routes:
            del self._turns_by_route[name]
