"""Estimate whether a backend server fails part of its requests.

A two-state hidden Markov model: a server is healthy or gray and changes between the
two at random. Each answer, failure and unanswered request moves the odds by how much
likelier it is in one state than in the other (Bayes' rule).
"""

from __future__ import annotations

import math

import attrs

GRAY_SHARE = 0.08
"""Part of the time that a server is assumed to be gray."""

GRAY_FOR_S = 5.0
"""Mean length of a gray period; the pages say several seconds."""

FAILS_WHEN_GRAY = 0.7
"""Part of the requests that a gray server is assumed to fail."""

FAILS_WHEN_HEALTHY = 0.015
SLOW_WHEN_HEALTHY = 0.05
SLOW_WHEN_GRAY = 0.35
MIN_SURVIVAL = 0.002

_RELAX_PER_S = 1.0 / (GRAY_FOR_S * (1.0 - GRAY_SHARE))
_MIN_PROBABILITY = 0.001
_MAX_PROBABILITY = 0.999


@attrs.define
class GrayFilter:
    """Hold the probability that one server is gray.

    Without news it returns to ``mean``, the share of the time that one is.
    """

    _updated_s: float
    _mean: float = GRAY_SHARE
    _probability: float = attrs.field()

    @_probability.default
    def _start_at_mean(self) -> float:
        return self._mean

    def probability(self, now: float) -> float:
        """Return the probability at ``now``."""
        elapsed_s = max(now - self._updated_s, 0.0)
        rest = math.exp(-elapsed_s * _RELAX_PER_S)
        return self._mean + (self._probability - self._mean) * rest

    def succeeded(self, now: float, *, slow: bool) -> None:
        """Learn from a good answer, which may have been slower than most."""
        gray = 1.0 - FAILS_WHEN_GRAY
        if slow:
            self._update(gray * SLOW_WHEN_GRAY, SLOW_WHEN_HEALTHY, now)
        else:
            self._update(gray * (1 - SLOW_WHEN_GRAY), 1 - SLOW_WHEN_HEALTHY, now)

    def failed(self, now: float) -> None:
        """Learn from a failure."""
        self._update(FAILS_WHEN_GRAY, FAILS_WHEN_HEALTHY, now)

    def _update(self, if_gray: float, if_healthy: float, now: float) -> None:
        before = self.probability(now)
        gray = before * if_gray
        after = gray / (gray + (1.0 - before) * if_healthy)
        self._probability = min(max(after, _MIN_PROBABILITY), _MAX_PROBABILITY)
        self._updated_s = now


def with_unanswered(probability: float, survivals: list[float]) -> float:
    """Return the probability that counts requests without an answer so far.

    ``survivals`` holds for each of them the share of answers that take longer.
    """
    odds = probability / max(1.0 - probability, _MIN_PROBABILITY)
    for survival in survivals:
        healthy = max(survival, MIN_SURVIVAL)
        odds *= (FAILS_WHEN_GRAY + (1.0 - FAILS_WHEN_GRAY) * survival) / healthy
    return odds / (1.0 + odds)


def hedge_survival(probability: float) -> float:
    """Return the survival at which an unanswered request more likely failed.

    Solves ``P(failed) = 1/2`` for a request sent to a server that is gray with
    ``probability``.
    """
    fails = probability * FAILS_WHEN_GRAY
    return min(fails / max(1.0 - fails, _MIN_PROBABILITY), 1.0)
