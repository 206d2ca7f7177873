"""Limit retries to one service over all instances together."""

from __future__ import annotations

from collections import deque

import attrs

SPENDABLE_SHARE = 0.95
"""Share of the budget that is used; the set of instances may change in one window."""

HEDGE_SHARE = 0.75
"""Share of the budget that hedges may use; the rest is for failed requests."""

RECENT_S = 2.0
HORIZON_S = 1.0
"""Room is left for more urgent requests to go on for so long as in ``RECENT_S``.

The budget is replenished meanwhile: with 2 to 10 s, urgent requests gained nothing and
part of the budget was left unused.
"""


@attrs.define
class _RecentTimes:
    """The times of events within the last ``span_s``."""

    span_s: float
    _times: deque[float] = attrs.Factory(deque)

    def add(self, now: float) -> None:
        """Add the present time."""
        self._times.append(now)

    def count(self, now: float) -> int:
        """Return how many times lie within the span."""
        while self._times and self._times[0] < now - self.span_s:
            self._times.popleft()
        return len(self._times)


class RetryBudget:
    """Allow retries up to a ratio of the requests plus a share of the slack.

    A retry with a priority leaves room for what more urgent requests are expected to
    need; the others take what is left, first come first served.
    """

    def __init__(self, ratio: float, slack: float, window_s: float) -> None:
        self.ratio = ratio
        self.slack = slack
        self.window_s = window_s
        self._requests = _RecentTimes(window_s)
        self._retries = _RecentTimes(window_s)
        self._wanted_by_priority: dict[int, _RecentTimes] = {}

    def record_request(self, now: float) -> None:
        """Count the first send of a request."""
        self._requests.count(now)
        self._requests.add(now)

    def try_spend(
        self,
        now: float,
        slack_share: float,
        *,
        hedge: bool = False,
        priority: int | None = None,
    ) -> bool:
        """Spend one retry; return False when the budget is used up.

        ``slack_share`` is this instance's share of the slack. A hedge is a retry of a
        request that has not failed; hedges leave a part of the budget to failed ones.
        ``priority`` is given where requests of unlike priority share the budget.
        """
        share = self.used_share(now, slack_share, hedge=hedge, priority=priority)
        is_allowed = share <= 1.0
        if is_allowed:
            self._retries.add(now)
        if priority is not None and not hedge:
            wanted = self._wanted_by_priority.setdefault(
                priority, _RecentTimes(RECENT_S)
            )
            wanted.add(now)
        return is_allowed

    def used_share(
        self,
        now: float,
        slack_share: float,
        *,
        hedge: bool = False,
        priority: int | None = None,
    ) -> float:
        """Return the share of the budget that is used with one more retry.

        It is above 1 if that isn't allowed.
        """
        allowed = self.ratio * self._requests.count(now) + self.slack * slack_share
        spendable = SPENDABLE_SHARE * allowed
        retries = self._retries.count(now)
        share = _share(retries + 1, spendable * (HEDGE_SHARE if hedge else 1.0))
        if priority is None:
            return share
        expected = sum(
            wanted.count(now) * HORIZON_S / RECENT_S
            for other, wanted in self._wanted_by_priority.items()
            if other < priority or (hedge and other == priority)
        )
        return max(share, _share(retries + 1, spendable - expected))


def _share(used: float, allowed: float) -> float:
    return used / allowed if allowed > 0 else float("inf")
