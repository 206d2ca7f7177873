"""Back off from targets that this instance cannot connect to."""

from __future__ import annotations

from collections.abc import Container

import attrs

from gentianhitch.decisions.interfaces import Attempt
from gentianhitch.decisions.interfaces import Outcome

FIRST_BACKOFF_S = 1.0
MAX_BACKOFF_S = 16.0


@attrs.define
class Backoff:
    """Backoff after a failed connection, doubled at each further failure."""

    duration_s: float = 0.0
    until: float = 0.0


class ConnectBackoffs:
    """Give targets last preference from the first failed connection on.

    A failed connection executed no request, and the fault may be in the network. So
    one failure is enough to prefer other targets, but never enough to eject.
    """

    def __init__(self) -> None:
        self._backoffs_by_target: dict[str, Backoff] = {}

    def record(self, attempt: Attempt, now: float) -> None:
        """Start, extend or end the backoff from the target of an attempt."""
        if attempt.outcome is Outcome.NOT_SENT:
            backoff = self._backoffs_by_target.setdefault(attempt.target, Backoff())
            if now >= backoff.until:
                doubled_s = max(backoff.duration_s * 2, FIRST_BACKOFF_S)
                backoff.duration_s = min(doubled_s, MAX_BACKOFF_S)
                backoff.until = now + backoff.duration_s
        elif attempt.outcome is Outcome.OK:
            self._backoffs_by_target.pop(attempt.target, None)

    def is_backing_off(self, target: str, now: float) -> bool:
        """Return whether connections to ``target`` failed recently."""
        backoff = self._backoffs_by_target.get(target)
        return backoff is not None and now < backoff.until

    def keep_only(self, targets: Container[str]) -> None:
        """Delete the backoffs of targets that are not in ``targets``."""
        removed = [name for name in self._backoffs_by_target if name not in targets]
        for target in removed:
            del self._backoffs_by_target[target]
