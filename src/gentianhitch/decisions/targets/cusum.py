"""Accumulate evidence on one scope as cumulative sums (CUSUM)."""

from __future__ import annotations

import math

import attrs

SLOW_SHIFT = math.log(2.5)
"""Shift of the logarithm of latency that counts as slow."""

MAX_STEP = 3.0
MAX_SCORE = 12.0
DECAY_S = 10.0
RATE_S = 1.0
LEVEL_SMOOTHING = 0.05
ERROR_SMOOTHING = 0.05
MIN_ERROR_RATE = 0.005
GRAY_ERROR_RATE = 0.15
GRAY_ERROR_FACTOR = 3.0
MAX_ERROR_RATE = 0.9


@attrs.frozen
class Reference:
    """Statistics of the service's other targets, to compare a scope with.

    ``level`` is the median logarithm of their latency over the baseline,
    ``spread`` its standard deviation, ``error_rate`` the share of failures.
    """

    level: float
    spread: float
    error_rate: float


@attrs.define
class ScopeCusum:
    """Latency level and cumulative sums of one scope.

    Each sum adds up the log-likelihood ratio of "gray" to "like the others". It
    never falls below 0, so a long healthy time does not delay detection of a new
    fault, and it decays, so that old faults expire.
    """

    count: int = 0
    level: float = 0.0
    error_rate: float = 0.0
    latency_sum: float = 0.0
    failure_sum: float = 0.0
    rate: float = 0.0
    updated: float = 0.0

    def score(self, now: float) -> float:
        """Return the evidence that the scope is gray, corrected for its request rate.

        A sum of n steps passes a threshold by chance n times as often, so the
        logarithm of the rate is subtracted.
        """
        elapsed = max(now - self.updated, 0.0)
        evidence = (self.latency_sum + self.failure_sum) * math.exp(-elapsed / DECAY_S)
        return max(evidence - math.log1p(self.rate), 0.0)

    def add_latency(self, shift: float, reference: Reference, now: float) -> None:
        """Add a response's latency, as the logarithm of its ratio to the baseline."""
        self._decay(now)
        self.count += 1
        smoothing = max(1.0 / self.count, LEVEL_SMOOTHING)
        self.level += smoothing * (max(min(shift, MAX_STEP), -MAX_STEP) - self.level)
        self.add_shift(shift, reference, now)

    def add_shift(self, shift: float, reference: Reference, now: float) -> None:
        """Add evidence from latency and leave ``level`` as it is."""
        self._decay(now)
        step = SLOW_SHIFT * (shift - reference.level - SLOW_SHIFT / 2)
        step /= reference.spread**2
        step = max(min(step, MAX_STEP), -MAX_STEP)
        self.latency_sum = min(max(self.latency_sum + step, 0.0), MAX_SCORE)

    def add_result(self, failed: bool, reference: Reference, now: float) -> None:
        """Add the result of one attempt, for the failure sum and the rates."""
        self._decay(now)
        self.rate += 1 / RATE_S
        self.error_rate += ERROR_SMOOTHING * (float(failed) - self.error_rate)
        usual = min(max(reference.error_rate, MIN_ERROR_RATE), MAX_ERROR_RATE / 2)
        gray = min(max(GRAY_ERROR_RATE, GRAY_ERROR_FACTOR * usual), MAX_ERROR_RATE)
        ratio = gray / usual if failed else (1 - gray) / (1 - usual)
        self.failure_sum = min(max(self.failure_sum + math.log(ratio), 0.0), MAX_SCORE)

    def clear(self) -> None:
        """Reset both sums; the level stays."""
        self.latency_sum = self.failure_sum = 0.0

    def _decay(self, now: float) -> None:
        elapsed = now - self.updated
        if elapsed <= 0.0:
            return
        factor = math.exp(-elapsed / DECAY_S)
        self.rate *= math.exp(-elapsed / RATE_S)
        self.latency_sum *= factor
        self.failure_sum *= factor
        self.updated = now
