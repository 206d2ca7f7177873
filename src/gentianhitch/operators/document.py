"""Data classes of the document that configures one environment."""

from __future__ import annotations

from typing import Literal

import attrs

from gentianhitch.addresses import Address

Method = Literal["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"]


@attrs.frozen
class Workspace:
    """A workspace and its token bucket.

    ``rate`` is in requests/s, ``burst`` in requests. ``key_hashes`` are lowercase
    hexadecimal SHA-256 digests of its keys.
    """

    name: str
    rate: float
    burst: float
    key_hashes: tuple[str, ...] = ()


@attrs.frozen
class Service:
    """A service; ejection leaves it at least ``floor_slots`` slots."""

    name: str
    floor_slots: int
    deadline_ms: int


@attrs.frozen
class BackendServer:
    """A backend server of a service, also called a target."""

    name: str
    address: Address
    failure_domain: str
    service: str
    slots: int
    connections: int


@attrs.frozen
class Route:
    """Maps requests of one method and path to a service.

    A path that ends in ``/*`` matches every path below it. Requests on an ``open``
    route need no key.
    """

    method: Method
    path: str
    service: str
    idempotent: bool
    open: bool = False


@attrs.frozen
class Document:
    """The complete configuration that operators set for one environment."""

    environment: str
    workspaces: tuple[Workspace, ...]
    services: tuple[Service, ...]
    backend_servers: tuple[BackendServer, ...]
    routes: tuple[Route, ...]


Record = Workspace | Service | BackendServer | Route


def records(document: Document) -> tuple[Record, ...]:
    """Return all records of a document, section by section."""
    return (
        *document.workspaces,
        *document.services,
        *document.backend_servers,
        *document.routes,
    )
