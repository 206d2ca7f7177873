"""Divide the limit of each workspace among members of the agreed list."""

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
    """A part of a workspace's limit: rate in requests/s, burst in requests."""

    rate: float
    burst: float

    def minimum(self, other: Share) -> Share:
        """Return the smaller rate and the smaller burst of the two shares."""
        return Share(min(self.rate, other.rate), min(self.burst, other.burst))

    def covers(self, other: Share) -> bool:
        """Return whether rate and burst are both at least those of ``other``."""
        return self.rate >= other.rate and self.burst >= other.burst


NO_SHARE = Share(0.0, 0.0)


class OwnerTable:
    """Share owners per workspace under one agreed list, by rendezvous hash.

    Members that are leaving own no share while others stay.
    """

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
        """Return the ``count`` best-ranked members, spread over failure domains."""
        key = (workspace, count)
        owners = self._owners_by_workspace.get(key)
        if owners is None:
            if len(self._owners_by_workspace) >= MAX_CACHED_WORKSPACES:
                self._owners_by_workspace.clear()
            owners = tuple(self._rank(workspace)[:count])
            self._owners_by_workspace[key] = owners
        return owners

    def position(self, name: str) -> int:
        """Return the index of a name in the sorted list; its hash if not listed."""
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
    owner_table: OwnerTable
    workspaces_by_name: dict[str, Workspace]


class ShareTable:
    """Compute the share of an instance incarnation under agreed states.

    Results are cached for the last MAX_CACHED_STATES states.
    """

    def __init__(self, max_owners: int = MAX_SHARE_OWNERS) -> None:
        self.max_owners = max_owners
        self._tables_by_sequence: dict[int, _CachedState] = {}

    def workspace(self, state: AgreedState, name: str) -> Workspace | None:
        """Return the workspace from the state's document; None if undeclared."""
        return self._table(state).workspaces_by_name.get(name)

    def owners(self, state: AgreedState, name: str) -> tuple[Member, ...]:
        """Return the members that own a share; empty for an unknown workspace."""
        table = self._table(state)
        workspace = table.workspaces_by_name.get(name)
        if workspace is None:
            return ()
        # With many small shares, the tokens for one request would have to be fetched
        # from many owners.
        count = max(1, min(self.max_owners, int(workspace.burst / MIN_SHARE_BURST)))
        return table.owner_table.owners(name, count)

    def position(self, state: AgreedState, name: str) -> int:
        """Return an integer that is unique among the members of the state."""
        return self._table(state).owner_table.position(name)

    def share(self, state: AgreedState, name: str, owner: InstanceId) -> Share:
        """Return the share that the state assigns to this incarnation."""
        owners = self.owners(state, name)
        if all(member.id != owner for member in owners):
            return NO_SHARE
        workspace = self._table(state).workspaces_by_name[name]
        count = len(owners)
        return Share(workspace.rate / count, workspace.burst / count)

    def minimum_share(
        self, states: Iterable[AgreedState], name: str, owner: InstanceId
    ) -> Share:
        """Return the smallest rate and burst assigned to this incarnation.

        NO_SHARE without any state.
        """
        least: Share | None = None
        for state in states:
            share = self.share(state, name, owner)
            least = share if least is None else least.minimum(share)
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
                return table.owner_table
        return None

    def _workspaces(self, document: Document | None) -> dict[str, Workspace]:
        if document is None:
            return {}
        for table in self._tables_by_sequence.values():
            if table.state.document is document:
                return table.workspaces_by_name
        return {workspace.name: workspace for workspace in document.workspaces}
