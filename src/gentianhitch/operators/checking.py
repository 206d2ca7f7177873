"""Validate documents and report every fault with the record that has it."""

from __future__ import annotations

import re
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from functools import singledispatch
from typing import TypeVar

import attrs

from gentianhitch.errors import UsageError
from gentianhitch.operators.document import BackendServer
from gentianhitch.operators.document import Document
from gentianhitch.operators.document import Route
from gentianhitch.operators.document import Service
from gentianhitch.operators.document import Workspace
from gentianhitch.operators.document import records

KEY_HASH = re.compile(r"[0-9a-f]{64}")
NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,127}")
RESERVED_PATH = "/.gentianhitch"
PATH_WILDCARD = "/*"

T = TypeVar("T")


@attrs.frozen
class Fault:
    """One fault of a document; ``place`` is the label of the faulty record."""

    place: str
    message: str

    def __str__(self) -> str:
        return f"{self.place} {self.message}"


class FaultyDocumentError(UsageError):
    """The document is invalid; ``faults`` lists every fault found."""

    def __init__(self, faults: tuple[Fault, ...]) -> None:
        super().__init__("\n".join(str(fault) for fault in faults))
        self.faults = faults


@attrs.frozen
class _Context:
    services_by_name: dict[str, Service]
    slots_by_service: dict[str, int]

    @classmethod
    def from_document(cls, document: Document) -> _Context:
        slots_by_service: dict[str, int] = {}
        for server in document.backend_servers:
            slots = slots_by_service.get(server.service, 0) + server.slots
            slots_by_service[server.service] = slots
        by_name = {service.name: service for service in document.services}
        return cls(by_name, slots_by_service)


def require_valid(document: Document, environment: str | None = None) -> None:
    """Raise FaultyDocumentError with all faults of a document.

    If ``environment`` is given, a document of another environment is a fault too.
    """
    faults = check_document(document)
    if environment is not None and document.environment != environment:
        message = f"is {document.environment!r}, but this is {environment!r}"
        faults = (Fault("environment", message), *faults)
    if faults:
        raise FaultyDocumentError(faults)


def check_document(document: Document) -> tuple[Fault, ...]:
    """Return all faults of a document, empty if it is valid."""
    return tuple(_find_faults(document))


def _find_faults(document: Document) -> Iterator[Fault]:
    context = _Context.from_document(document)
    yield from _find_duplicates(document)
    for record in records(document):
        for message in _check(record, context):
            yield Fault(record_label(record), message)


def _find_duplicates(document: Document) -> Iterator[Fault]:
    yield from _find_repeated(document.workspaces, lambda record: record.name)
    yield from _find_repeated(document.services, lambda record: record.name)
    yield from _find_repeated(document.backend_servers, lambda record: record.name)
    yield from _find_repeated(document.routes, lambda route: (route.method, route.path))
    yield from _find_shared_addresses(document.backend_servers)
    yield from _find_shared_keys(document.workspaces)


def _find_repeated(records: Iterable[T], key: Callable[[T], object]) -> Iterator[Fault]:
    keys: set[object] = set()
    for record in records:
        if key(record) in keys:
            yield Fault(record_label(record), "is declared twice")
        keys.add(key(record))


def _find_shared_addresses(servers: Iterable[BackendServer]) -> Iterator[Fault]:
    owner_by_address: dict[str, str] = {}
    for server in servers:
        owner = owner_by_address.setdefault(server.address, server.name)
        if owner != server.name:
            message = f"has the address {server.address} of {owner!r}"
            yield Fault(record_label(server), message)


def _find_shared_keys(workspaces: Iterable[Workspace]) -> Iterator[Fault]:
    owner_by_hash: dict[str, str] = {}
    for workspace in workspaces:
        for key_hash in workspace.key_hashes:
            owner = owner_by_hash.setdefault(key_hash, workspace.name)
            if owner != workspace.name:
                message = f"has a key of workspace {owner!r}"
                yield Fault(record_label(workspace), message)


@singledispatch
def record_label(record: object) -> str:
    """Return the label that faults and differences use for a record."""
    raise NotImplementedError(type(record))


@record_label.register
def _(record: Workspace) -> str:
    return f"workspace {record.name!r}"


@record_label.register
def _(record: Service) -> str:
    return f"service {record.name!r}"


@record_label.register
def _(record: BackendServer) -> str:
    return f"backend server {record.name!r}"


@record_label.register
def _(record: Route) -> str:
    return f"route '{record.method} {record.path}'"


@singledispatch
def _check(record: object, context: _Context) -> Iterator[str]:
    raise NotImplementedError(type(record))


@_check.register
def _(record: Workspace, context: _Context) -> Iterator[str]:
    yield from _check_name(record.name)
    # The negated comparison also rejects NaN.
    if not 0 <= record.rate < float("inf"):
        yield f"has rate {record.rate}, which must be finite and not negative"
    if not 0 <= record.burst < float("inf"):
        yield f"has burst {record.burst}, which must be finite and not negative"
    elif record.rate > 0 and record.burst < 1:
        yield f"has burst {record.burst}, below one request"
    for key_hash in record.key_hashes:
        if not KEY_HASH.fullmatch(key_hash):
            yield "has a key hash that is not a lowercase hexadecimal SHA-256"
    if len(set(record.key_hashes)) < len(record.key_hashes):
        yield "has the same key hash twice"


@_check.register
def _(record: Service, context: _Context) -> Iterator[str]:
    yield from _check_name(record.name)
    if record.floor_slots < 0:
        yield f"has floor_slots {record.floor_slots}, which must not be negative"
    if record.deadline_ms <= 0:
        yield f"has deadline_ms {record.deadline_ms}, which must be positive"
    slots = context.slots_by_service.get(record.name, 0)
    if record.floor_slots > slots:
        yield f"has floor_slots {record.floor_slots}, above its {slots} declared slots"


@_check.register
def _(record: BackendServer, context: _Context) -> Iterator[str]:
    yield from _check_name(record.name)
    yield from _check_service(record.service, context)
    if not record.failure_domain:
        yield "has no failure domain"
    if record.address.port == 0:
        yield f"has address {record.address} without a port"
    if record.slots <= 0:
        yield f"has slots {record.slots}, which must be positive"
    if record.connections <= 0:
        yield f"has connections {record.connections}, which must be positive"


@_check.register
def _(record: Route, context: _Context) -> Iterator[str]:
    yield from _check_service(record.service, context)
    path = record.path.removesuffix(PATH_WILDCARD)
    if not record.path.startswith("/"):
        yield "has a path that does not start with '/'"
    if any(char in path for char in "*?# ") or not path.isprintable():
        yield "has a path with characters that no path may have"
    if path == RESERVED_PATH or path.startswith(RESERVED_PATH + "/"):
        yield f"is below {RESERVED_PATH}, which the system uses itself"
    if record.method in ("GET", "HEAD") and not record.idempotent:
        yield f"is not idempotent, but {record.method} always is"


def _check_name(name: str) -> Iterator[str]:
    if not NAME.fullmatch(name):
        yield f"has a name that does not match {NAME.pattern}"


def _check_service(service: str, context: _Context) -> Iterator[str]:
    if service not in context.services_by_name:
        yield f"names service {service!r}, which does not exist"
