"""Estimate whether a backend server fails part of its requests.

A two-state hidden Markov model: a server is healthy or gray and changes between the
two at random. Each answer, failure and unanswered request moves the odds by how much
likelier it is in one state than in the other (Bayes' rule). A request tells of the
state at the time at which it was sent, so what it tells fades with its age.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

import attrs

GRAY_PRIOR = 0.12
"""Part of the time that a server is assumed to be gray."""

MEAN_GRAY_PERIOD_S = 6.0
"""Mean length of a gray period; the pages say several seconds."""

GRAY_FAILURE_PROBABILITY = 0.7
"""Part of the requests that a gray server is assumed to fail."""

HEALTHY_FAILURE_PROBABILITY = 0.015
GRAY_ERROR_PROBABILITY = 0.15
"""Gray servers hang more often than they answer with an error."""

HEALTHY_SLOW_PROBABILITY = 0.05
GRAY_SLOW_PROBABILITY = 0.35
MIN_SURVIVAL = 0.002

_DECAY_RATE_PER_S = 1.0 / (MEAN_GRAY_PERIOD_S * (1.0 - GRAY_PRIOR))
_MIN_PROBABILITY = 0.001
_MAX_PROBABILITY = 0.999

_FAILURE_RATIO = GRAY_FAILURE_PROBABILITY / HEALTHY_FAILURE_PROBABILITY
_ERROR_RATIO = GRAY_ERROR_PROBABILITY / HEALTHY_FAILURE_PROBABILITY
_SLOW_RATIO = (
    (1.0 - GRAY_FAILURE_PROBABILITY) * GRAY_SLOW_PROBABILITY / HEALTHY_SLOW_PROBABILITY
)
_GOOD_RATIO = (
    (1.0 - GRAY_FAILURE_PROBABILITY)
    * (1.0 - GRAY_SLOW_PROBABILITY)
    / (1.0 - HEALTHY_SLOW_PROBABILITY)
)


@attrs.frozen
class PendingRequest:
    """A request without an answer so far.

    ``survival`` is the share of answers that take longer than its age.
    """

    age_s: float
    survival: float


@attrs.define
class GrayFilter:
    """Hold the probability that one server is gray.

    Without news it returns to ``mean``, the share of the time that one is.
    """

    _updated_s: float
    _mean: float = GRAY_PRIOR
    _probability: float = attrs.field()

    @_probability.default
    def _start_at_mean(self) -> float:
        return self._mean

    def probability(self, now: float) -> float:
        """Return the probability at ``now``."""
        elapsed_s = max(now - self._updated_s, 0.0)
        rest = math.exp(-elapsed_s * _DECAY_RATE_PER_S)
        return self._mean + (self._probability - self._mean) * rest

    def record_success(self, now: float, age_s: float, *, slow: bool) -> None:
        """Learn from a good answer, which may have been slower than most."""
        self._update(_SLOW_RATIO if slow else _GOOD_RATIO, age_s, now)

    def record_failure(self, now: float, age_s: float = 0.0) -> None:
        """Learn from the failure of a request that was sent ``age_s`` ago."""
        self._update(_FAILURE_RATIO, age_s, now)

    def record_error(self, now: float, age_s: float) -> None:
        """Learn from an error of the server's own, which healthy ones make too."""
        self._update(_ERROR_RATIO, age_s, now)

    def record_abandoned(self, now: float, request: PendingRequest) -> None:
        """Learn from a request that was given up before its answer came."""
        self._update(_pending_ratio(request), request.age_s, now)

    def probability_with_pending(
        self, requests: Iterable[PendingRequest], now: float
    ) -> float:
        """Return the probability that counts requests without an answer."""
        odds = _odds(self.probability(now))
        for request in requests:
            odds *= self._decayed_ratio(_pending_ratio(request), request.age_s)
        return min(odds / (1.0 + odds), _MAX_PROBABILITY)

    def _update(self, ratio: float, age_s: float, now: float) -> None:
        odds = _odds(self.probability(now)) * self._decayed_ratio(ratio, age_s)
        after = odds / (1.0 + odds)
        self._probability = min(max(after, _MIN_PROBABILITY), _MAX_PROBABILITY)
        self._updated_s = now

    def _decayed_ratio(self, ratio: float, age_s: float) -> float:
        """Return what is left of a likelihood ratio after ``age_s``."""
        mean_odds = _odds(self._mean)
        odds = mean_odds * ratio
        then = odds / (1.0 + odds)
        rest = math.exp(-age_s * _DECAY_RATE_PER_S)
        return _odds(self._mean + (then - self._mean) * rest) / mean_odds


def hedge_survival(probability: float) -> float:
    """Return the survival at which an unanswered request more likely failed.

    Solves ``P(failed) = 1/2`` for a request sent to a server that is gray with
    ``probability``.
    """
    fails = probability * GRAY_FAILURE_PROBABILITY
    return min(fails / max(1.0 - fails, _MIN_PROBABILITY), 1.0)


def _pending_ratio(request: PendingRequest) -> float:
    gray = (
        GRAY_FAILURE_PROBABILITY + (1.0 - GRAY_FAILURE_PROBABILITY) * request.survival
    )
    return max(gray / max(request.survival, MIN_SURVIVAL), 1.0)


def _odds(probability: float) -> float:
    return probability / max(1.0 - probability, _MIN_PROBABILITY)
