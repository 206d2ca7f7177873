"""The services of the deployments that run today."""

from __future__ import annotations

import attrs

from gentianhitch.addresses import Address
from gentianhitch.instances.identity import InstanceId
from gentianhitch.instances.identity import Member
from gentianhitch.operators.document import BackendServer
from gentianhitch.operators.document import Document
from gentianhitch.operators.document import Route
from gentianhitch.operators.document import Service
from gentianhitch.operators.document import Workspace

INSTANCES = 40
DOMAINS = ("domain-1", "domain-2", "domain-3")
DEADLINE_MS = 1000
FLOOR_PART = 0.6


@attrs.frozen
class Deployment:
    """Sizes of one deployment; ``between_domains_s`` is one way."""

    name: str
    targets_by_service: dict[str, int]
    slots: int
    connections: int
    between_domains_s: float


DENMARK = Deployment(
    "denmark",
    {"stock": 6, "orders": 10, "history": 9, "quotes": 6},
    slots=6,
    connections=330,
    between_domains_s=0.0015,
)
CROATIA = Deployment(
    "croatia",
    {"catalogue": 6, "orders": 15, "tracking": 11, "stock": 6},
    slots=4,
    connections=400,
    between_domains_s=0.0005,
)

WORKSPACE_WEIGHTS = (30, 20, 15, 10, 8, 7, 6, 4)
"""Relative load of the workspaces: a few are large."""


def members(count: int = INSTANCES) -> dict[str, Member]:
    """Build the agreed list of ``count`` instances over the failure domains."""
    return {
        f"entry-{index}": Member(
            InstanceId(f"entry-{index}", 1),
            DOMAINS[index % len(DOMAINS)],
            Address("127.0.0.1", 10_000 + index),
            Address("127.0.0.1", 20_000 + index),
        )
        for index in range(count)
    }


def routes(service: str) -> tuple[Route, ...]:
    """Build the three routes of a service."""
    return (
        Route("GET", f"/{service}/items/*", service, idempotent=True),
        Route("GET", f"/{service}/search", service, idempotent=True),
        Route("POST", f"/{service}/items", service, idempotent=False),
    )


def document(deployment: Deployment) -> Document:
    """Build the deployment's document."""
    servers: list[BackendServer] = []
    for service, targets in deployment.targets_by_service.items():
        for index in range(targets):
            address = Address("127.0.0.1", 30_000 + len(servers))
            domain = DOMAINS[index % len(DOMAINS)]
            servers.append(
                BackendServer(
                    f"{service}-{index}",
                    address,
                    domain,
                    service,
                    deployment.slots,
                    deployment.connections,
                )
            )
    services = tuple(
        Service(name, int(targets * deployment.slots * FLOOR_PART), DEADLINE_MS)
        for name, targets in deployment.targets_by_service.items()
    )
    return Document(
        deployment.name,
        tuple(
            Workspace(f"workspace-{index}", 1e6, 1e6)
            for index in range(len(WORKSPACE_WEIGHTS))
        ),
        services,
        tuple(servers),
        tuple(
            route for name in deployment.targets_by_service for route in routes(name)
        ),
    )
