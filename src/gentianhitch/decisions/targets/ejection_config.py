"""Derive the ejection configuration of a service from the agreed states."""

from __future__ import annotations

import attrs

from gentianhitch.decisions.interfaces import AgreedState
from gentianhitch.decisions.targets.placement import coordinators_for
from gentianhitch.instances.identity import InstanceId
from gentianhitch.instances.identity import Member


@attrs.frozen
class EjectionConfig:
    """Coordinators, slots and floor of one service by the agreed states.

    ``coordinator_sets`` has the coordinators of each active state, oldest first; the
    newest set also defines the order of preference. ``steered_names`` are the
    instances to which callers of the service are steered.
    """

    coordinator_sets: tuple[dict[InstanceId, Member], ...]
    slots_by_target: dict[str, int]
    floor_slots: int
    steered_names: frozenset[str]

    @property
    def ranked_coordinators(self) -> list[InstanceId]:
        """Return the newest coordinators in order of preference."""
        return list(self.coordinator_sets[-1]) if self.coordinator_sets else []

    def all_coordinators(self) -> dict[InstanceId, Member]:
        """Return the coordinators of all active states."""
        return {
            name: m
            for coordinators in self.coordinator_sets
            for name, m in coordinators.items()
        }


def ejection_config_for(
    service: str, states: tuple[AgreedState, ...], steered_members: tuple[Member, ...]
) -> EjectionConfig:
    """Combine the active states: fewest slots, highest floor, all coordinators."""
    with_document = [state for state in states if state.document is not None]
    floors = [
        declared.floor_slots
        for state in with_document
        if state.document is not None
        for declared in state.document.services
        if declared.name == service
    ]
    return EjectionConfig(
        tuple(_coordinators_in(service, state) for state in states),
        _min_slots_by_target(service, with_document),
        max(floors, default=0),
        frozenset(member.id.name for member in steered_members),
    )


def _coordinators_in(service: str, state: AgreedState) -> dict[InstanceId, Member]:
    chosen = coordinators_for(service, state.members_by_name.values())
    return {member.id: member for member in chosen}


def _min_slots_by_target(service: str, states: list[AgreedState]) -> dict[str, int]:
    slots_by_state = [
        {
            t.name: t.slots
            for t in state.document.backend_servers
            if t.service == service
        }
        for state in states
        if state.document is not None
    ]
    if not slots_by_state:
        return {}
    return {
        name: min(slots.get(name, newest) for slots in slots_by_state)
        for name, newest in slots_by_state[-1].items()
    }
