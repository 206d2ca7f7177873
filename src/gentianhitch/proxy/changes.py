"""Log changes of the store view and apply them to the parts that depend on it."""

from __future__ import annotations

from typing import Any

import attrs

from gentianhitch.backend_servers.server_connections import ServerConnections
from gentianhitch.backend_servers.server_connections import ServerKey
from gentianhitch.metrics import Metrics
from gentianhitch.proxy.balancing import Balancer
from gentianhitch.proxy.competition import Competition
from gentianhitch.proxy.events import Events
from gentianhitch.proxy.floor import ServiceUse
from gentianhitch.proxy.model import BackendServer
from gentianhitch.proxy.model import StoredConfiguration
from gentianhitch.proxy.origin import Origin
from gentianhitch.proxy.quotas import Quotas
from gentianhitch.proxy.serving_fleet import ServingFleet
from gentianhitch.proxy.store_view import ListingChange
from gentianhitch.proxy.store_view import StoreView
from gentianhitch.proxy.traffic_split import TrafficSplits
from gentianhitch.proxy.warmup import WarmupBounds
from gentianhitch.proxy.warmup import warmup_limit

MAX_NAMED_SERVERS = 10
"""Servers named in one log line; more are only counted."""


@attrs.define(eq=False)
class ChangeHandler:
    """Updates balancer, connections, quotas and traffic splits from the store view."""

    _clock: Any
    _store_view: StoreView
    _fleet: ServingFleet
    _balancer: Balancer
    _connections: ServerConnections
    _quotas: Quotas
    _splits: TrafficSplits
    _events: Events
    _metrics: Metrics
    _competition: Competition = attrs.Factory(Competition)
    _servers_by_id: dict[str, BackendServer] = attrs.Factory(dict)
    _server_keys: frozenset[ServerKey] = frozenset()
    _use_by_service: dict[str, ServiceUse] = attrs.Factory(dict)
    _declining_by_service: dict[str, frozenset[str]] = attrs.Factory(dict)
    _warmup_bounds: WarmupBounds | None = None
    _spilling: frozenset[str] = frozenset()

    def listing_changed(self, change: ListingChange, origin: Origin) -> None:
        """Log and apply a change of the listing."""
        store_view = self._store_view
        if change.evacuated or change.returned:
            self._events.state(
                "evacuation_changed",
                evacuated=change.evacuated,
                returned=change.returned,
                in_force=sorted(store_view.evacuated_domains),
                **origin.as_fields(),
            )
        if change.has_entries:
            self._events.state(
                "listing_changed",
                revision=store_view.registry.revision.number,
                era=store_view.registry.revision.era,
                added=[server.id for server in change.added],
                removed=[server.id for server in change.removed],
                draining=[server.id for server in change.draining],
                cold=[server.id for server in change.cold],
                warm=[server.id for server in change.warm],
                kept=sorted(store_view.expired_server_ids),
                peers=len(store_view.peers_by_name),
                **origin.as_fields(),
            )
        self._metrics.time("listing_age", None, origin.age_s)
        self.update(self._clock.seconds())

    def configuration_changed(
        self, stored: StoredConfiguration, origin: Origin
    ) -> None:
        """Log and apply a newer configuration."""
        routes = stored.configuration.route_names()
        self._events.state(
            "configuration_changed",
            configuration=stored.written.number,
            era=stored.written.era,
            version=stored.configuration.version,
            routes=len(routes),
            **origin.as_fields(),
        )
        self._metrics.time("configuration_age", None, origin.age_s)
        self._balancer.set_routes(routes)
        self._splits.retain(routes)
        self._competition.update(stored.configuration)
        self._set_warmup_limits()
        self.update(self._clock.seconds())

    def set_warmup_bounds(self, bounds: WarmupBounds | None) -> None:
        """Set the bounds for cold servers; None if the deployment has none."""
        self._warmup_bounds = bounds
        self._set_warmup_limits()

    def _set_warmup_limits(self) -> None:
        configuration = self._store_view.configuration
        services = {} if configuration is None else configuration.services_by_name
        limits = {
            name: warmup_limit(
                service.warmup_s, service.warmup_rate_per_s, self._warmup_bounds
            )
            for name, service in services.items()
        }
        self._balancer.set_warmup_limits(
            {name: limit for name, limit in limits.items() if limit is not None}
        )

    def update(self, now: float) -> None:
        """Update all parts from the store view at ``now``."""
        servers = self._store_view.servers_by_id
        is_changed = servers != self._servers_by_id
        # Kept when equal too: the comparison is fast while the objects are the same.
        self._servers_by_id = dict(servers)
        if is_changed:
            self._server_keys = frozenset(server.key for server in servers.values())
            self._balancer.update(servers.values(), now)
        self._balancer.set_evacuated(self._store_view.evacuated_domains, now)
        self._balancer.listing_verified_s = self._store_view.details_verified_s
        # A connection may have become idle after its server had left.
        self._connections.retain(self._server_keys)
        # Remembers the demand also while nobody asks this instance's directory.
        self._fleet.named_by_domain()
        serving = frozenset(peer.name for peer in self._fleet.serving_peers())
        self._quotas.set_sharers(serving, now)
        self._balancer.set_instances(serving, now)
        configuration = self._store_view.configuration
        if configuration is not None:
            self._quotas.set_workspaces(configuration.workspaces_by_name.values(), now)

    def log_service_use(self, now: float) -> None:
        """Log the use of services whose relation to the floor has changed."""
        before, self._use_by_service = self._use_by_service, {}
        for service, use in self._balancer.use_by_service(now).items():
            self._use_by_service[service] = use
            last = before.get(service)
            if last is None or _floor_state(last) != _floor_state(use):
                self._events.state("service_use", service=service, **attrs.asdict(use))

    def log_spill(self) -> None:
        """Log the services whose requests leave the failure domain, if they changed."""
        spilling = self._balancer.spilling_services()
        if spilling != self._spilling:
            self._spilling = spilling
            self._events.state("services_spilling", services=sorted(spilling))

    def count_services_below_floor(self) -> int:
        """Return how many services had too few servers in use when last looked at."""
        return sum(use.is_below_floor for use in self._use_by_service.values())

    def log_declining_servers(self, now: float) -> None:
        """Log one line for each service whose servers began or ceased to decline."""
        before = self._declining_by_service
        self._declining_by_service = self._balancer.declining_by_service(before, now)
        for service in sorted(before.keys() | self._declining_by_service.keys()):
            was = before.get(service, frozenset())
            declining = self._declining_by_service.get(service, frozenset())
            if declining != was:
                self._events.state(
                    "servers_declining",
                    service=service,
                    declining=len(declining),
                    began=sorted(declining - was)[:MAX_NAMED_SERVERS],
                    ended=sorted(was - declining)[:MAX_NAMED_SERVERS],
                )

    def gauges(self) -> dict[str, float]:
        """Return what is exported of the last looks at all services."""
        return {
            "servers_believed_to_decline": self.count_declining_servers(),
            "services_below_floor": self.count_services_below_floor(),
        }

    def count_declining_servers(self) -> int:
        """Return how many servers were believed to decline when last looked at."""
        return sum(len(ids) for ids in self._declining_by_service.values())


def _floor_state(use: ServiceUse) -> tuple[bool, bool]:
    return use.is_below_floor, use.is_floor_binding
