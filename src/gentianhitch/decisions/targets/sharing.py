"""Share the slots and connections of a target among the instances."""

from __future__ import annotations

from collections.abc import Sequence

import attrs

from gentianhitch.decisions.rendezvous import order_members
from gentianhitch.instances.identity import Member
from gentianhitch.operators.document import BackendServer

STEERED_SHARE = 0.8
"""Share of a target's connections that the steered instances divide."""

MIN_EXTRA_SLOTS = 0.25
SHED_FACTOR = 0.5
GROWTH_PER_RESPONSE = 0.02
GROWTH_PER_S = 0.5
FIRST_PAUSE_S = 0.004
MAX_PAUSE_S = 1.0


@attrs.frozen
class TargetQuota:
    """Slots and connections of a target that are reserved for one instance."""

    slots: int
    connections: int


def quota_for(
    target: BackendServer,
    name: str,
    members: Sequence[Member],
    steered_members: Sequence[Member],
) -> TargetQuota:
    """Return the quota of instance ``name``; all quotas together keep the limits.

    Each slot is assigned to one steered instance by rendezvous hash, so the quotas
    add up to the slots without coordination. The other instances get no slots and
    divide the remaining connections.
    """
    ranked = [member.id.name for member in order_members(target.name, steered_members)]
    for_steered = int(target.connections * STEERED_SHARE)
    if name in ranked:
        rank = ranked.index(name)
        slots = len(range(rank, target.slots, len(ranked)))
        return TargetQuota(slots, min(target.slots, for_steered // len(ranked)))
    others = max(len(members) - len(ranked), 1)
    spare = (target.connections - for_steered) // others
    return TargetQuota(0, min(target.slots, spare))


@attrs.define
class ExtraSlots:
    """Slots of a target that an instance may use beyond its quota.

    A target that sheds a request did not execute it, so sheds are safe feedback:
    additive increase on responses, multiplicative decrease on sheds (AIMD).
    """

    count: float = 1.0
    _updated: float = 0.0
    _pause_s: float = 0.0
    _paused_until: float = 0.0

    def record_response(self) -> None:
        """Increase the extra slots after a response and end the pauses."""
        self.count += GROWTH_PER_RESPONSE
        self._pause_s = 0.0

    def record_shed(self, now: float) -> None:
        """Decrease the extra slots after a shed and pause, longer each time."""
        self.count = max(self.count * SHED_FACTOR, MIN_EXTRA_SLOTS)
        self._pause_s = min(max(self._pause_s * 2, FIRST_PAUSE_S), MAX_PAUSE_S)
        self._paused_until = now + self._pause_s

    def is_paused(self, now: float) -> bool:
        """Return whether the target gets no requests since it shed recently."""
        return now < self._paused_until

    def slots(self, limit: int, now: float) -> int:
        """Return how many extra slots may be used at ``now``, at most ``limit``."""
        if self.count < 1.0:
            recovered = self.count + GROWTH_PER_S * max(now - self._updated, 0.0)
            self.count = min(recovered, 1.0)
        self.count = min(self.count, float(limit))
        self._updated = now
        return int(self.count)
