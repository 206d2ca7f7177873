"""Estimate the latency distribution of one route from recent responses."""

from __future__ import annotations

from bisect import bisect_left
from bisect import insort
from collections import deque

import attrs

MAX_SAMPLES = 200
PRIOR_SAMPLES = 20
PRIOR_MEDIAN_SHARE = 0.25
"""Median of the assumed latencies, as a share of the route's objective."""

PRIOR_SPREAD = 4.0
"""Ratio of the longest assumed latency to the median."""


@attrs.define
class LatencyEstimate:
    """The empirical distribution of the last ``MAX_SAMPLES`` latencies."""

    _ordered: list[float]
    _recent: deque[float]

    @classmethod
    def from_objective(cls, objective_s: float) -> LatencyEstimate:
        """Return an estimate of assumed latencies that fit a route's objective."""
        median = PRIOR_MEDIAN_SHARE * objective_s
        half = PRIOR_SAMPLES / 2
        samples = sorted(
            median * PRIOR_SPREAD ** ((index - half) / half)
            for index in range(PRIOR_SAMPLES)
        )
        return cls(samples, deque(samples))

    def add(self, latency_s: float) -> None:
        """Add one latency; above ``MAX_SAMPLES``, drop the oldest."""
        insort(self._ordered, latency_s)
        self._recent.append(latency_s)
        if len(self._recent) > MAX_SAMPLES:
            oldest = self._recent.popleft()
            del self._ordered[bisect_left(self._ordered, oldest)]

    def survival(self, age_s: float) -> float:
        """Return the estimated share of responses that take longer than ``age_s``."""
        longer_count = len(self._ordered) - bisect_left(self._ordered, age_s)
        return (longer_count + 0.5) / (len(self._ordered) + 1)

    def quantile(self, share: float) -> float:
        """Return the latency in seconds that ``share`` of responses do not exceed."""
        index = min(int(share * len(self._ordered)), len(self._ordered) - 1)
        return self._ordered[max(index, 0)]
