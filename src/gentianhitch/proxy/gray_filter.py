"""Estimate the probability that a backend server fails part of its requests.

The model is a hidden Markov model: a server is healthy or gray, for all routes or for
one, and switches between these states at random. Each response, failure and pending
request multiplies the
odds by its likelihood ratio (Bayes' rule). A request is evidence of the state at the
time when it was sent, so the weight of the evidence decays with the request's age.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from collections.abc import Sequence

import attrs

GRAY_PRIOR = 0.1
"""Prior probability that a server is gray for all routes: its share of time."""

ROUTE_GRAY_PRIOR = 0.03
"""Prior probability that a server is gray for one route only, over all its routes."""

MEAN_GRAY_PERIOD_S = 6.0
"""Mean length of a gray period; the platform's pages say several seconds."""

GRAY_FAILURE_PROBABILITY = 0.7
"""Assumed probability that a gray server fails a request."""

HEALTHY_FAILURE_PROBABILITY = 0.015
GRAY_ERROR_PROBABILITY = 0.45
"""Some gray servers respond with errors, others hang."""

HEALTHY_SLOW_PROBABILITY = 0.05
GRAY_SLOW_PROBABILITY = 0.35
MIN_SURVIVAL = 0.002

_DECAY_RATE_PER_S = 1.0 / (MEAN_GRAY_PERIOD_S * (1.0 - GRAY_PRIOR))
_MIN_PROBABILITY = 0.001
_MAX_PROBABILITY = 0.999
_MIN_ODDS = _MIN_PROBABILITY
_MAX_ODDS = 1.0 / _MIN_PROBABILITY

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
    """A request without a response so far.

    ``survival`` is the share of responses that take longer than its age.
    """

    age_s: float
    survival: float


PendingByRoute = Mapping[str, Sequence[PendingRequest]]


@attrs.define
class GrayFilter:
    """The estimated probabilities that one server is gray, for each route.

    A server is healthy, gray for all routes, or gray for a single one. The result of a
    request is evidence of the state "gray for all routes" and of that of its own route:
    failures on several routes point at the server, and failures on one route with good
    responses on the others at that route. Without new evidence the probabilities decay
    to the prior ones: ``mean`` for all routes, and ``route_mean`` for the single ones
    together. States are weighed by their odds against "healthy".
    """

    _updated_s: float
    _mean: float = GRAY_PRIOR
    _route_mean: float = ROUTE_GRAY_PRIOR
    _server_odds: float = attrs.field()
    _odds_by_route: dict[str, float] = attrs.Factory(dict)

    @_server_odds.default
    def _start_at_mean(self) -> float:
        return self._mean / self._healthy_mean

    @property
    def _healthy_mean(self) -> float:
        return 1.0 - self._mean - self._route_mean

    def probability(self, route: str, now: float) -> float:
        """Return the probability that the server is gray for ``route`` at ``now``."""
        return self.probability_with_pending(route, {}, now)

    def record_success(
        self, route: str, now: float, age_s: float, *, slow: bool
    ) -> None:
        """Record a good response to a request that was sent ``age_s`` ago.

        ``slow`` marks a response that took longer than most.
        """
        self._update(route, _SLOW_RATIO if slow else _GOOD_RATIO, age_s, now)

    def record_failure(self, route: str, now: float, age_s: float = 0.0) -> None:
        """Record the failure of a request that was sent ``age_s`` ago."""
        self._update(route, _FAILURE_RATIO, age_s, now)

    def record_error(self, route: str, now: float, age_s: float) -> None:
        """Record an error response, which healthy servers send at times too."""
        self._update(route, _ERROR_RATIO, age_s, now)

    def record_abandoned(self, route: str, now: float, request: PendingRequest) -> None:
        """Record a request that was cancelled before its response came."""
        self._update(route, _pending_ratio(request), request.age_s, now)

    def probability_with_pending(
        self, route: str, pending_by_route: PendingByRoute, now: float
    ) -> float:
        """Return the probability for ``route`` with pending requests as evidence."""
        server_odds, odds_by_route = self._odds_at(now)
        for pending_route in (route, *pending_by_route):
            if pending_route not in odds_by_route:
                odds_by_route[pending_route] = self._new_route_odds(odds_by_route)
        for pending_route, requests in pending_by_route.items():
            for request in requests:
                ratio = self._decayed_ratio(_pending_ratio(request), request.age_s)
                server_odds *= ratio
                odds_by_route[pending_route] *= ratio
        odds = server_odds + odds_by_route[route]
        total = 1.0 + server_odds + sum(odds_by_route.values())
        return min(odds / total, _MAX_PROBABILITY)

    def retain_routes(self, routes: frozenset[str]) -> None:
        """Drop the evidence of all other routes."""
        for route in self._odds_by_route.keys() - routes:
            del self._odds_by_route[route]

    def _odds_at(self, now: float) -> tuple[float, dict[str, float]]:
        """Return the odds of the server and of each route, decayed up to ``now``."""
        odds_by_route = self._odds_by_route
        decay = math.exp(-max(now - self._updated_s, 0.0) * _DECAY_RATE_PER_S)
        total = 1.0 + self._server_odds + sum(odds_by_route.values())
        scale = decay / total
        server = self._mean * (1.0 - decay) + self._server_odds * scale
        route_mean = self._route_mean * (1.0 - decay) / max(len(odds_by_route), 1)
        by_route = {
            route: route_mean + odds * scale for route, odds in odds_by_route.items()
        }
        healthy = max(1.0 - server - sum(by_route.values()), _MIN_PROBABILITY)
        return server / healthy, {
            route: probability / healthy for route, probability in by_route.items()
        }

    def _new_route_odds(self, odds_by_route: dict[str, float]) -> float:
        return self._route_mean / self._healthy_mean / (len(odds_by_route) + 1)

    def _update(self, route: str, ratio: float, age_s: float, now: float) -> None:
        server_odds, odds_by_route = self._odds_at(now)
        decayed = self._decayed_ratio(ratio, age_s)
        if route not in odds_by_route:
            odds_by_route[route] = self._new_route_odds(odds_by_route)
        self._server_odds = _clamp_odds(server_odds * decayed)
        odds_by_route[route] = _clamp_odds(odds_by_route[route] * decayed)
        self._odds_by_route = odds_by_route
        self._updated_s = now

    def _decayed_ratio(self, ratio: float, age_s: float) -> float:
        """Return a likelihood ratio reduced by the age of its evidence."""
        mean_odds = _odds(self._mean)
        odds = mean_odds * ratio
        probability = odds / (1.0 + odds)
        decay = math.exp(-age_s * _DECAY_RATE_PER_S)
        return _odds(self._mean + (probability - self._mean) * decay) / mean_odds


def hedge_survival(probability: float) -> float:
    """Return the survival below which a pending request has more likely failed.

    Solves ``P(failed) = 1/2`` for a request sent to a server that is gray with
    ``probability``.
    """
    failure = probability * GRAY_FAILURE_PROBABILITY
    return min(failure / max(1.0 - failure, _MIN_PROBABILITY), 1.0)


def _pending_ratio(request: PendingRequest) -> float:
    gray = (
        GRAY_FAILURE_PROBABILITY + (1.0 - GRAY_FAILURE_PROBABILITY) * request.survival
    )
    return max(gray / max(request.survival, MIN_SURVIVAL), 1.0)


def _clamp_odds(odds: float) -> float:
    return min(max(odds, _MIN_ODDS), _MAX_ODDS)


def _odds(probability: float) -> float:
    return probability / max(1.0 - probability, _MIN_PROBABILITY)
