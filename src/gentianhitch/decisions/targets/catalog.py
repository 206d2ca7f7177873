"""Index the agreed states by service and backend server."""

from __future__ import annotations

import attrs

from gentianhitch.decisions.interfaces import AgreedState
from gentianhitch.decisions.steering import steered_instances
from gentianhitch.decisions.targets.sharing import TargetQuota
from gentianhitch.decisions.targets.sharing import quota_for
from gentianhitch.operators.document import BackendServer
from gentianhitch.operators.document import Service

NO_QUOTA = TargetQuota(0, 0)


@attrs.frozen
class ServiceEntry:
    """A service of the newest document, with its targets and this instance's quotas."""

    service: Service
    targets_by_name: dict[str, BackendServer]
    quotas_by_target: dict[str, TargetQuota]
    has_own_slots: bool


class Catalog:
    """Services of the newest document, with the least quotas of all active states."""

    def __init__(self, name: str) -> None:
        self._name = name
        self._states: tuple[AgreedState, ...] = ()
        self._entries_by_service: dict[str, ServiceEntry] = {}

    def update(self, states: tuple[AgreedState, ...]) -> bool:
        """Set the active states, oldest first, and return whether they changed."""
        previous = [state.sequence for state in self._states]
        if previous == [state.sequence for state in states]:
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
        quotas_by_target = {
            target.name: self._min_quota(target) for target in targets_by_name.values()
        }
        has_own_slots = any(quota.slots for quota in quotas_by_target.values())
        return ServiceEntry(service, targets_by_name, quotas_by_target, has_own_slots)

    def _min_quota(self, target: BackendServer) -> TargetQuota:
        quotas = [
            _quota_in(state, target, self._name)
            for state in self._states
            if state.document is not None
        ]
        return TargetQuota(
            min(quota.slots for quota in quotas),
            min(quota.connections for quota in quotas),
        )


def _quota_in(state: AgreedState, target: BackendServer, name: str) -> TargetQuota:
    document = state.document
    if document is None:
        return NO_QUOTA
    agreed = next(
        (t for t in document.backend_servers if t.address == target.address), target
    )
    members = tuple(state.members_by_name.values())
    steered = steered_instances(document, target.service, members)
    return quota_for(agreed, name, members, steered)
