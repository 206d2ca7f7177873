"""Track which targets are leaving or starting cold."""

from __future__ import annotations

from collections.abc import Container

import attrs

from gentianhitch.decisions.interfaces import Attempt
from gentianhitch.decisions.interfaces import Outcome

LEAVING_HINT_S = 10.0
COLD_S = 10.0
COLD_GRACE_INTERVAL_S = 60.0
"""A target gets the grace of a cold start at most once in this time."""


@attrs.define
class Hints:
    """Availability of one target; times are in seconds of the runtime's clock."""

    leaving_until: float = 0.0
    reported_cold_until: float = 0.0
    cold_until: float = 0.0
    next_grace_at: float = 0.0
    refused: bool = False


class TargetAvailability:
    """Track which targets are leaving or cold, by probes, reports and restarts.

    A cold target may be slow without counting as gray, but only for a bounded time,
    so that a target that always reports itself cold is rated like any other. It
    counts as capacity only while it does not report itself cold.
    """

    def __init__(self) -> None:
        self._hints_by_target: dict[str, Hints] = {}

    def mark_leaving(self, target: str, now: float) -> None:
        """Record that a target is leaving, for LEAVING_HINT_S."""
        self._of(target).leaving_until = now + LEAVING_HINT_S

    def mark_serving(self, target: str) -> None:
        """Record that a target is not leaving."""
        self._of(target).leaving_until = 0.0

    def mark_cold(self, target: str, now: float) -> None:
        """Record a cold start, reported by the target or detected from a restart."""
        hints = self._of(target)
        hints.reported_cold_until = now + COLD_S
        if now >= hints.next_grace_at:
            hints.cold_until = now + COLD_S
            hints.next_grace_at = now + COLD_GRACE_INTERVAL_S

    def record(self, attempt: Attempt, now: float) -> None:
        """Detect a restart: connections failed, and now a request succeeds."""
        hints = self._of(attempt.target)
        if attempt.outcome is Outcome.NOT_SENT:
            hints.refused = True
        elif attempt.outcome is Outcome.OK and hints.refused:
            hints.refused = False
            self.mark_cold(attempt.target, now)

    def is_leaving(self, target: str, now: float) -> bool:
        """Return whether a target is leaving."""
        hints = self._hints_by_target.get(target)
        return hints is not None and now < hints.leaving_until

    def reports_cold(self, target: str, now: float) -> bool:
        """Return whether a target started cold and lacks its full capacity."""
        hints = self._hints_by_target.get(target)
        return hints is not None and now < hints.reported_cold_until

    def has_cold_grace(self, target: str, now: float) -> bool:
        """Return whether a target may be slow without counting as gray."""
        hints = self._hints_by_target.get(target)
        return hints is not None and now < hints.cold_until

    def is_absent(self, target: str, now: float) -> bool:
        """Return whether a target lacks capacity since it is leaving or cold."""
        return self.is_leaving(target, now) or self.reports_cold(target, now)

    def keep_only(self, targets: Container[str]) -> None:
        """Delete the hints on targets that are not in ``targets``."""
        for target in [name for name in self._hints_by_target if name not in targets]:
            del self._hints_by_target[target]

    def _of(self, target: str) -> Hints:
        return self._hints_by_target.setdefault(target, Hints())
