"""Determine for which services requests compete for capacity."""

from __future__ import annotations

import attrs

from gentianhitch.proxy.model import Configuration


@attrs.define
class Competition:
    """The services whose requests compete, by the configuration and the settings.

    Requests of a service compete if routes of different priority lead to it, or, with
    ``expects_pressure``, if any route leads to it.
    """

    expects_pressure: bool = False
    _services: frozenset[str] = frozenset()

    def update(self, configuration: Configuration) -> None:
        """Set the configuration in force."""
        self._services = competing_services(configuration)

    def competes(self, service: str) -> bool:
        """Return whether requests of ``service`` compete for its capacity."""
        return self.expects_pressure or service in self._services

    def has_unlike_priorities(self, service: str) -> bool:
        """Return whether routes of different priority lead to ``service``."""
        return service in self._services

    @property
    def has_competing_services(self) -> bool:
        """Return whether requests of any service compete."""
        return self.expects_pressure or bool(self._services)


def competing_services(configuration: Configuration) -> frozenset[str]:
    """Return the services to which routes of different priority lead.

    A destination of a traffic split with weight 0 gets no requests and doesn't count.
    """
    priorities_by_service: dict[str, set[int]] = {}
    for routes in configuration.routes_by_host.values():
        for route in routes:
            for destination in route.destinations:
                if destination.weight > 0:
                    priorities_by_service.setdefault(destination.service, set()).add(
                        route.priority
                    )
    return frozenset(
        service
        for service, priorities in priorities_by_service.items()
        if len(priorities) > 1
    )
