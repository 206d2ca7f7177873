"""Choose the instances that the directory names for a service."""

from __future__ import annotations

import math
from collections.abc import Iterable

from gentianhitch.decisions.rendezvous import ordered
from gentianhitch.decisions.rendezvous import spread
from gentianhitch.instances.identity import Member
from gentianhitch.operators.document import BackendServer
from gentianhitch.operators.document import Document

CONNECTIONS_PER_TARGET = 8
"""Connections that one instance may hold to one target."""

CONNECTIONS_USED = 0.8
"""Part of a target's connections that the named instances may fill together.

The rest is for callers with an old answer, who use other instances.
"""

SLOTS_PER_INSTANCE = 8
"""Slots of a service that one instance is meant to keep busy."""

MIN_INSTANCES = 3


def instances_for(targets: Iterable[BackendServer]) -> int:
    """Return how many instances should serve a service with these targets.

    As many as the slots need, but so few that their connections fit each target.
    """
    targets = tuple(targets)
    if not targets:
        return MIN_INSTANCES
    slots = sum(target.slots for target in targets)
    connections = min(target.connections for target in targets)
    fitting = int(connections * CONNECTIONS_USED / CONNECTIONS_PER_TARGET)
    wanted = max(MIN_INSTANCES, math.ceil(slots / SLOTS_PER_INSTANCE))
    return max(1, min(wanted, fitting))


def choose_instances(
    document: Document,
    service: str,
    live: Iterable[Member],
    near: str | None = None,
) -> list[Member]:
    """Return the instances to use, those in failure domain ``near`` first."""
    targets = [each for each in document.backend_servers if each.service == service]
    order = spread(ordered(f"service/{service}", live))
    chosen = order[: instances_for(targets)]
    return sorted(chosen, key=lambda member: member.failure_domain != near)
