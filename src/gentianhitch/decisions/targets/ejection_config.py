"""Derive what the agreed states say about one service's ejections."""

from __future__ import annotations

import attrs

from gentianhitch.decisions.interfaces import AgreedState
from gentianhitch.decisions.targets.coordinator_placement import coordinators_for
from gentianhitch.instances.identity import InstanceId
from gentianhitch.instances.identity import Member


@attrs.frozen
class EjectionConfig:
    """What the agreed states say about one service.

    ``coordinator_sets`` holds the stewards of each active state, oldest first; the
    last one also gives the order of preference. ``near`` are the instances to which
    callers of the service are steered.
    """

    coordinator_sets: tuple[dict[InstanceId, Member], ...]
    slots_by_target: dict[str, int]
    floor_slots: int
    near: frozenset[str]

    @property
    def preferred(self) -> list[InstanceId]:
        """Return the newest stewards, first choice first."""
        return list(self.coordinator_sets[-1]) if self.coordinator_sets else []

    def everyone(self) -> dict[InstanceId, Member]:
        """Return the stewards of all active states."""
        return {
            name: m
            for stewards_ in self.coordinator_sets
            for name, m in stewards_.items()
        }


def ejection_config_for(
    service: str, states: tuple[AgreedState, ...], near: tuple[Member, ...]
) -> EjectionConfig:
    """Derive the setting of a service: least slots, highest floor, all stewards."""
    with_document = [state for state in states if state.document is not None]
    floors = [
        declared.floor_slots
        for state in with_document
        if state.document is not None
        for declared in state.document.services
        if declared.name == service
    ]
    return EjectionConfig(
        tuple(_stewards_in(service, state) for state in states),
        _least_slots(service, with_document),
        max(floors, default=0),
        frozenset(member.id.name for member in near),
    )


def _stewards_in(service: str, state: AgreedState) -> dict[InstanceId, Member]:
    chosen = coordinators_for(service, state.members_by_name.values())
    return {member.id: member for member in chosen}


def _least_slots(service: str, states: list[AgreedState]) -> dict[str, int]:
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
