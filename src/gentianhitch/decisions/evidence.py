"""Evidence about members of the agreed list and majorities of it."""

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
    """Hold the evidence about the present holder of one name.

    Times are of the local clock. ``alive_at`` and ``agreed_at`` are lower bounds
    of a moment at which the holder ran, and at which it also knew no sequence
    above the local one; at ``alive_at`` it knew none above ``alive_sequence``.
    ``learned_at_by_sequence`` and ``acknowledged_at`` are
    upper bounds of the moment at which it came to know a sequence, and to know
    this instance.
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
        """Note that at ``moment`` the holder ran and knew none above ``sequence``."""
        if moment > self.alive_at:
            self.alive_at, self.alive_sequence = moment, sequence
        if sequence <= local:
            self.confirmed_at = max(self.confirmed_at, moment)

    def recheck_confirmation(self, local: int) -> None:
        """Count evidence about sequences that the local one has reached now."""
        if self.alive_sequence <= local:
            self.confirmed_at = max(self.confirmed_at, self.alive_at)

    def learned_at(self, sequence: int) -> float:
        """Return the time by which the holder knew ``sequence``."""
        return self.learned_at_by_sequence.get(sequence, NOT_YET)

    def update_known(self, known: int, pending: Iterable[int], now: float) -> None:
        """Note that the holder knows ``known`` and all before it."""
        self.known_sequence = max(self.known_sequence, known)
        for sequence in pending:
            if sequence <= self.known_sequence:
                self.learned_at_by_sequence.setdefault(sequence, now)

    def silence_s(self, now: float) -> float:
        """Return the time since anybody is known to have heard the holder."""
        return now - max(self.alive_at, self.created_at)

    def is_counted_in(self, agreed: MemberList) -> bool:
        """Tell whether the holder counts towards the majority of a list."""
        listed = agreed.members_by_name.get(self.member.id.name)
        if listed is None:
            return False
        incarnation = self.member.id.incarnation
        if listed.id.incarnation == incarnation:
            return True
        return self.established and listed.id.incarnation < incarnation


def encode_age(moment: float, now: float) -> int:
    """Encode the age of ``moment``, rounded up; NO_AGE when it is too old."""
    age_s = now - moment
    if age_s >= AGE_UNIT_S * (NO_AGE - 1):
        return NO_AGE
    return max(0, math.ceil(age_s / AGE_UNIT_S))


def nth_largest(values: Iterable[float], position: int) -> float:
    """Return the value at ``position`` (from 1) in falling order, or NEVER."""
    ordered = sorted(values, reverse=True)
    return ordered[position - 1] if 0 < position <= len(ordered) else NEVER


@attrs.frozen
class Interval:
    """When one record learned something, and until when it is known to run."""

    start: float
    end: float


@attrs.frozen
class Quorum:
    """The intervals of the counted records of one list, and how many are needed."""

    intervals: tuple[Interval, ...]
    needed: int

    def holds_at(self, moment: float) -> bool:
        """Tell whether enough intervals contain ``moment``."""
        count = sum(
            interval.start <= moment <= interval.end for interval in self.intervals
        )
        return count >= self.needed

    def earliest_start(self) -> float:
        """Return the first moment by which enough intervals have started."""
        if self.needed <= 0:
            return NEVER
        starts = sorted(interval.start for interval in self.intervals)
        return starts[self.needed - 1] if self.needed <= len(starts) else NOT_YET

    def latest_end(self) -> float:
        """Return the last moment at which enough intervals have not ended."""
        if self.needed <= 0:
            return NOT_YET
        return nth_largest((interval.end for interval in self.intervals), self.needed)


def common_moment(quorums: Iterable[Quorum]) -> float | None:
    """Return a moment at which every quorum held, or None.

    What single members knew at different moments proves no majority: a member
    may have restarted, and forgotten, before the last one learned it.
    """
    quorums = tuple(quorums)
    earliest = max((quorum.earliest_start() for quorum in quorums), default=NEVER)
    latest = min((quorum.latest_end() for quorum in quorums), default=NOT_YET)
    for moment in (earliest, latest):
        if math.isfinite(moment) and all(q.holds_at(moment) for q in quorums):
            return moment
    return None


def build_quorum(
    agreed: MemberList,
    records: Iterable[MemberRecord],
    interval: Callable[[MemberRecord], Interval],
    needed: int | None = None,
) -> Quorum:
    """Collect the intervals of the records that count in ``agreed``."""
    counted = (record for record in records if record.is_counted_in(agreed))
    intervals = tuple(interval(record) for record in counted)
    return Quorum(intervals, agreed.majority if needed is None else needed)
