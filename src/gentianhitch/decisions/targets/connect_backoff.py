"""Back off from targets that this instance cannot reach."""

from __future__ import annotations

from collections.abc import Container

import attrs

from gentianhitch.decisions.interfaces import Attempt
from gentianhitch.decisions.interfaces import Outcome

FIRST_BACKOFF_S = 1.0
MAX_BACKOFF_S = 16.0


@attrs.define
class Backoff:
    """How long a path gets last preference after a failed connection."""

    length_s: float = 0.0
    until: float = 0.0


class Paths:
    """Give a path last preference from its first failed connection on.

    A failed connection ran nothing and says nothing of the target itself, so one
    is enough to order preferences, and never enough to eject.
    """

    def __init__(self) -> None:
        self._backoffs_by_target: dict[str, Backoff] = {}

    def record(self, attempt: Attempt, now: float) -> None:
        """Begin, lengthen or end the backoff of a path."""
        if attempt.outcome is Outcome.NOT_SENT:
            backoff = self._backoffs_by_target.setdefault(attempt.target, Backoff())
            if now >= backoff.until:
                doubled_s = max(backoff.length_s * 2, FIRST_BACKOFF_S)
                backoff.length_s = min(doubled_s, MAX_BACKOFF_S)
                backoff.until = now + backoff.length_s
        elif attempt.outcome is Outcome.OK:
            self._backoffs_by_target.pop(attempt.target, None)

    def is_backing_off(self, target: str, now: float) -> bool:
        """Tell whether the path to ``target`` failed lately."""
        backoff = self._backoffs_by_target.get(target)
        return backoff is not None and now < backoff.until

    def keep_only(self, targets: Container[str]) -> None:
        """Forget every target that is not in ``targets``."""
        gone = [name for name in self._backoffs_by_target if name not in targets]
        for target in gone:
            del self._backoffs_by_target[target]
