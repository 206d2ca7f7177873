"""Index the agreed states by service and target."""

from __future__ import annotations

import attrs

from gentianhitch.decisions.interfaces import AgreedState
from gentianhitch.decisions.steering import steered_instances
from gentianhitch.decisions.targets.sharing import Part
from gentianhitch.decisions.targets.sharing import part_of
from gentianhitch.operators.document import BackendServer
from gentianhitch.operators.document import Service

NO_PART = Part(0, 0)


@attrs.frozen
class ServiceEntry:
    """One service of the newest document with its targets and own parts."""

    service: Service
    targets_by_name: dict[str, BackendServer]
    parts_by_target: dict[str, Part]
    has_own_slots: bool


class Catalog:
    """Answer for the newest document; parts are the least of all active states."""

    def __init__(self, name: str) -> None:
        self._name = name
        self._states: tuple[AgreedState, ...] = ()
        self._entries_by_service: dict[str, ServiceEntry] = {}

    def update(self, states: tuple[AgreedState, ...]) -> bool:
        """Take the active states, oldest first; tell whether they changed."""
        known = [state.sequence for state in self._states]
        if known == [state.sequence for state in states]:
            return False
        self._states = states
        self._entries_by_service.clear()
        return True

    def target_names(self) -> frozenset[str]:
        """Return the names of all targets of the newest document."""
        document = self._states[-1].document if self._states else None
        servers = document.backend_servers if document else ()
        return frozenset(target.name for target in servers)

    def service(self, name: str) -> ServiceEntry | None:
        """Return the entry of a service; None when the document lacks it."""
        entry = self._entries_by_service.get(name)
        if entry is None:
            entry = self._build(name)
            if entry is not None:
                self._entries_by_service[name] = entry
        return entry

    def _build(self, name: str) -> ServiceEntry | None:
        document = self._states[-1].document if self._states else None
        if document is None:
            return None
        service = next((s for s in document.services if s.name == name), None)
        if service is None:
            return None
        targets_by_name = {
            target.name: target
            for target in document.backend_servers
            if target.service == name
        }
        parts_by_target = {
            target.name: self._least_part(target) for target in targets_by_name.values()
        }
        own = any(part.slots for part in parts_by_target.values())
        return ServiceEntry(service, targets_by_name, parts_by_target, own)

    def _least_part(self, target: BackendServer) -> Part:
        parts = [
            _part_in(state, target, self._name)
            for state in self._states
            if state.document is not None
        ]
        return Part(
            min(part.slots for part in parts), min(part.connections for part in parts)
        )


def _part_in(state: AgreedState, target: BackendServer, name: str) -> Part:
    document = state.document
    if document is None:
        return NO_PART
    agreed = next(
        (t for t in document.backend_servers if t.address == target.address), target
    )
    members = tuple(state.members_by_name.values())
    near = steered_instances(document, target.service, members)
    return part_of(agreed, name, members, near)
