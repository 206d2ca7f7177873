"""Estimate the demand of a workspace at this instance."""

from __future__ import annotations

import math

import attrs

from gentianhitch.decisions.limits.constants import DEMAND_TIME_CONSTANT_S

MAX_IDLE_ARRIVALS = 1.5
"""Requests expected during a silence before the estimate is lowered."""


@attrs.define
class Demand:
    """Average arrivals with weights that decay over ``DEMAND_TIME_CONSTANT_S``."""

    updated: float
    _rate: float = 0.0

    def observe(self, now: float) -> None:
        """Count one arrival."""
        self._rate = self.rate(now) + 1.0 / DEMAND_TIME_CONSTANT_S
        self.updated = now

    def rate(self, now: float) -> float:
        """Return the average arrivals in requests/s."""
        return self._rate * math.exp(
            -max(0.0, now - self.updated) / DEMAND_TIME_CONSTANT_S
        )

    def rate_after_silence(self, now: float) -> float:
        """Return the average, lowered at once when arrivals have ceased."""
        silence_s = max(now - self.updated, 1e-6)
        return min(self.rate(now), MAX_IDLE_ARRIVALS / silence_s)
