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

GRAY_SHARE = 0.12
"""Part of the time that a server is assumed to be gray."""

GRAY_FOR_S = 6.0
"""Mean length of a gray period; the pages say several seconds."""

FAILS_WHEN_GRAY = 0.7
"""Part of the requests that a gray server is assumed to fail."""

FAILS_WHEN_HEALTHY = 0.015
ERRORS_WHEN_GRAY = 0.15
"""Gray servers hang more often than they answer with an error."""

SLOW_WHEN_HEALTHY = 0.05
SLOW_WHEN_GRAY = 0.35
MIN_SURVIVAL = 0.002

_RELAX_PER_S = 1.0 / (GRAY_FOR_S * (1.0 - GRAY_SHARE))
_MIN_PROBABILITY = 0.001
_MAX_PROBABILITY = 0.999

_FAILED = FAILS_WHEN_GRAY / FAILS_WHEN_HEALTHY
_ERROR = ERRORS_WHEN_GRAY / FAILS_WHEN_HEALTHY
_SLOW = (1.0 - FAILS_WHEN_GRAY) * SLOW_WHEN_GRAY / SLOW_WHEN_HEALTHY
_GOOD = (1.0 - FAILS_WHEN_GRAY) * (1.0 - SLOW_WHEN_GRAY) / (1.0 - SLOW_WHEN_HEALTHY)


@attrs.frozen
class Unanswered:
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

    def succeeded(self, now: float, age_s: float, *, slow: bool) -> None:
        """Learn from a good answer, which may have been slower than most."""
        self._update(_SLOW if slow else _GOOD, age_s, now)

    def failed(self, now: float, age_s: float = 0.0) -> None:
        """Learn from the failure of a request that was sent ``age_s`` ago."""
        self._update(_FAILED, age_s, now)

    def answered_with_error(self, now: float, age_s: float) -> None:
        """Learn from an error of the server's own, which healthy ones make too."""
        self._update(_ERROR, age_s, now)

    def unanswered(self, now: float, request: Unanswered) -> None:
        """Learn from a request that was given up before its answer came."""
        self._update(_unanswered_ratio(request), request.age_s, now)

    def with_unanswered(self, requests: Iterable[Unanswered], now: float) -> float:
        """Return the probability that counts requests without an answer."""
        odds = _odds(self.probability(now))
        for request in requests:
            odds *= self._faded(_unanswered_ratio(request), request.age_s)
        return min(odds / (1.0 + odds), _MAX_PROBABILITY)

    def _update(self, ratio: float, age_s: float, now: float) -> None:
        odds = _odds(self.probability(now)) * self._faded(ratio, age_s)
        after = odds / (1.0 + odds)
        self._probability = min(max(after, _MIN_PROBABILITY), _MAX_PROBABILITY)
        self._updated_s = now

    def _faded(self, ratio: float, age_s: float) -> float:
        """Return what is left of a likelihood ratio after ``age_s``."""
        mean_odds = _odds(self._mean)
        odds = mean_odds * ratio
        then = odds / (1.0 + odds)
        rest = math.exp(-age_s * _RELAX_PER_S)
        return _odds(self._mean + (then - self._mean) * rest) / mean_odds


def hedge_survival(probability: float) -> float:
    """Return the survival at which an unanswered request more likely failed.

    Solves ``P(failed) = 1/2`` for a request sent to a server that is gray with
    ``probability``.
    """
    fails = probability * FAILS_WHEN_GRAY
    return min(fails / max(1.0 - fails, _MIN_PROBABILITY), 1.0)


def _unanswered_ratio(request: Unanswered) -> float:
    gray = FAILS_WHEN_GRAY + (1.0 - FAILS_WHEN_GRAY) * request.survival
    return max(gray / max(request.survival, MIN_SURVIVAL), 1.0)


def _odds(probability: float) -> float:
    return probability / max(1.0 - probability, _MIN_PROBABILITY)
