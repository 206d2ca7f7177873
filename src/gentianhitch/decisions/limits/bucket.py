"""Token bucket whose rate and capacity may change and whose tokens may move."""

from __future__ import annotations

import attrs


@attrs.define
class TokenBucket:
    """Hold at most ``capacity`` tokens and gain ``rate`` tokens a second.

    A bucket starts empty: tokens come only from time or from another bucket.
    """

    rate: float
    capacity: float
    updated_at: float
    tokens: float = 0.0

    def refill(self, now: float) -> None:
        """Add the tokens gained until ``now``."""
        self._earn(self.rate, now)

    def resize(self, rate: float, capacity: float, now: float) -> None:
        """Change rate and capacity; the time until ``now`` earns the smaller rate.

        When exactly the change took place is unknown, so neither the rate nor the
        capacity before it may earn more than both allow.
        """
        if rate == self.rate and capacity == self.capacity:
            self._earn(rate, now)
            return
        self.capacity = min(self.capacity, capacity)
        self._earn(min(self.rate, rate), now)
        self.rate = max(0.0, rate)
        self.capacity = max(0.0, capacity)

    def remove(self, wanted: float) -> float:
        """Take up to ``wanted`` tokens out and return how many."""
        taken = min(max(0.0, wanted), self.tokens)
        self.tokens -= taken
        return taken

    def add(self, tokens: float) -> None:
        """Put tokens in; what exceeds the capacity is lost."""
        self.tokens = min(self.capacity, self.tokens + max(0.0, tokens))

    def empty(self, now: float) -> None:
        """Drop every token and earn again from ``now``."""
        self.tokens = 0.0
        self.updated_at = max(self.updated_at, now)

    def _earn(self, rate: float, now: float) -> None:
        elapsed = max(0.0, now - self.updated_at)
        self.updated_at = max(self.updated_at, now)
        self.tokens = max(0.0, min(self.capacity, self.tokens + rate * elapsed))
