"""Token bucket with variable rate and capacity and transferable tokens."""

from __future__ import annotations

import attrs


@attrs.define
class TokenBucket:
    """A bucket of at most ``capacity`` tokens that earns ``rate`` tokens/s.

    It starts empty and gets tokens only from elapsed time or from another bucket.
    A bucket that started full would add tokens to the fleet when a share moves.
    """

    rate: float
    capacity: float
    updated_at: float
    tokens: float = 0.0

    def refill(self, now: float) -> None:
        """Add the tokens earned until ``now``."""
        self._earn(self.rate, now)

    def resize(self, rate: float, capacity: float, now: float) -> None:
        """Change rate and capacity; the time until ``now`` earns the smaller rate.

        The exact time of the change is unknown, so the time until ``now`` may not
        earn more than the old and the new rate and capacity both allow.
        """
        if rate == self.rate and capacity == self.capacity:
            self._earn(rate, now)
            return
        self.capacity = min(self.capacity, capacity)
        self._earn(min(self.rate, rate), now)
        self.rate = max(0.0, rate)
        self.capacity = max(0.0, capacity)

    def remove(self, amount: float) -> float:
        """Remove up to ``amount`` tokens and return the number removed."""
        taken = min(max(0.0, amount), self.tokens)
        self.tokens -= taken
        return taken

    def add(self, tokens: float) -> None:
        """Add tokens; the excess over the capacity is discarded."""
        self.tokens = min(self.capacity, self.tokens + max(0.0, tokens))

    def empty(self, now: float) -> None:
        """Discard all tokens and earn again from ``now``."""
        self.tokens = 0.0
        self.updated_at = max(self.updated_at, now)

    def _earn(self, rate: float, now: float) -> None:
        elapsed = max(0.0, now - self.updated_at)
        self.updated_at = max(self.updated_at, now)
        self.tokens = max(0.0, min(self.capacity, self.tokens + rate * elapsed))
