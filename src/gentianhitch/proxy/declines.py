"""Estimate the probability that a backend server declines the next request.

The model is a hidden Markov model: a server is sound, or it declines about half of its
requests, or nearly all of them, because of a fault of its own. Each declined or
accepted request multiplies the odds of both faulty states by its likelihood ratio
(Bayes' rule). A sound server declines when it is full, so that the same decline is weak
evidence about a full server and strong evidence about a free one.
"""

from __future__ import annotations

import math

import attrs

STATE_PRIOR = 0.02
"""Prior probability of each faulty state; one decline of a free server gives 0.6."""

PARTIAL_DECLINE_PROBABILITY = 0.5
TOTAL_DECLINE_PROBABILITY = 0.97

FORGETTING_S = 1.2
"""Without evidence, a belief decays by 1/e in this time, and to a twelfth in 3 s."""

FREE_DECLINE_PROBABILITY = 0.01
"""Probability that a sound server with all slots free declines a request."""

FULL_DECLINE_PROBABILITY = 0.95
"""The same with all slots busy: a server without a queue declines whatever comes.

The next twenty declines of a full server then show less than one of a free server.
"""

MAX_STATE_ODDS = 50.0
"""Six accepted requests outweigh any number of declines."""

MIN_PROBABILITY = STATE_PRIOR * (
    PARTIAL_DECLINE_PROBABILITY + TOTAL_DECLINE_PROBABILITY
)
"""Probability of a decline without any evidence."""

RETRIED_DECLINE_COST = 0.3
"""Cost of a decline, in units of the loss of a request, while another attempt follows.

A server that declines half then costs as much more as one with all slots busy does.
"""

FINAL_DECLINE_COST = 3.0
"""Cost of a decline that no other attempt can follow.

It exceeds the loss of the request because the cost of a queue overstates short ones:
the queue of a sound server (up to 1.8) comes before a server that declines most.
"""


@attrs.define
class DeclineFilter:
    """The estimated probability that one server declines a request.

    States are weighed by their odds against "sound", which never fall below the prior:
    a server that accepted many requests may begin to decline at any time.
    """

    _updated_s: float = 0.0
    _partial_odds: float = STATE_PRIOR
    _total_odds: float = STATE_PRIOR
    _has_evidence: bool = False

    def probability(self, now: float) -> float:
        """Return the probability that the server declines a request at ``now``."""
        if not self._has_evidence:
            return MIN_PROBABILITY
        partial, total = self._odds_at(now)
        return (
            PARTIAL_DECLINE_PROBABILITY * partial + TOTAL_DECLINE_PROBABILITY * total
        ) / (1.0 + partial + total)

    def record_decline(self, running: int, slots: int, now: float) -> None:
        """Record a decline by a server with ``running`` other requests at the send."""
        sound = sound_decline_probability(running, slots)
        partial, total = self._odds_at(now)
        partial *= _decline_ratio(PARTIAL_DECLINE_PROBABILITY, sound)
        total *= _decline_ratio(TOTAL_DECLINE_PROBABILITY, sound)
        # Both are reduced together: their ratio tells the faulty states apart.
        excess = max(partial, total, MAX_STATE_ODDS) / MAX_STATE_ODDS
        self._set(partial / excess, total / excess, now)
        self._has_evidence = True

    def record_accepted(self, age_s: float, now: float) -> None:
        """Record that the server ran a request that was sent ``age_s`` ago."""
        if not self._has_evidence:
            return
        partial, total = self._odds_at(now)
        weight = math.exp(-max(age_s, 0.0) / FORGETTING_S)
        partial *= (1.0 - PARTIAL_DECLINE_PROBABILITY) ** weight
        total *= (1.0 - TOTAL_DECLINE_PROBABILITY) ** weight
        self._set(partial, total, now)
        self._has_evidence = max(partial, total) > STATE_PRIOR

    def _set(self, partial: float, total: float, now: float) -> None:
        self._partial_odds = max(partial, STATE_PRIOR)
        self._total_odds = max(total, STATE_PRIOR)
        self._updated_s = now

    def _odds_at(self, now: float) -> tuple[float, float]:
        """Return the odds of both faulty states, decayed up to ``now``."""
        elapsed_s = max(now - self._updated_s, 0.0)
        decay = math.exp(-elapsed_s / FORGETTING_S)
        scale = decay / (1.0 + self._partial_odds + self._total_odds)
        # The prior probabilities hardly differ from the prior odds.
        prior = STATE_PRIOR * (1.0 - decay)
        partial = prior + self._partial_odds * scale
        total = prior + self._total_odds * scale
        sound = 1.0 - partial - total
        return partial / sound, total / sound


def sound_decline_probability(running: int, slots: int) -> float:
    """Return the probability that a sound server declines one more request.

    It grows by the same factor for each busy slot, also before the server is full:
    what an instance knows of the others' requests is some tenths of a second old.
    """
    load = running / max(slots, 1)
    growth = FULL_DECLINE_PROBABILITY / FREE_DECLINE_PROBABILITY
    return float(FREE_DECLINE_PROBABILITY * growth ** min(load, 1.0))


def decline_cost(*, can_retry: bool, budget_used: float) -> float:
    """Return the cost of a decline, given whether another attempt may follow it.

    ``budget_used`` is the share of the retry budget that is spent. The cost stays low
    up to half of the budget, and reaches that of a final decline at its end.
    """
    if not can_retry:
        return FINAL_DECLINE_COST
    shortage = max(min(budget_used, 1.0) - 0.5, 0.0) * 2.0
    return RETRIED_DECLINE_COST + shortage**2 * (
        FINAL_DECLINE_COST - RETRIED_DECLINE_COST
    )


def _decline_ratio(faulty: float, sound: float) -> float:
    """Return the likelihood ratio of a decline.

    A fault and fullness decline independently.
    """
    return (faulty + (1.0 - faulty) * sound) / sound
