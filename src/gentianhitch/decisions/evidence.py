"""Evidence about members of the agreed list and majorities of it."""

from __future__ import annotations

import math
from collections.abc import Callable
from collections.abc import Iterable

import attrs

from gentianhitch.decisions.agreed_list import AgreedList
from gentianhitch.instances.identity import Member
from gentianhitch.instances.messages import Standing

AGE_UNIT_S = 0.01
NO_AGE = 255
NEVER = -math.inf
NOT_YET = math.inf


@attrs.define(eq=False)
class Seat:
    """Hold the evidence about the present holder of one name.

    Times are of the local clock. ``alive_at`` and ``agreed_at`` are lower bounds
    of a moment at which the holder ran, and at which it also knew no sequence
    above the local one; at ``alive_at`` it knew none above ``alive_sequence``.
    ``reached_at_by_sequence`` and ``acknowledged_at`` are
    upper bounds of the moment at which it came to know a sequence, and to know
    this instance.
    """

    holder: Member
    since: float
    established: bool = False
    alive_at: float = NEVER
    alive_sequence: int = 0
    agreed_at: float = NEVER
    heard_at: float = NEVER
    known: int = 0
    acknowledged_at: float = NOT_YET
    standing: Standing = Standing()
    reached_at_by_sequence: dict[int, float] = attrs.Factory(dict)

    def date(self, moment: float, sequence: int, local: int) -> None:
        """Note that at ``moment`` the holder ran and knew none above ``sequence``."""
        if moment > self.alive_at:
            self.alive_at, self.alive_sequence = moment, sequence
        if sequence <= local:
            self.agreed_at = max(self.agreed_at, moment)

    def catch_up(self, local: int) -> None:
        """Count evidence about sequences that the local one has reached now."""
        if self.alive_sequence <= local:
            self.agreed_at = max(self.agreed_at, self.alive_at)

    def reached_at(self, sequence: int) -> float:
        """Return the time by which the holder knew ``sequence``."""
        return self.reached_at_by_sequence.get(sequence, NOT_YET)

    def reach(self, known: int, pending: Iterable[int], now: float) -> None:
        """Note that the holder knows ``known`` and all before it."""
        self.known = max(self.known, known)
        for sequence in pending:
            if sequence <= self.known:
                self.reached_at_by_sequence.setdefault(sequence, now)

    def silence_s(self, now: float) -> float:
        """Return the time since anybody is known to have heard the holder."""
        return now - max(self.alive_at, self.since)

    def is_counted_in(self, agreed: AgreedList) -> bool:
        """Tell whether the holder counts towards the majority of a list."""
        listed = agreed.members_by_name.get(self.holder.id.name)
        if listed is None:
            return False
        incarnation = self.holder.id.incarnation
        if listed.id.incarnation == incarnation:
            return True
        return self.established and listed.id.incarnation < incarnation


def age_byte(moment: float, now: float) -> int:
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
class Span:
    """When one seat learned something, and until when it is known to run."""

    start: float
    end: float


@attrs.frozen
class Quorum:
    """The spans of the counted seats of one list, and how many are needed."""

    spans: tuple[Span, ...]
    needed: int

    def holds_at(self, moment: float) -> bool:
        """Tell whether enough spans contain ``moment``."""
        count = sum(span.start <= moment <= span.end for span in self.spans)
        return count >= self.needed

    def earliest_start(self) -> float:
        """Return the first moment by which enough spans have started."""
        if self.needed <= 0:
            return NEVER
        starts = sorted(span.start for span in self.spans)
        return starts[self.needed - 1] if self.needed <= len(starts) else NOT_YET

    def latest_end(self) -> float:
        """Return the last moment at which enough spans have not ended."""
        if self.needed <= 0:
            return NOT_YET
        return nth_largest((span.end for span in self.spans), self.needed)


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


def quorum_of(
    agreed: AgreedList,
    seats: Iterable[Seat],
    span: Callable[[Seat], Span],
    needed: int | None = None,
) -> Quorum:
    """Collect the spans of the seats that count in ``agreed``."""
    counted = (seat for seat in seats if seat.is_counted_in(agreed))
    spans = tuple(span(seat) for seat in counted)
    return Quorum(spans, agreed.majority if needed is None else needed)
