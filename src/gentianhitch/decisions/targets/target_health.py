"""Health of targets, as the selector uses it."""

from __future__ import annotations

from enum import IntEnum
from typing import Protocol

from gentianhitch.decisions.interfaces import Attempt
from gentianhitch.decisions.targets.outstanding import ActiveRequest
from gentianhitch.operators.document import Route


class TargetHealth(IntEnum):
    """Order of preference of a target for one request."""

    GOOD = 0
    POOR = 1
    UNUSABLE = 2


class HealthTracker(Protocol):
    """Rates targets by the recorded attempts."""

    def health_of(
        self, target: str, route: Route, workspace: str | None, now: float
    ) -> TargetHealth:
        """Return the health of ``target`` for one request."""
        ...

    def record(self, attempt: Attempt, ended: ActiveRequest | None, now: float) -> None:
        """Record one attempt; ``ended`` is the request that held its slot."""
        ...


class AlwaysGoodTracker:
    """Rates every target good."""

    def health_of(
        self, target: str, route: Route, workspace: str | None, now: float
    ) -> TargetHealth:
        """Return GOOD."""
        return TargetHealth.GOOD

    def record(self, attempt: Attempt, ended: ActiveRequest | None, now: float) -> None:
        """Keep nothing."""
