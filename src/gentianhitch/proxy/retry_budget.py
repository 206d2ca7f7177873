"""Limit retries to one service over all instances together."""

from __future__ import annotations

from collections import deque

import attrs

SPENDABLE_SHARE = 0.95
"""Share of the budget that is used; the set of instances may change in one window."""

HEDGE_SHARE = 0.75
"""Share of the budget that hedges may use; the rest is for failed requests."""


@attrs.define
class RetryBudget:
    """Allow retries up to a ratio of the requests plus a share of the slack."""

    ratio: float
    slack: float
    window_s: float
    _requests: deque[float] = attrs.Factory(deque)
    _retries: deque[float] = attrs.Factory(deque)

    def record_request(self, now: float) -> None:
        """Count the first send of a request."""
        _drop_before(self._requests, now - self.window_s)
        self._requests.append(now)

    def try_spend(self, now: float, slack_share: float, *, hedge: bool = False) -> bool:
        """Spend one retry; return False when the budget is used up.

        ``slack_share`` is this instance's share of the slack. A hedge is a retry of a
        request that has not failed; hedges leave a part of the budget to failed ones.
        """
        allowed = self._allowed(now, slack_share)
        share = SPENDABLE_SHARE * (HEDGE_SHARE if hedge else 1.0)
        if len(self._retries) + 1 > share * allowed:
            return False
        self._retries.append(now)
        return True

    def used_share(self, now: float, slack_share: float) -> float:
        """Return the share of the spendable budget that is spent, at most 1."""
        allowed = SPENDABLE_SHARE * self._allowed(now, slack_share)
        used = len(self._retries) + 1
        return min(used / allowed, 1.0) if allowed > 0 else 1.0

    def _allowed(self, now: float, slack_share: float) -> float:
        _drop_before(self._requests, now - self.window_s)
        _drop_before(self._retries, now - self.window_s)
        return self.ratio * len(self._requests) + self.slack * slack_share


def _drop_before(times: deque[float], before: float) -> None:
    while times and times[0] < before:
        times.popleft()
