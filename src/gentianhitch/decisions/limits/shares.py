"""Derive the share of each instance in a workspace from the agreed list."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from collections.abc import Mapping
from itertools import zip_longest

import attrs

from gentianhitch.decisions.interfaces import AgreedState
from gentianhitch.decisions.limits.constants import MAX_SHARE_OWNERS
from gentianhitch.decisions.limits.constants import MIN_SHARE_BURST
from gentianhitch.decisions.rendezvous import hash_name
from gentianhitch.decisions.rendezvous import rank_names
from gentianhitch.instances.identity import InstanceId
from gentianhitch.instances.identity import Member
from gentianhitch.operators.document import Document
from gentianhitch.operators.document import Workspace

MAX_CACHED_WORKSPACES = 4096
MAX_CACHED_STATES = 8


@attrs.frozen
class Share:
    """A part of a workspace's limit: requests/s and requests."""

    rate: float
    burst: float

    def least(self, other: Share) -> Share:
        """Return the smaller rate and the smaller burst of both."""
        return Share(min(self.rate, other.rate), min(self.burst, other.burst))

    def covers(self, other: Share) -> bool:
        """Tell whether neither rate nor burst is smaller than in ``other``."""
        return self.rate >= other.rate and self.burst >= other.burst


NO_SHARE = Share(0.0, 0.0)


class OwnerTable:
    """Rank the members of one agreed list for each workspace."""

    def __init__(self, members_by_name: Mapping[str, Member]) -> None:
        self._members_by_name = members_by_name
        members = members_by_name.values()
        staying = [member for member in members if not member.leaving]
        self._names_by_domain: dict[str, list[str]] = defaultdict(list)
        for member in staying or members:
            self._names_by_domain[member.failure_domain].append(member.id.name)
        self._positions_by_name = {
            name: position for position, name in enumerate(sorted(members_by_name))
        }
        self._owners_by_workspace: dict[tuple[str, int], tuple[Member, ...]] = {}

    def owners(self, workspace: str, count: int) -> tuple[Member, ...]:
        """Return the first ``count`` members, spread over failure domains."""
        key = (workspace, count)
        owners = self._owners_by_workspace.get(key)
        if owners is None:
            if len(self._owners_by_workspace) >= MAX_CACHED_WORKSPACES:
                self._owners_by_workspace.clear()
            owners = tuple(self._rank(workspace)[:count])
            self._owners_by_workspace[key] = owners
        return owners

    def position(self, name: str) -> int:
        """Return the position of a name in the sorted list, or one by its hash."""
        position = self._positions_by_name.get(name)
        return hash_name(name) if position is None else position

    def _rank(self, workspace: str) -> list[Member]:
        columns = (
            rank_names(workspace, self._names_by_domain[domain])
            for domain in rank_names(workspace, self._names_by_domain)
        )
        rows = zip_longest(*columns)
        return [
            self._members_by_name[name]
            for row in rows
            for name in row
            if name is not None
        ]


@attrs.define
class _CachedState:
    state: AgreedState
    owners: OwnerTable
    workspaces_by_name: dict[str, Workspace]


class ShareTable:
    """Give the share of (name, incarnation) under agreed states, cached by state."""

    def __init__(self, max_owners: int = MAX_SHARE_OWNERS) -> None:
        self.max_owners = max_owners
        self._tables_by_sequence: dict[int, _CachedState] = {}

    def workspace(self, state: AgreedState, name: str) -> Workspace | None:
        """Return the workspace as the state's document declares it."""
        return self._table(state).workspaces_by_name.get(name)

    def owners(self, state: AgreedState, name: str) -> tuple[Member, ...]:
        """Return the members that hold a share; empty for an unknown workspace."""
        table = self._table(state)
        workspace = table.workspaces_by_name.get(name)
        if workspace is None:
            return ()
        # Tokens in many small parts have to be gathered from many owners.
        count = max(1, min(self.max_owners, int(workspace.burst / MIN_SHARE_BURST)))
        return table.owners.owners(name, count)

    def position(self, state: AgreedState, name: str) -> int:
        """Return a number that differs between the members of the state."""
        return self._table(state).owners.position(name)

    def share(self, state: AgreedState, name: str, owner: InstanceId) -> Share:
        """Return the share that the state gives to this incarnation."""
        owners = self.owners(state, name)
        if all(member.id != owner for member in owners):
            return NO_SHARE
        workspace = self._table(state).workspaces_by_name[name]
        count = len(owners)
        return Share(workspace.rate / count, workspace.burst / count)

    def least(
        self, states: Iterable[AgreedState], name: str, owner: InstanceId
    ) -> Share:
        """Return the least share that the states give to this incarnation."""
        least: Share | None = None
        for state in states:
            share = self.share(state, name, owner)
            least = share if least is None else least.least(share)
        return least or NO_SHARE

    def _table(self, state: AgreedState) -> _CachedState:
        table = self._tables_by_sequence.get(state.sequence)
        if table is None or table.state is not state:
            table = self._build(state)
            self._tables_by_sequence[state.sequence] = table
            while len(self._tables_by_sequence) > MAX_CACHED_STATES:
                del self._tables_by_sequence[min(self._tables_by_sequence)]
        return table

    def _build(self, state: AgreedState) -> _CachedState:
        owners = self._reusable_owners(state) or OwnerTable(state.members_by_name)
        return _CachedState(state, owners, self._workspaces(state.document))

    def _reusable_owners(self, state: AgreedState) -> OwnerTable | None:
        for table in self._tables_by_sequence.values():
            if table.state.members_by_name == state.members_by_name:
                return table.owners
        return None

    def _workspaces(self, document: Document | None) -> dict[str, Workspace]:
        if document is None:
            return {}
        for table in self._tables_by_sequence.values():
            if table.state.document is document:
                return table.workspaces_by_name
        return {workspace.name: workspace for workspace in document.workspaces}
