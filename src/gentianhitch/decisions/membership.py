"""Decide when and how the agreed list of entry instances changes."""

from __future__ import annotations

import attrs

from gentianhitch.decisions.evidence import MemberRecord
from gentianhitch.decisions.freshness import Freshness
from gentianhitch.decisions.member_list import MemberList
from gentianhitch.decisions.platform_reads import own_watch_rank
from gentianhitch.decisions.rendezvous import order_members
from gentianhitch.instances.identity import Member
from gentianhitch.platform.interface import ListedInstance

MAX_CONTACT_AGE_S = 2.0
REMOVE_AFTER_SILENCE_S = 6.0
CHANGE_INTERVAL_S = 2.0
FIRST_LIST_DELAY_S = 1.0
FORCED_LIST_DELAY_S = 4.0
MAX_LISTING_AGE_S = 15.0
DELAY_PER_RANK_S = 1.5
EVALUATION_INTERVAL_S = 0.25


@attrs.frozen
class ListChange:
    """A list to write if the head is still at ``after_sequence``.

    ``has_predecessor`` is False for a list that does not follow the current one.
    """

    after_sequence: int
    members: tuple[Member, ...]
    has_predecessor: bool


@attrs.define(eq=False)
class ListProposer:
    """Proposes changes of the agreed list, one at a time and in batches."""

    freshness: Freshness
    listed_by_name: dict[str, ListedInstance] = attrs.Factory(dict)
    listed_at: float = float("-inf")
    _evaluated_at: float = float("-inf")
    _change_due_since: float | None = None
    _majority_since: float | None = None
    _majority_lost_since: float | None = None
    _sequence_seen_at: tuple[int, float] = (0, float("-inf"))

    def update_listed(self, listed: tuple[ListedInstance, ...], read_at: float) -> None:
        """Use the platform's list of instances that was read at ``read_at``."""
        self.listed_by_name = {instance.name: instance for instance in listed}
        self.listed_at = read_at

    def propose(self, now: float) -> ListChange | None:
        """Return the change that this instance should write now, or None."""
        if now - self._evaluated_at < EVALUATION_INTERVAL_S:
            return None
        self._evaluated_at = now
        self._update_majority_times(now)
        change = self._due_change(now)
        if change is None:
            self._change_due_since = None
            return None
        if self._change_due_since is None:
            self._change_due_since = now
        # Instances of higher rank wait longer: normally one writes and none conflicts.
        waited_s = now - self._change_due_since
        return change if waited_s >= self._rank() * DELAY_PER_RANK_S else None

    def _rank(self) -> int:
        current = self.freshness.current
        if current is not None and current.members:
            return own_watch_rank(self.freshness)
        candidates = [
            record.member for record in self.freshness.records_by_name.values()
        ]
        order = order_members("watch", {self.freshness.own, *candidates})
        return order.index(self.freshness.own)

    def _update_majority_times(self, now: float) -> None:
        freshness = self.freshness
        if freshness.sequence != self._sequence_seen_at[0]:
            self._sequence_seen_at = (freshness.sequence, now)
        if freshness.is_fresh_by_majority(now):
            self._majority_since = (
                now if self._majority_since is None else self._majority_since
            )
            self._majority_lost_since = None
        else:
            self._majority_since = None
            self._majority_lost_since = (
                now if self._majority_lost_since is None else self._majority_lost_since
            )

    def _due_change(self, now: float) -> ListChange | None:
        current = self.freshness.current
        if self.freshness.superseded or now - self.listed_at > MAX_LISTING_AGE_S:
            return None
        if current is None or not current.members:
            return self._first_list(now)
        if self.freshness.is_fresh_by_majority(now):
            return self._next_list(current, now)
        return self._forced_list(current, now)

    def _first_list(self, now: float) -> ListChange | None:
        if (
            self._majority_lost_since is None
            or now - self._majority_lost_since < FIRST_LIST_DELAY_S
        ):
            return None
        members = {self.freshness.own.id: self.freshness.own}
        members |= {
            record.member.id: record.member for record in self._newcomers((), now)
        }
        return self._change(tuple(members.values()), has_predecessor=False)

    def _next_list(self, current: MemberList, now: float) -> ListChange | None:
        is_settled = self.freshness.is_settled(now)
        if not is_settled or now - self._sequence_seen_at[1] < CHANGE_INTERVAL_S:
            return None
        kept = [
            self._present_member(member)
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
        """Replace a list that can't reach a majority: too many are provably gone.

        Names that are not in the current list must wait for the next change, unless
        all of its members are gone. So every majority of the new list includes members
        of the old one.
        """
        if (
            self._majority_lost_since is None
            or now - self._majority_lost_since < FORCED_LIST_DELAY_S
        ):
            return None
        gone = [m for m in current.members if self._is_provably_gone(m, now)]
        if len(current.members) - len(gone) >= current.majority:
            return None
        present = [self._present_member(m) for m in current.members]
        kept = [m for m in present if m not in gone and self._may_run(m, now)]
        if not kept:
            kept = [self.freshness.own]
            kept += [record.member for record in self._newcomers((), now)]
        return self._change(tuple(kept), has_predecessor=False)

    def _may_run(self, member: Member, now: float) -> bool:
        """Return whether a member may run; an unlisted one must have run recently."""
        record = self.freshness.records_by_name[member.id.name]
        current = self.freshness.current
        is_own = member.id == self.freshness.own.id
        is_listed = current is not None and member.id in current.ids
        return is_own or is_listed or now - record.alive_at <= MAX_CONTACT_AGE_S

    def _change(
        self, members: tuple[Member, ...], *, has_predecessor: bool
    ) -> ListChange:
        return ListChange(self.freshness.sequence, members, has_predecessor)

    def _present_member(self, member: Member) -> Member:
        """Return the newest incarnation of the member, with its leaving state."""
        record = self.freshness.records_by_name[member.id.name]
        if record.member.id == member.id:
            return attrs.evolve(record.member, leaving=record.standing.leaving)
        return record.member

    def _is_gone(self, member: Member, now: float) -> bool:
        if member.id.name == self.freshness.own.id.name:
            return False
        since = self._majority_since
        if since is None or now - since < REMOVE_AFTER_SILENCE_S:
            return False
        record = self.freshness.records_by_name[member.id.name]
        return record.silence_s(now) > REMOVE_AFTER_SILENCE_S

    def _is_provably_gone(self, member: Member, now: float) -> bool:
        record = self.freshness.records_by_name[member.id.name]
        if member.id == self.freshness.own.id:
            return False
        if record.member.id > member.id:
            return not self._is_established(record)
        is_silent = record.silence_s(now) > REMOVE_AFTER_SILENCE_S
        return is_silent and member.id.name not in self.listed_by_name

    def _is_established(self, record: MemberRecord) -> bool:
        is_own = record.member.id == self.freshness.own.id
        return self.freshness.established if is_own else record.established

    def _newcomers(self, names: set[str] | tuple[()], now: float) -> list[MemberRecord]:
        """Return the members outside ``names`` that ran recently and are not leaving.

        A new name must also be listed by the platform; a new incarnation of a name in
        the agreed list need not.
        """
        current = self.freshness.current
        agreed_by_name = current.members_by_name if current else {}
        return [
            record
            for name, record in sorted(self.freshness.records_by_name.items())
            if name not in names
            and name != self.freshness.own.id.name
            and now - record.alive_at <= MAX_CONTACT_AGE_S
            and not record.standing.leaving
            and (name in self.listed_by_name or name in agreed_by_name)
        ]
