"""Build configurations, servers, peers and requests for tests of the proxy."""

from __future__ import annotations

import attrs

from gentianhitch.addresses import Address
from gentianhitch.proxy.admission_windows import QuotaTolerance
from gentianhitch.proxy.model import BackendServer
from gentianhitch.proxy.model import CallerLimits
from gentianhitch.proxy.model import Configuration
from gentianhitch.proxy.model import Listing
from gentianhitch.proxy.model import Peer
from gentianhitch.proxy.model import Route
from gentianhitch.proxy.model import Service
from gentianhitch.proxy.model import StoredConfiguration
from gentianhitch.proxy.model import WeightedService
from gentianhitch.proxy.model import Workspace
from gentianhitch.proxy.store_revision import StoreRevision

TOLERANCE = QuotaTolerance(window_s=5.0, ratio=0.1, slack=20.0)
HOST = "shop.example"
KEY = "key-1"


def make_server(name: str = "s-1", **changes: object) -> BackendServer:
    server = BackendServer(
        id=name,
        started_ms=1_000,
        service="stock",
        address=Address("127.0.0.1", 9001),
        failure_domain="a",
        slots=6,
        draining=False,
        warmup_s=0.0,
    )
    return attrs.evolve(server, **changes)


def make_peer(name: str, failure_domain: str = "a", **changes: object) -> Peer:
    number = sum(name.encode()) % 200
    peer = Peer(
        name=name,
        incarnation=1,
        failure_domain=failure_domain,
        caller_address=Address("127.0.0.1", 8000 + number),
        transfer_address=Address("127.0.0.1", 7000 + number),
        datagram_address=Address("127.0.0.1", 7000 + number),
    )
    return attrs.evolve(peer, **changes)


def make_route(**changes: object) -> Route:
    route = Route(
        name="read",
        host=HOST,
        prefix="/stock/",
        idempotent=True,
        public=False,
        priority=1,
        objective_s=1.0,
        timeout_s=3.0,
        max_attempts=2,
        destinations=(WeightedService("stock", 1.0),),
    )
    return attrs.evolve(route, **changes)


def make_workspace(rate_per_s: float = 10.0, burst: float = 10.0) -> Workspace:
    return Workspace("north", None, rate_per_s, burst)


def make_configuration(
    *routes: Route, workspace: Workspace | None = None, key: str | None = KEY
) -> Configuration:
    named = workspace or make_workspace(0.0, 0.0)
    chosen = routes or (make_route(),)
    by_host: dict[str, list[Route]] = {}
    for route in chosen:
        by_host.setdefault(route.host, []).append(route)
    return Configuration(
        version=1,
        limits=CallerLimits(),
        routes_by_host={
            host: tuple(sorted(each, key=lambda route: -len(route.prefix)))
            for host, each in by_host.items()
        },
        requires_key=True,
        workspaces_by_key={} if key is None else {key: named},
        workspaces_by_name={named.name: named},
        services_by_name={"stock": Service("stock", "/health", 100)},
    )


def at(number: int, era: int = 0) -> StoreRevision:
    """Return a revision; stores name no era before their first return."""
    return StoreRevision(era, number)


def make_listing(
    revision: int,
    *servers: BackendServer,
    peers: tuple[Peer, ...] = (),
    evacuated: tuple[str, ...] = (),
    era: int = 0,
) -> Listing:
    return Listing(
        revision=at(revision, era),
        backend_servers_by_id={server.id: server for server in servers},
        peers_by_name={peer.name: peer for peer in peers},
        evacuated_domains=frozenset(evacuated),
    )


def make_stored(
    revision: int, configuration: Configuration | None = None, era: int = 0
) -> StoredConfiguration:
    return StoredConfiguration(
        at(revision, era), b"{}", configuration or make_configuration()
    )
