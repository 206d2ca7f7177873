"""Token bucket whose rate and cap may change and whose tokens may move."""

from __future__ import annotations

import attrs


@attrs.define
class TokenBucket:
    """Hold at most ``cap`` tokens and gain ``rate`` tokens a second.

    A bucket starts empty: tokens come only from time or from another bucket.
    """

    rate: float
    cap: float
    updated: float
    tokens: float = 0.0

    def refill(self, now: float) -> None:
        """Add the tokens gained until ``now``."""
        self._gain(self.rate, now)

    def resize(self, rate: float, cap: float, now: float) -> None:
        """Change rate and cap; the time until ``now`` earns the smaller rate.

        When exactly the change took place is unknown, so neither the rate nor the
        cap before it may earn more than both allow.
        """
        if rate == self.rate and cap == self.cap:
            self._gain(rate, now)
            return
        self.cap = min(self.cap, cap)
        self._gain(min(self.rate, rate), now)
        self.rate = max(0.0, rate)
        self.cap = max(0.0, cap)

    def remove(self, wanted: float) -> float:
        """Take up to ``wanted`` tokens out and return how many."""
        taken = min(max(0.0, wanted), self.tokens)
        self.tokens -= taken
        return taken

    def add(self, tokens: float) -> None:
        """Put tokens in; what exceeds the cap is lost."""
        self.tokens = min(self.cap, self.tokens + max(0.0, tokens))

    def empty(self, now: float) -> None:
        """Drop every token and earn again from ``now``."""
        self.tokens = 0.0
        self.updated = max(self.updated, now)

    def _gain(self, rate: float, now: float) -> None:
        elapsed = max(0.0, now - self.updated)
        self.updated = max(self.updated, now)
        self.tokens = max(0.0, min(self.cap, self.tokens + rate * elapsed))
