"""Evidence about members of the agreed list, and quorums of them."""

from __future__ import annotations

import math
from collections.abc import Callable
from collections.abc import Iterable

import attrs

from gentianhitch.decisions.member_list import MemberList
from gentianhitch.instances.identity import Member
from gentianhitch.instances.messages import Standing

AGE_UNIT_S = 0.01
NO_AGE = 255
NEVER = -math.inf
NOT_YET = math.inf


@attrs.define(eq=False)
class MemberRecord:
    """Evidence about the newest known incarnation of one instance name.

    Times are of the local clock.

    - ``alive_at``: latest time at which the member is known to have run. It then knew
      no sequence above ``alive_sequence``.
    - ``confirmed_at``: latest time at which it ran and knew no sequence above the
      local one.
    - ``learned_at_by_sequence``: time by which it knew a sequence.
    - ``acknowledged_at``: time by which it knew this instance.
    - ``established``: a majority knows this incarnation, so that it counts towards the
      majority of a list that names an earlier incarnation.
    """

    member: Member
    created_at: float
    established: bool = False
    alive_at: float = NEVER
    alive_sequence: int = 0
    confirmed_at: float = NEVER
    request_received_at: float = NEVER
    known_sequence: int = 0
    acknowledged_at: float = NOT_YET
    standing: Standing = Standing()
    learned_at_by_sequence: dict[int, float] = attrs.Factory(dict)

    def confirm_alive(self, moment: float, sequence: int, local: int) -> None:
        """Record that the member ran at ``moment`` and knew none above ``sequence``.

        ``local`` is the newest sequence known to this instance.
        """
        if moment > self.alive_at:
            self.alive_at, self.alive_sequence = moment, sequence
        if sequence <= local:
            self.confirmed_at = max(self.confirmed_at, moment)

    def recheck_confirmation(self, local: int) -> None:
        """Update ``confirmed_at`` after the local sequence has increased."""
        if self.alive_sequence <= local:
            self.confirmed_at = max(self.confirmed_at, self.alive_at)

    def learned_at(self, sequence: int) -> float:
        """Return the time by which the member knew ``sequence``, or NOT_YET."""
        return self.learned_at_by_sequence.get(sequence, NOT_YET)

    def update_known(self, known: int, pending: Iterable[int], now: float) -> None:
        """Record that the member now knows ``known`` and every earlier sequence."""
        self.known_sequence = max(self.known_sequence, known)
        for sequence in pending:
            if sequence <= self.known_sequence:
                self.learned_at_by_sequence.setdefault(sequence, now)

    def silence_s(self, now: float) -> float:
        """Return the time in seconds since the member was last known to run."""
        return now - max(self.alive_at, self.created_at)

    def is_counted_in(self, member_list: MemberList) -> bool:
        """Return whether the member counts towards the majority of a list."""
        listed = member_list.members_by_name.get(self.member.id.name)
        if listed is None:
            return False
        incarnation = self.member.id.incarnation
        if listed.id.incarnation == incarnation:
            return True
        return self.established and listed.id.incarnation < incarnation


def encode_age(moment: float, now: float) -> int:
    """Encode the age of ``moment`` as one byte, rounded up; NO_AGE if it is too old."""
    age_s = now - moment
    if age_s >= AGE_UNIT_S * (NO_AGE - 1):
        return NO_AGE
    return max(0, math.ceil(age_s / AGE_UNIT_S))


def nth_largest(values: Iterable[float], position: int) -> float:
    """Return the value at ``position`` (from 1) in descending order, or NEVER."""
    ordered = sorted(values, reverse=True)
    return ordered[position - 1] if 0 < position <= len(ordered) else NEVER


@attrs.frozen
class Interval:
    """Time from which a member knew something until which it is known to have run."""

    start: float
    end: float


@attrs.frozen
class Quorum:
    """Intervals of the counted members of one list, and how many must overlap."""

    intervals: tuple[Interval, ...]
    needed: int

    def holds_at(self, moment: float) -> bool:
        """Return whether at least ``needed`` intervals contain ``moment``."""
        count = sum(
            interval.start <= moment <= interval.end for interval in self.intervals
        )
        return count >= self.needed

    def earliest_start(self) -> float:
        """Return the first moment by which ``needed`` intervals have started."""
        if self.needed <= 0:
            return NEVER
        starts = sorted(interval.start for interval in self.intervals)
        return starts[self.needed - 1] if self.needed <= len(starts) else NOT_YET

    def latest_end(self) -> float:
        """Return the last moment at which ``needed`` intervals have not ended."""
        if self.needed <= 0:
            return NOT_YET
        return nth_largest((interval.end for interval in self.intervals), self.needed)


def common_moment(quorums: Iterable[Quorum]) -> float | None:
    """Return a moment at which every quorum held, or None.

    Members that knew something at different moments are no majority: one may have
    restarted, and lost its state, before the last one learned it.
    """
    quorums = tuple(quorums)
    earliest = max((quorum.earliest_start() for quorum in quorums), default=NEVER)
    latest = min((quorum.latest_end() for quorum in quorums), default=NOT_YET)
    for moment in (earliest, latest):
        if math.isfinite(moment) and all(q.holds_at(moment) for q in quorums):
            return moment
    return None


def build_quorum(
    member_list: MemberList,
    records: Iterable[MemberRecord],
    interval_of: Callable[[MemberRecord], Interval],
    needed: int | None = None,
) -> Quorum:
    """Return the quorum of the members that count in a list: by default a majority."""
    counted = (record for record in records if record.is_counted_in(member_list))
    intervals = tuple(interval_of(record) for record in counted)
    return Quorum(intervals, member_list.majority if needed is None else needed)
