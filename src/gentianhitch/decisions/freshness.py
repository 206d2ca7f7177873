"""Decide whether this instance may act on the newest state that it knows.

``docs/design/freshness.md`` has the rules and the proof.
"""

from __future__ import annotations

import math
from collections import Counter

import attrs

from gentianhitch.decisions.evidence import NEVER
from gentianhitch.decisions.evidence import NOT_YET
from gentianhitch.decisions.evidence import Interval
from gentianhitch.decisions.evidence import MemberRecord
from gentianhitch.decisions.evidence import Quorum
from gentianhitch.decisions.evidence import build_quorum
from gentianhitch.decisions.evidence import common_moment
from gentianhitch.decisions.evidence import nth_largest
from gentianhitch.decisions.list_chain import ListChain
from gentianhitch.decisions.member_list import MemberList
from gentianhitch.instances.identity import Member
from gentianhitch.instances.messages import Standing

WINDOW_S = 2.0
DRIFT_MARGIN_S = 0.1
"""Added to the window, for clocks that run at slightly different rates."""

DROP_AFTER_S = 60.0


@attrs.define(eq=False)
class Freshness:
    """Collects the evidence of one instance and derives whether it is fresh.

    A sequence is in force once a majority of every required list has known it for
    longer than a window: every fresh instance then knows it or a later one.

    This instance is not fresh while it lacks the list of the newest sequence that is
    known to be in force: other instances may still act on it, and a right must be
    granted by that state too.

    - ``in_force``: newest sequence that is known to be in force.
    - ``established``: a majority knows this incarnation, see MemberRecord.
    - ``superseded``: a later incarnation of this instance runs.
    - ``fresh_until``, ``majority_until``: ends of freshness by any evidence, and by
      evidence of peers alone.
    - ``fleet_read_at``: start of the newest platform read of any instance.
    - ``change_count``: number of changes of members and standings.
    """

    own: Member
    window_s: float = WINDOW_S
    sequence: int = 0
    in_force: int = 0
    established: bool = False
    superseded: bool = False
    fresh_until: float = NEVER
    majority_until: float = NEVER
    fleet_read_at: float = NEVER
    change_count: int = 0
    counts_by_name: Counter[str] = attrs.Factory(Counter)
    records_by_name: dict[str, MemberRecord] = attrs.Factory(dict)
    chain: ListChain = attrs.Factory(ListChain)
    majority_at_by_sequence: dict[int, float] = attrs.Factory(dict)
    _read_at: float = NEVER
    _read_sequence: int = 0

    @property
    def current(self) -> MemberList | None:
        """Return the newest known list."""
        return self.chain.lists_by_sequence.get(self.sequence)

    def add_list(
        self,
        sequence: int,
        member_list: MemberList,
        previous: MemberList | None,
        now: float,
    ) -> bool:
        """Add the list of a loaded sequence; count it and return False if it is old.

        ``previous`` is the predecessor of ``member_list``, or None. A list older than
        the newest is also added if an instance may still act on it.
        """
        if sequence < self.in_force or sequence in self.chain.lists_by_sequence:
            self.counts_by_name["freshness.not_newer"] += 1
            return False
        self.sequence = max(self.sequence, sequence)
        self.chain.add(sequence, member_list, previous)
        for member in member_list.members:
            self.record_member(member, now)
        self._update_all_records(now)
        self.evaluate(now)
        return True

    def record_member(self, member: Member, now: float) -> MemberRecord:
        """Record that ``member`` runs or ran; return the record of its name.

        A later incarnation replaces the record of an earlier one.
        """
        name = member.id.name
        if name == self.own.id.name and member.id > self.own.id:
            self.superseded = True
        record = self.records_by_name.get(name)
        if record is None or record.member.id < member.id:
            record = MemberRecord(member, created_at=now)
            self.records_by_name[name] = record
            self.change_count += 1
        elif record.member.id == member.id and record.member != member:
            record.member = member
            self.change_count += 1
        return record

    def update_standing(self, record: MemberRecord, standing: Standing) -> None:
        """Record a member's report about itself; ignore older versions."""
        if standing.incarnation != record.member.id.incarnation:
            return
        if standing.version > record.standing.version:
            record.standing = standing
            self.change_count += 1

    def record_platform_read(
        self, sequence: int, started_at: float, now: float
    ) -> None:
        """Record that a platform read from ``started_at`` on returned ``sequence``."""
        if sequence < self.sequence:
            self.counts_by_name["freshness.stale_reads"] += 1
            return
        if started_at >= self._read_at:
            self._read_at, self._read_sequence = started_at, sequence
        self.fleet_read_at = max(self.fleet_read_at, started_at)
        self.evaluate(now)

    def record_in_force(self, sequence: int) -> None:
        """Record that ``sequence`` is in force according to another instance."""
        self._put_in_force(sequence)

    def is_fresh(self, now: float) -> bool:
        """Return whether this instance may act on the newest sequence it knows."""
        self._apply_due_majorities(now)
        return now < self.fresh_until and self._may_be_fresh()

    def is_fresh_by_majority(self, now: float) -> bool:
        """Return whether it is fresh by its peers, without a platform read."""
        self._apply_due_majorities(now)
        return now < self.majority_until and self._may_be_fresh()

    def oldest_active(self, now: float) -> int:
        """Return the oldest active sequence, which is the newest one in force."""
        self._apply_due_majorities(now)
        return self.in_force

    def is_settled(self, now: float) -> bool:
        """Return whether the newest list is in force."""
        self._apply_due_majorities(now)
        in_force, current = (
            self.chain.lists_by_sequence.get(self.in_force),
            self.current,
        )
        return None not in (in_force, current) and in_force == current

    def is_counted(self) -> bool:
        """Return whether this instance counts in the majority of the newest list."""
        record = self.records_by_name.get(self.own.id.name)
        current = self.current
        return bool(record and current and self._is_own_counted_in(current))

    def drop_absent_members(self, now: float) -> None:
        """Remove unlisted members without contact for ``DROP_AFTER_S``."""
        kept = self.chain.names() | {self.own.id.name}
        for name, record in list(self.records_by_name.items()):
            silent_s = now - max(
                record.created_at, record.request_received_at, record.alive_at
            )
            if name not in kept and silent_s > DROP_AFTER_S:
                del self.records_by_name[name]

    def evaluate(self, now: float) -> None:
        """Derive majorities and freshness from the evidence."""
        self._update_established()
        for sequence in self.pending_sequences():
            if sequence not in self.majority_at_by_sequence:
                moment = self._majority_at(sequence, now)
                if moment is not None:
                    self.majority_at_by_sequence[sequence] = moment
        self._apply_due_majorities(now)
        self.majority_until = self._majority_until()
        read_until = NEVER
        if self._read_sequence == self.sequence:
            read_until = self._read_at + self.window_s
        self.fresh_until = max(self.majority_until, read_until)

    def pending_sequences(self) -> list[int]:
        """Return the known sequences not yet in force, oldest first."""
        return self.chain.sequences_after(self.in_force)

    def required_lists(self, sequence: int) -> list[MemberList]:
        """Return every list of which a majority must know ``sequence``."""
        return self.chain.required_lists(sequence, self.in_force)

    def _may_be_fresh(self) -> bool:
        return self.in_force in self.chain.lists_by_sequence and not self.superseded

    def _is_own_counted_in(self, member_list: MemberList) -> bool:
        listed = member_list.members_by_name.get(self.own.id.name)
        if listed is None or self.superseded:
            return False
        return listed.id == self.own.id or (
            self.established and listed.id < self.own.id
        )

    def _peer_records(self) -> list[MemberRecord]:
        own_name = self.own.id.name
        return [
            record for name, record in self.records_by_name.items() if name != own_name
        ]

    def _majority_until(self) -> float:
        current = self.current
        if current is None:
            return NEVER
        moments = [
            record.confirmed_at
            for record in self._peer_records()
            if record.is_counted_in(current)
        ]
        if self._is_own_counted_in(current):
            moments.append(math.inf)
        moment = nth_largest(moments, current.majority)
        # math.inf: an instance that is alone in the list needs no evidence of others.
        return moment + self.window_s

    def _majority_at(self, sequence: int, now: float) -> float | None:
        lists = self.required_lists(sequence)
        if not any(member_list.members for member_list in lists):
            return now
        return common_moment(
            self._knowledge_quorum(member_list, sequence) for member_list in lists
        )

    def _knowledge_quorum(self, member_list: MemberList, sequence: int) -> Quorum:
        quorum = build_quorum(
            member_list,
            self._peer_records(),
            lambda record: Interval(record.learned_at(sequence), record.alive_at),
        )
        if not self._is_own_counted_in(member_list):
            return quorum
        own = self.records_by_name[self.own.id.name]
        interval = Interval(own.learned_at(sequence), NOT_YET)
        return attrs.evolve(quorum, intervals=(*quorum.intervals, interval))

    def _update_established(self) -> None:
        """Mark this incarnation as established once a majority knows it.

        At one moment after they learned of it, all members of that majority must have
        known no newer sequence than this instance.
        """
        if self.established or self.superseded:
            return
        lists = [
            member_list
            for member_list in self.required_lists(self.sequence)
            if self.own.id.name in member_list.members_by_name
        ]
        if not lists or not self._may_be_fresh():
            return
        quorums = [self._acknowledgement_quorum(member_list) for member_list in lists]
        is_alone = all(quorum.needed == 0 for quorum in quorums)
        self.established = is_alone or common_moment(quorums) is not None

    def _acknowledgement_quorum(self, member_list: MemberList) -> Quorum:
        needed = min(member_list.majority, len(member_list.members) - 1)
        return build_quorum(
            member_list,
            self._peer_records(),
            lambda record: Interval(record.acknowledged_at, record.confirmed_at),
            needed,
        )

    def _apply_due_majorities(self, now: float) -> None:
        wait_s = self.window_s + DRIFT_MARGIN_S
        due = [
            s for s, at in self.majority_at_by_sequence.items() if now >= at + wait_s
        ]
        if due:
            self._put_in_force(max(due))

    def _put_in_force(self, sequence: int) -> None:
        if sequence <= self.in_force:
            return
        self.in_force = sequence
        self.chain.drop_before(min(sequence, self.sequence))
        for known in [s for s in self.majority_at_by_sequence if s <= sequence]:
            del self.majority_at_by_sequence[known]
        for record in self.records_by_name.values():
            for old in [s for s in record.learned_at_by_sequence if s <= sequence]:
                del record.learned_at_by_sequence[old]

    def _update_all_records(self, now: float) -> None:
        own = self.record_member(self.own, now)
        own.known_sequence = self.sequence
        pending = self.pending_sequences()
        for record in self.records_by_name.values():
            record.update_known(record.known_sequence, pending, now)
            record.recheck_confirmation(self.sequence)
