"""Check over all instances that no workspace runs more than its limit."""

from __future__ import annotations

import attrs

from gentianhitch.decisions.limits.errors import LimitExceededError

ROUNDING = 1e-6
"""Tokens by which sums of floating-point numbers may differ."""


@attrs.define
class _Level:
    rate: float
    burst: float
    tokens: float
    updated: float

    def refill(self, now: float) -> None:
        self.tokens = min(
            self.burst, self.tokens + self.rate * max(0.0, now - self.updated)
        )
        self.updated = now


class FleetLedger:
    """Hold one bucket for each workspace, which every admission must fit.

    With rate and burst of the state in force, "requests run <= rate x window +
    burst in every window" says the same as that this bucket never falls below 0.
    """

    def __init__(self) -> None:
        self._levels_by_workspace: dict[str, _Level] = {}

    def limit(self, workspace: str, rate: float, burst: float, now: float) -> None:
        """Apply the limit of a state that is in force from ``now`` on."""
        level = self._levels_by_workspace.get(workspace)
        if level is None:
            self._levels_by_workspace[workspace] = _Level(rate, burst, burst, now)
            return
        level.refill(now)
        level.rate, level.burst = rate, burst
        level.tokens = min(level.tokens, burst)

    def has_token(self, workspace: str, now: float) -> bool:
        """Tell whether one limiter for the whole fleet would admit a request."""
        level = self._levels_by_workspace[workspace]
        level.refill(now)
        return level.tokens >= 1.0 - ROUNDING

    def admit(self, workspace: str, now: float) -> None:
        """Count one request that runs; raise LimitExceededError if it is too many."""
        if not self.has_token(workspace, now):
            tokens = self._levels_by_workspace[workspace].tokens
            raise LimitExceededError(
                f"workspace {workspace!r} has {tokens:.6f} tokens left at {now:.3f} s"
            )
        self._levels_by_workspace[workspace].tokens -= 1.0
