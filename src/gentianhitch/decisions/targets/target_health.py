"""How the selector sees a target: its standing."""

from __future__ import annotations

from enum import IntEnum
from typing import Protocol

from gentianhitch.decisions.interfaces import Attempt
from gentianhitch.decisions.targets.outstanding import RunningRequest
from gentianhitch.operators.document import Route


class TargetHealth(IntEnum):
    """Order of preference of a target for one request."""

    GOOD = 0
    POOR = 1
    UNUSABLE = 2


class HealthTracker(Protocol):
    """Rate targets by evidence, ejections and availability."""

    def health_of(
        self, target: str, route: Route, workspace: str | None, now: float
    ) -> TargetHealth:
        """Return the standing of ``target`` for one request."""
        ...

    def record(
        self, attempt: Attempt, ended: RunningRequest | None, now: float
    ) -> None:
        """Keep what one ended attempt shows; ``ended`` held its slot."""
        ...


class AlwaysGoodTracker:
    """Rate every target good."""

    def health_of(
        self, target: str, route: Route, workspace: str | None, now: float
    ) -> TargetHealth:
        """Return GOOD."""
        return TargetHealth.GOOD

    def record(
        self, attempt: Attempt, ended: RunningRequest | None, now: float
    ) -> None:
        """Keep nothing."""
