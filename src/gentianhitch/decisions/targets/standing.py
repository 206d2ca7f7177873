"""How the selector sees a target: its standing."""

from __future__ import annotations

from enum import IntEnum
from typing import Protocol

from gentianhitch.decisions.interfaces import Attempt
from gentianhitch.decisions.targets.outstanding import Running
from gentianhitch.operators.document import Route


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

    def record(self, attempt: Attempt, ended: Running | None, now: float) -> None:
        """Keep what one ended attempt shows; ``ended`` held its slot."""
        ...


class TrustingJudge:
    """Judge every target good."""

    def standing(
        self, target: str, route: Route, workspace: str | None, now: float
    ) -> Standing:
        """Return GOOD."""
        return Standing.GOOD

    def record(self, attempt: Attempt, ended: Running | None, now: float) -> None:
        """Keep nothing."""
