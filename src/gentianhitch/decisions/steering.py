"""Choose the instances that the directory returns for a service.

The slots and connections of the service's targets are divided among them.
"""

from __future__ import annotations

from collections.abc import Iterable

from gentianhitch.decisions.rendezvous import interleave_domains
from gentianhitch.decisions.rendezvous import order_members
from gentianhitch.instances.identity import Member
from gentianhitch.operators.document import BackendServer
from gentianhitch.operators.document import Document

CONNECTIONS_PER_TARGET = 8
"""Connections that one instance may hold to one target."""

USABLE_CONNECTION_SHARE = 0.8
"""Share of a target's connections that the chosen instances may open together.

The remaining ones serve callers that use other instances due to an outdated response.
"""

SLOTS_PER_INSTANCE = 12
"""Slots of a service per instance; fewer instances lead to fewer shed requests."""

MIN_INSTANCES = 5
"""Minimum number of instances, so that a service stays available if two fail."""

MAX_INSTANCES = 16


def instance_count(targets: Iterable[BackendServer]) -> int:
    """Return how many instances serve a service with these targets.

    The number follows the slots, but is limited so that the connections of all
    instances fit each target.
    """
    targets = tuple(targets)
    if not targets:
        return MIN_INSTANCES
    slots = sum(target.slots for target in targets)
    connections = min(target.connections for target in targets)
    max_by_connections = int(
        connections * USABLE_CONNECTION_SHARE / CONNECTIONS_PER_TARGET
    )
    count_by_slots = min(max(slots // SLOTS_PER_INSTANCE, MIN_INSTANCES), MAX_INSTANCES)
    return max(1, min(count_by_slots, max_by_connections))


def service_targets(document: Document, service: str) -> list[BackendServer]:
    """Return the backend servers of a service."""
    return [target for target in document.backend_servers if target.service == service]


def steered_instances(
    document: Document, service: str, members: Iterable[Member]
) -> tuple[Member, ...]:
    """Return the instances to which the directory steers callers of a service.

    They don't include leaving instances and span several failure domains.
    """
    staying = (member for member in members if not member.leaving)
    count = instance_count(service_targets(document, service))
    return tuple(
        interleave_domains(order_members(f"service/{service}", staying))[:count]
    )


def choose_instances(
    document: Document,
    service: str,
    live: Iterable[Member],
    near: str | None = None,
) -> list[Member]:
    """Return the instances for a service, those in failure domain ``near`` first."""
    chosen = steered_instances(document, service, live)
    return sorted(chosen, key=lambda member: member.failure_domain != near)
