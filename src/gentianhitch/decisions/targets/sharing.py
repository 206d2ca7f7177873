"""Derive an instance's part of the slots and connections of a target."""

from __future__ import annotations

from collections.abc import Sequence

import attrs

from gentianhitch.decisions.rendezvous import order_members
from gentianhitch.instances.identity import Member
from gentianhitch.operators.document import BackendServer

STEERED_PART = 0.8
"""Part of a target's connections that the steered instances divide."""

MIN_ALLOWANCE = 0.25
SHED_FACTOR = 0.5
GROWTH_PER_ANSWER = 0.02
GROWTH_PER_S = 0.5
FIRST_PAUSE_S = 0.004
MAX_PAUSE_S = 1.0


@attrs.frozen
class Part:
    """What one instance may use of a target; ``slots`` are its own ones."""

    slots: int
    connections: int


def part_of(
    target: BackendServer,
    name: str,
    members: Sequence[Member],
    steered_members: Sequence[Member],
) -> Part:
    """Derive the part of instance ``name``; all parts stay below the limits.

    Each slot belongs to one steered instance, dealt by rendezvous hash, so the
    parts add up to the slots without a message. Instances that are not steered
    get a connection each from the rest of the connections, if it reaches.
    """
    ranked = [member.id.name for member in order_members(target.name, steered_members)]
    for_steered = int(target.connections * STEERED_PART)
    if name in ranked:
        place = ranked.index(name)
        slots = len(range(place, target.slots, len(ranked)))
        return Part(slots, min(target.slots, for_steered // len(ranked)))
    others = max(len(members) - len(ranked), 1)
    spare = (target.connections - for_steered) // others
    return Part(0, min(target.slots, spare))


@attrs.define
class Allowance:
    """Grow and shrink what an instance uses beyond its own slots of a target.

    A target that sheds says truthfully that it ran nothing, so sheds are the
    feedback: additive increase on answers, multiplicative decrease on sheds.
    """

    extra: float = 1.0
    _updated: float = 0.0
    _pause_s: float = 0.0
    _paused_until: float = 0.0

    def answered(self) -> None:
        """Note an answer that was given while beyond the own slots."""
        self.extra += GROWTH_PER_ANSWER
        self._pause_s = 0.0

    def shed(self, now: float) -> None:
        """Note that the target shed a request."""
        self.extra = max(self.extra * SHED_FACTOR, MIN_ALLOWANCE)
        self._pause_s = min(max(self._pause_s * 2, FIRST_PAUSE_S), MAX_PAUSE_S)
        self._paused_until = now + self._pause_s

    def is_paused(self, now: float) -> bool:
        """Tell whether the target shed so lately that it gets nothing now."""
        return now < self._paused_until

    def slots(self, limit: int, now: float) -> int:
        """Return the slots beyond the own ones that may be used at ``now``."""
        if self.extra < 1.0:
            grown = self.extra + GROWTH_PER_S * max(now - self._updated, 0.0)
            self.extra = min(grown, 1.0)
        self.extra = min(self.extra, float(limit))
        self._updated = now
        return int(self.extra)
