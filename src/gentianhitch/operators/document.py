"""The operators' document of one environment, as attrs classes."""

from __future__ import annotations

from typing import Literal

import attrs

from gentianhitch.addresses import Address

Method = Literal["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"]


@attrs.frozen
class Workspace:
    """Declare one workspace; ``rate`` is in requests/s, ``burst`` in requests.

    ``key_hashes`` are lowercase hexadecimal SHA-256 digests of its keys.
    """

    name: str
    rate: float
    burst: float
    key_hashes: tuple[str, ...] = ()


@attrs.frozen
class Service:
    """Declare one service; ejection leaves at least ``floor_slots`` slots."""

    name: str
    floor_slots: int
    deadline_ms: int


@attrs.frozen
class BackendServer:
    """Declare one backend server (target) of a service."""

    name: str
    address: Address
    failure_domain: str
    service: str
    slots: int
    connections: int


@attrs.frozen
class Route:
    """Map a method and a path to a service.

    A path that ends in ``/*`` matches every path below it. An ``open`` route
    needs no key.
    """

    method: Method
    path: str
    service: str
    idempotent: bool
    open: bool = False


@attrs.frozen
class Document:
    """Declare everything that operators decide for one environment."""

    environment: str
    workspaces: tuple[Workspace, ...]
    services: tuple[Service, ...]
    backend_servers: tuple[BackendServer, ...]
    routes: tuple[Route, ...]


Record = Workspace | Service | BackendServer | Route


def records(document: Document) -> tuple[Record, ...]:
    """Return all records of a document."""
    return (
        *document.workspaces,
        *document.services,
        *document.backend_servers,
        *document.routes,
    )
