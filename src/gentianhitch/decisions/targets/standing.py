"""How the selector sees a target: its standing and its weight."""

from __future__ import annotations

from enum import IntEnum
from typing import Protocol

from gentianhitch.decisions.interfaces import Attempt
from gentianhitch.operators.document import Route

FULL_WEIGHT = 1.0


class Standing(IntEnum):
    """Order of preference of a target for one request."""

    GOOD = 0
    POOR = 1
    UNUSABLE = 2


class Judge(Protocol):
    """Judge targets from evidence, ejections and drain hints."""

    def standing(
        self, target: str, route: Route, workspace: str | None, now: float
    ) -> Standing:
        """Return the standing of ``target`` for one request."""
        ...

    def weight(self, target: str, now: float) -> float:
        """Return the part of its load that ``target`` should get, up to 1."""
        ...

    def record(self, attempt: Attempt, now: float) -> None:
        """Keep what one ended attempt shows."""
        ...


class TrustingJudge:
    """Judge every target good."""

    def standing(
        self, target: str, route: Route, workspace: str | None, now: float
    ) -> Standing:
        """Return GOOD."""
        return Standing.GOOD

    def weight(self, target: str, now: float) -> float:
        """Return the full weight."""
        return FULL_WEIGHT

    def record(self, attempt: Attempt, now: float) -> None:
        """Keep nothing."""
