"""Choose the instances that the directory names for a service.

The slots and connections of targets are dealt to the same instances.
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

CONNECTIONS_USED = 0.8
"""Part of a target's connections that the named instances may fill together.

The rest is for callers with an old answer, who use other instances.
"""

SLOTS_PER_INSTANCE = 12
"""Slots of a service for each instance: fewer instances share, fewer sheds."""

MIN_INSTANCES = 5
"""Instances that keep a service served when two of them fail."""

MAX_INSTANCES = 16


def instance_count(targets: Iterable[BackendServer]) -> int:
    """Return how many instances should serve a service with these targets.

    As many as the slots need, but so few that their connections fit each target.
    """
    targets = tuple(targets)
    if not targets:
        return MIN_INSTANCES
    slots = sum(target.slots for target in targets)
    connections = min(target.connections for target in targets)
    fitting = int(connections * CONNECTIONS_USED / CONNECTIONS_PER_TARGET)
    wanted = min(max(slots // SLOTS_PER_INSTANCE, MIN_INSTANCES), MAX_INSTANCES)
    return max(1, min(wanted, fitting))


def service_targets(document: Document, service: str) -> list[BackendServer]:
    """Return the targets of a service."""
    return [each for each in document.backend_servers if each.service == service]


def steered_instances(
    document: Document, service: str, members: Iterable[Member]
) -> tuple[Member, ...]:
    """Return the instances to which callers of a service are steered."""
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
    """Return the instances to use, those in failure domain ``near`` first."""
    chosen = steered_instances(document, service, live)
    return sorted(chosen, key=lambda member: member.failure_domain != near)
