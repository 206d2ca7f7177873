"""Decide how the agreed list changes."""

from __future__ import annotations

import attrs

from gentianhitch.decisions.evidence import MemberRecord
from gentianhitch.decisions.freshness import Freshness
from gentianhitch.decisions.member_list import MemberList
from gentianhitch.decisions.platform_reads import own_watch_rank
from gentianhitch.decisions.rendezvous import order_members
from gentianhitch.instances.identity import Member
from gentianhitch.platform.interface import ListedInstance

HEARD_WITHIN_S = 2.0
REMOVE_AFTER_S = 6.0
CHANGE_INTERVAL_S = 2.0
FIRST_LIST_AFTER_S = 1.0
FORCE_AFTER_S = 4.0
LISTED_WITHIN_S = 15.0
WRITER_STEP_S = 1.5
JUDGE_INTERVAL_S = 0.25


@attrs.frozen
class ListChange:
    """A list to write, if the sequence is still ``after``.

    ``has_predecessor`` is False for a list that follows none.
    """

    after_sequence: int
    members: tuple[Member, ...]
    has_predecessor: bool


@attrs.define(eq=False)
class ListProposer:
    """Propose changes of the agreed list, one at a time and in batches."""

    freshness: Freshness
    listed_by_name: dict[str, ListedInstance] = attrs.Factory(dict)
    listed_at: float = float("-inf")
    _judged_at: float = float("-inf")
    _wanted_since: float | None = None
    _by_majority_since: float | None = None
    _lost_since: float | None = None
    _newest: tuple[int, float] = (0, float("-inf"))

    def update_listed(self, listed: tuple[ListedInstance, ...], read_at: float) -> None:
        """Take in the platform's list of instances, read at ``read_at``."""
        self.listed_by_name = {each.name: each for each in listed}
        self.listed_at = read_at

    def propose(self, now: float) -> ListChange | None:
        """Return the change that this instance should write now, or None."""
        if now - self._judged_at < JUDGE_INTERVAL_S:
            return None
        self._judged_at = now
        self._note(now)
        change = self._wanted(now)
        if change is None:
            self._wanted_since = None
            return None
        if self._wanted_since is None:
            self._wanted_since = now
        # The others wait longer, so that normally one writes and none conflicts.
        waited_s = now - self._wanted_since
        return change if waited_s >= self._rank() * WRITER_STEP_S else None

    def _rank(self) -> int:
        current = self.freshness.current
        if current is not None and current.members:
            return own_watch_rank(self.freshness)
        candidates = [
            record.member for record in self.freshness.records_by_name.values()
        ]
        order = order_members("watch", {self.freshness.own, *candidates})
        return order.index(self.freshness.own)

    def _note(self, now: float) -> None:
        freshness = self.freshness
        if freshness.sequence != self._newest[0]:
            self._newest = (freshness.sequence, now)
        if freshness.is_fresh_by_majority(now):
            self._by_majority_since = (
                now if self._by_majority_since is None else self._by_majority_since
            )
            self._lost_since = None
        else:
            self._by_majority_since = None
            self._lost_since = now if self._lost_since is None else self._lost_since

    def _wanted(self, now: float) -> ListChange | None:
        current = self.freshness.current
        if self.freshness.superseded or now - self.listed_at > LISTED_WITHIN_S:
            return None
        if current is None or not current.members:
            return self._first_list(now)
        if self.freshness.is_fresh_by_majority(now):
            return self._next_list(current, now)
        return self._forced_list(current, now)

    def _first_list(self, now: float) -> ListChange | None:
        if self._lost_since is None or now - self._lost_since < FIRST_LIST_AFTER_S:
            return None
        members = {self.freshness.own.id: self.freshness.own}
        members |= {
            record.member.id: record.member for record in self._newcomers((), now)
        }
        return self._change(tuple(members.values()), has_predecessor=False)

    def _next_list(self, current: MemberList, now: float) -> ListChange | None:
        settled = self.freshness.is_settled(now)
        if not settled or now - self._newest[1] < CHANGE_INTERVAL_S:
            return None
        kept = [
            self._present(member)
            for member in current.members
            if not self._is_gone(member, now)
        ]
        names = {member.id.name for member in kept}
        added = [record.member for record in self._newcomers(names, now)]
        members = tuple(kept + added)
        if not members or set(members) == set(current.members):
            return None
        return self._change(members, has_predecessor=True)

    def _forced_list(self, current: MemberList, now: float) -> ListChange | None:
        """Replace a list of which too many are provably gone for a majority.

        Names that were not in it must wait for the next change, unless all of it
        is gone: so no majority of the new list can do without the old members.
        """
        if self._lost_since is None or now - self._lost_since < FORCE_AFTER_S:
            return None
        gone = [m for m in current.members if self._is_provably_gone(m, now)]
        if len(current.members) - len(gone) >= current.majority:
            return None
        holders = [self._present(m) for m in current.members]
        kept = [h for h in holders if h not in gone and self._runs(h, now)]
        if not kept:
            kept = [self.freshness.own]
            kept += [record.member for record in self._newcomers((), now)]
        return self._change(tuple(kept), has_predecessor=False)

    def _runs(self, holder: Member, now: float) -> bool:
        """Tell whether a holder may run: a successor only if it answers."""
        record = self.freshness.records_by_name[holder.id.name]
        current = self.freshness.current
        own = holder.id == self.freshness.own.id
        listed = current is not None and holder.id in current.ids
        return own or listed or now - record.alive_at <= HEARD_WITHIN_S

    def _change(
        self, members: tuple[Member, ...], *, has_predecessor: bool
    ) -> ListChange:
        return ListChange(self.freshness.sequence, members, has_predecessor)

    def _present(self, member: Member) -> Member:
        """Return the holder of a record as it is now."""
        record = self.freshness.records_by_name[member.id.name]
        if record.member.id == member.id:
            return attrs.evolve(record.member, leaving=record.standing.leaving)
        return record.member

    def _is_gone(self, member: Member, now: float) -> bool:
        if member.id.name == self.freshness.own.id.name:
            return False
        since = self._by_majority_since
        if since is None or now - since < REMOVE_AFTER_S:
            return False
        record = self.freshness.records_by_name[member.id.name]
        return record.silence_s(now) > REMOVE_AFTER_S

    def _is_provably_gone(self, member: Member, now: float) -> bool:
        record = self.freshness.records_by_name[member.id.name]
        if member.id == self.freshness.own.id:
            return False
        if record.member.id > member.id:
            return not self._is_established(record)
        silent = record.silence_s(now) > REMOVE_AFTER_S
        return silent and member.id.name not in self.listed_by_name

    def _is_established(self, record: MemberRecord) -> bool:
        own = record.member.id == self.freshness.own.id
        return self.freshness.established if own else record.established

    def _newcomers(self, names: set[str] | tuple[()], now: float) -> list[MemberRecord]:
        """Return who runs, answered this instance lately, and is not in ``names``.

        A new name must also be listed by the platform; a new incarnation of a
        listed name need not.
        """
        current = self.freshness.current
        agreed = current.members_by_name if current else {}
        return [
            record
            for name, record in sorted(self.freshness.records_by_name.items())
            if name not in names
            and name != self.freshness.own.id.name
            and now - record.alive_at <= HEARD_WITHIN_S
            and not record.standing.leaving
            and (name in self.listed_by_name or name in agreed)
        ]
