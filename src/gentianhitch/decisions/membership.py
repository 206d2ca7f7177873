"""Decide how the agreed list changes."""

from __future__ import annotations

import attrs

from gentianhitch.decisions.agreed_list import AgreedList
from gentianhitch.decisions.evidence import Seat
from gentianhitch.decisions.freshness import Freshness
from gentianhitch.decisions.platform_reads import rank_of
from gentianhitch.decisions.rendezvous import ordered
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

    ``follows`` is False for a list that follows none.
    """

    after: int
    members: tuple[Member, ...]
    follows: bool


@attrs.define(eq=False)
class ListWriter:
    """Propose changes of the agreed list, one at a time and in batches."""

    freshness: Freshness
    listed_by_name: dict[str, ListedInstance] = attrs.Factory(dict)
    listed_at: float = float("-inf")
    _judged_at: float = float("-inf")
    _wanted_since: float | None = None
    _by_majority_since: float | None = None
    _lost_since: float | None = None
    _newest: tuple[int, float] = (0, float("-inf"))

    def see_listed(self, listed: tuple[ListedInstance, ...], read_at: float) -> None:
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
            return rank_of(self.freshness)
        candidates = [seat.holder for seat in self.freshness.seats_by_name.values()]
        order = ordered("watch", {self.freshness.own, *candidates})
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
        members |= {seat.holder.id: seat.holder for seat in self._newcomers((), now)}
        return self._change(tuple(members.values()), follows=False)

    def _next_list(self, current: AgreedList, now: float) -> ListChange | None:
        settled = self.freshness.is_settled(now)
        if not settled or now - self._newest[1] < CHANGE_INTERVAL_S:
            return None
        kept = [
            self._present(member)
            for member in current.members
            if not self._is_gone(member, now)
        ]
        names = {member.id.name for member in kept}
        added = [seat.holder for seat in self._newcomers(names, now)]
        members = tuple(kept + added)
        if not members or set(members) == set(current.members):
            return None
        return self._change(members, follows=True)

    def _forced_list(self, current: AgreedList, now: float) -> ListChange | None:
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
            kept += [seat.holder for seat in self._newcomers((), now)]
        return self._change(tuple(kept), follows=False)

    def _runs(self, holder: Member, now: float) -> bool:
        """Tell whether a holder may run: a successor only if it answers."""
        seat = self.freshness.seats_by_name[holder.id.name]
        current = self.freshness.current
        own = holder.id == self.freshness.own.id
        listed = current is not None and holder.id in current.ids
        return own or listed or now - seat.alive_at <= HEARD_WITHIN_S

    def _change(self, members: tuple[Member, ...], *, follows: bool) -> ListChange:
        return ListChange(self.freshness.sequence, members, follows)

    def _present(self, member: Member) -> Member:
        """Return the holder of a seat as it is now."""
        seat = self.freshness.seats_by_name[member.id.name]
        if seat.holder.id == member.id:
            return attrs.evolve(seat.holder, leaving=seat.standing.leaving)
        return seat.holder

    def _is_gone(self, member: Member, now: float) -> bool:
        if member.id.name == self.freshness.own.id.name:
            return False
        since = self._by_majority_since
        if since is None or now - since < REMOVE_AFTER_S:
            return False
        seat = self.freshness.seats_by_name[member.id.name]
        return seat.silence_s(now) > REMOVE_AFTER_S

    def _is_provably_gone(self, member: Member, now: float) -> bool:
        seat = self.freshness.seats_by_name[member.id.name]
        if member.id == self.freshness.own.id:
            return False
        if seat.holder.id > member.id:
            return not self._is_established(seat)
        silent = seat.silence_s(now) > REMOVE_AFTER_S
        return silent and member.id.name not in self.listed_by_name

    def _is_established(self, seat: Seat) -> bool:
        own = seat.holder.id == self.freshness.own.id
        return self.freshness.established if own else seat.established

    def _newcomers(self, names: set[str] | tuple[()], now: float) -> list[Seat]:
        """Return who runs, answered this instance lately, and is not in ``names``.

        A new name must also be listed by the platform; a new incarnation of a
        listed name need not.
        """
        current = self.freshness.current
        agreed = current.members_by_name if current else {}
        return [
            seat
            for name, seat in sorted(self.freshness.seats_by_name.items())
            if name not in names
            and name != self.freshness.own.id.name
            and now - seat.alive_at <= HEARD_WITHIN_S
            and not seat.standing.leaving
            and (name in self.listed_by_name or name in agreed)
        ]
