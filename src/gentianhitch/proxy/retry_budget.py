"""Bound repeated sends to one service over all instances together."""

from __future__ import annotations

from collections import deque

import attrs

SPENDABLE_SHARE = 0.95
"""Part of the budget that is spent: instances come and go within one window."""

HEDGE_SHARE = 0.75
"""Part of the budget that may go to repeats of requests that have not failed."""


@attrs.define
class RetryBudget:
    """Allow repeats worth a ratio of the requests and a share of the slack."""

    ratio: float
    slack: float
    window_s: float
    _requests: deque[float] = attrs.Factory(deque)
    _repeats: deque[float] = attrs.Factory(deque)

    def record_request(self, now: float) -> None:
        """Count the first send of a request."""
        _drop_old(self._requests, now - self.window_s)
        self._requests.append(now)

    def try_spend(self, now: float, slack_share: float, *, hedge: bool = False) -> bool:
        """Spend one repeat; False when the budget is used up.

        ``slack_share`` is this instance's part of the slack. A hedge repeats a
        request that has not failed, and leaves a part to those that have.
        """
        _drop_old(self._requests, now - self.window_s)
        _drop_old(self._repeats, now - self.window_s)
        allowed = self.ratio * len(self._requests) + self.slack * slack_share
        share = SPENDABLE_SHARE * (HEDGE_SHARE if hedge else 1.0)
        if len(self._repeats) + 1 > share * allowed:
            return False
        self._repeats.append(now)
        return True


def _drop_old(times: deque[float], before: float) -> None:
    while times and times[0] < before:
        times.popleft()
