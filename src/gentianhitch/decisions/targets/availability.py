"""Keep hints that targets give of themselves: leaving or cold."""

from __future__ import annotations

from collections.abc import Container

import attrs

from gentianhitch.decisions.interfaces import Attempt
from gentianhitch.decisions.interfaces import Outcome

LEAVING_HINT_S = 10.0
COLD_S = 10.0
COLD_AGAIN_S = 60.0
"""A target counts as cold at most once in this time, whatever it says."""


@attrs.define
class Hints:
    """What is known of one target; times are in seconds of the runtime's clock."""

    leaving_until: float = 0.0
    said_cold_until: float = 0.0
    cold_until: float = 0.0
    cold_allowed: float = 0.0
    refused: bool = False


class TargetAvailability:
    """Tell which targets leave and which start cold.

    A cold target may be slow without being gray, but only for a bounded time, so
    that a target that keeps saying "cold" is judged like any other. It counts as
    capacity only when it does not say so.
    """

    def __init__(self) -> None:
        self._hints_by_target: dict[str, Hints] = {}

    def mark_leaving(self, target: str, now: float) -> None:
        """Note that a target said that it leaves."""
        self._of(target).leaving_until = now + LEAVING_HINT_S

    def mark_serving(self, target: str) -> None:
        """Note that a target said that it does not leave."""
        self._of(target).leaving_until = 0.0

    def mark_cold(self, target: str, now: float) -> None:
        """Note that a target started, or said so."""
        hints = self._of(target)
        hints.said_cold_until = now + COLD_S
        if now >= hints.cold_allowed:
            hints.cold_until = now + COLD_S
            hints.cold_allowed = now + COLD_AGAIN_S

    def record(self, attempt: Attempt, now: float) -> None:
        """Find a restart: connections were refused and are accepted again."""
        hints = self._of(attempt.target)
        if attempt.outcome is Outcome.NOT_SENT:
            hints.refused = True
        elif attempt.outcome is Outcome.OK and hints.refused:
            hints.refused = False
            self.mark_cold(attempt.target, now)

    def is_leaving(self, target: str, now: float) -> bool:
        """Tell whether a target leaves."""
        hints = self._hints_by_target.get(target)
        return hints is not None and now < hints.leaving_until

    def reports_cold(self, target: str, now: float) -> bool:
        """Tell whether a target has no full capacity, by its own word."""
        hints = self._hints_by_target.get(target)
        return hints is not None and now < hints.said_cold_until

    def is_cold(self, target: str, now: float) -> bool:
        """Tell whether a target may be slow without being gray."""
        hints = self._hints_by_target.get(target)
        return hints is not None and now < hints.cold_until

    def is_away(self, target: str, now: float) -> bool:
        """Tell whether a target leaves or starts cold."""
        return self.is_leaving(target, now) or self.reports_cold(target, now)

    def keep_only(self, targets: Container[str]) -> None:
        """Forget every target that is not in ``targets``."""
        for target in [name for name in self._hints_by_target if name not in targets]:
            del self._hints_by_target[target]

    def _of(self, target: str) -> Hints:
        return self._hints_by_target.setdefault(target, Hints())
