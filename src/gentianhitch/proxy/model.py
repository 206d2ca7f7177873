"""The configuration, the entry instances and the backend servers as values."""

from __future__ import annotations

import attrs

from gentianhitch.addresses import Address
from gentianhitch.proxy.store_revision import ConfigurationRevision
from gentianhitch.proxy.store_revision import StoreRevision

DEFAULT_LINK_MBPS = 1000.0
"""The usual link of a data center, assumed if an entry has none."""

LIMITING_LINK_MBPS = 100.0
"""Slower links may be full before the processor is busy; only then do links count."""


@attrs.frozen
class WeightedService:
    """One destination of a route and its weight relative to the others."""

    service: str
    weight: float


@attrs.frozen
class Route:
    """The destinations and rules for requests of one host and path prefix.

    ``timeout_s`` is None where the operator sets no timeout; ``priority`` 0 is the
    most urgent; ``max_attempts`` limits the backend servers tried for one request.
    """

    name: str
    host: str
    prefix: str
    idempotent: bool
    public: bool
    priority: int
    objective_s: float
    timeout_s: float | None
    max_attempts: int
    destinations: tuple[WeightedService, ...]


@attrs.frozen
class Workspace:
    """A workspace with its rate limit; ``rate_per_s`` 0 means unlimited."""

    name: str
    priority: int | None
    rate_per_s: float
    burst: float

    @property
    def is_unlimited(self) -> bool:
        """Return whether the workspace may send any number of requests."""
        return self.rate_per_s <= 0


def effective_priority(route: Route, workspace: Workspace | None) -> int:
    """Return the priority of a request: that of its workspace, if it has one."""
    if workspace is not None and workspace.priority is not None:
        return workspace.priority
    return route.priority


@attrs.frozen
class Service:
    """A group of interchangeable backend servers.

    Its servers are cold for ``warmup_s`` after a start; while cold, each takes
    ``warmup_rate_per_s`` requests, or any number if that is 0.
    """

    name: str
    health_path: str
    max_connections: int
    warmup_s: float = 0.0
    warmup_rate_per_s: float = 0.0


@attrs.frozen
class CallerLimits:
    """Limits on callers' requests and connections."""

    max_head_bytes: int = 16 * 1024
    max_body_bytes: int = 64 * 1024 * 1024
    head_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@attrs.frozen
class Configuration:
    """One complete configuration; ``version`` is the number the operator gave it.

    ``requires_key`` if requests of routes that aren't public need an API key.
    Workspaces without a key are in ``workspaces_by_name`` only.
    """

    version: int
    limits: CallerLimits
    routes_by_host: dict[str, tuple[Route, ...]]
    requires_key: bool
    workspaces_by_key: dict[str, Workspace]
    workspaces_by_name: dict[str, Workspace]
    services_by_name: dict[str, Service]

    def route_names(self) -> frozenset[str]:
        """Return the names of all routes."""
        return frozenset(
            route.name for routes in self.routes_by_host.values() for route in routes
        )

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route of ``host`` with the longest matching prefix, or None."""
        for route in self.routes_by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None


@attrs.frozen
class BackendServer:
    """One incarnation of a backend server.

    ``started_ms`` (Unix milliseconds) distinguishes incarnations of one id;
    ``warmup_s`` is the time for which it said to stay cold when its entry was read.
    """

    id: str
    started_ms: int
    service: str
    address: Address
    failure_domain: str
    slots: int
    draining: bool
    warmup_s: float

    @property
    def key(self) -> tuple[str, int]:
        """Return the id and start time, which identify this incarnation."""
        return (self.id, self.started_ms)

    @property
    def is_cold(self) -> bool:
        """Return whether the server said that it is cold."""
        return self.warmup_s > 0


@attrs.frozen
class Peer:
    """One live entry instance.

    Others fetch configurations from ``transfer_address`` (TCP) and send datagrams to
    ``datagram_address`` (UDP). ``capacity`` is in processor cores, ``link_mbps`` the
    bandwidth of the instance's network link.
    """

    name: str
    incarnation: int
    failure_domain: str
    caller_address: Address
    transfer_address: Address
    datagram_address: Address
    capacity: float = 1.0
    link_mbps: float = DEFAULT_LINK_MBPS


Write = tuple[int, bytes]
"""The number of an entry's revision, and its value: one of them differs after a write.

In another era of the store the same number may be that of another write.
"""


@attrs.frozen
class ListingWrites:
    """The last write of each entry of a listing, by its id, name or failure domain."""

    servers: dict[str, Write] = attrs.Factory(dict)
    peers: dict[str, Write] = attrs.Factory(dict)
    evacuations: dict[str, Write] = attrs.Factory(dict)


@attrs.frozen
class Listing:
    """The servers, instances and evacuations in one read of the store.

    ``revision`` is that of the store as a whole; it orders listings. No requests are
    sent to the servers of ``evacuated_domains``.
    """

    revision: StoreRevision
    backend_servers_by_id: dict[str, BackendServer]
    peers_by_name: dict[str, Peer]
    evacuated_domains: frozenset[str] = frozenset()
    writes: ListingWrites = attrs.Factory(ListingWrites)


@attrs.frozen
class StoredConfiguration:
    """A configuration, the revision of its last write, and its encoded form.

    ``encoded`` is what other instances fetch instead of reading the store.
    """

    written: StoreRevision
    encoded: bytes
    configuration: Configuration

    @property
    def revision(self) -> ConfigurationRevision:
        """Return what orders this configuration among others."""
        return ConfigurationRevision(self.written, self.configuration.version)
