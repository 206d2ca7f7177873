"""Estimate the request rate of a workspace at this instance."""

from __future__ import annotations

import math

import attrs

from gentianhitch.decisions.limits.constants import DEMAND_TIME_CONSTANT_S

MAX_IDLE_ARRIVALS = 1.5
"""Arrivals that the estimate may predict for the time since the last arrival."""


@attrs.define
class Demand:
    """Average of arrivals with weights that decay over DEMAND_TIME_CONSTANT_S."""

    updated_at: float
    _rate: float = 0.0

    def record_arrival(self, now: float) -> None:
        """Add one arrival to the average."""
        self._rate = self.rate(now) + 1.0 / DEMAND_TIME_CONSTANT_S
        self.updated_at = now

    def rate(self, now: float) -> float:
        """Return the average rate of arrivals in requests/s."""
        return self._rate * math.exp(
            -max(0.0, now - self.updated_at) / DEMAND_TIME_CONSTANT_S
        )

    def rate_after_idle(self, now: float) -> float:
        """Return the average rate, limited to MAX_IDLE_ARRIVALS per idle time.

        It drops faster than the average after arrivals have stopped.
        """
        idle_s = max(now - self.updated_at, 1e-6)
        return min(self.rate(now), MAX_IDLE_ARRIVALS / idle_s)
