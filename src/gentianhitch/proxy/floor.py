"""Tell whether enough sound servers of a service are in use.

The evidence against a server outlasts the failure. Servers that nobody used of late
get single requests, which show whether they have recovered: those that are probably
sound at any time, the others while too few are in use and many requests fail.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable

import attrs

FLOOR_WINDOW_S = 2.0
"""In any such time, a share of the sound servers must be in use."""

MAX_UNUSED_S = 1.2
"""A server without requests for so long is at risk of a whole window without any."""

FLOOR_MARGIN = 0.05
"""Share of servers in use above the floor, since instances choose independently."""

MIN_FAILED_SHARE = 0.09
"""Below the tenth from which the platform's floor binds.

The tenth may be exceeded in any window; here only the last one is looked at.
"""

MIN_RESULTS = 10


@attrs.define
class RecentFailures:
    """The share of failed attempts among the last ones at a service."""

    _results: deque[tuple[float, bool]] = attrs.Factory(deque)
    _failed: int = 0

    def record(self, now: float, *, failed: bool) -> None:
        """Record the result of one attempt."""
        self._results.append((now, failed))
        self._failed += failed
        self._expire(now)

    def bind_floor(self, now: float) -> bool:
        """Return whether so many attempts failed that the floor may bind."""
        self._expire(now)
        return len(
            self._results
        ) >= MIN_RESULTS and self._failed > MIN_FAILED_SHARE * len(self._results)

    def is_empty(self, now: float) -> bool:
        """Return whether no attempt ended of late."""
        self._expire(now)
        return not self._results

    def failed_share(self, now: float) -> float:
        """Return the share of failed attempts, 0 without any."""
        self._expire(now)
        return self._failed / len(self._results) if self._results else 0.0

    def _expire(self, now: float) -> None:
        while self._results and self._results[0][0] < now - FLOOR_WINDOW_S:
            self._failed -= self._results.popleft()[1]


@attrs.frozen
class ServerUse:
    """When a server last got a request and last failed one, and whether it is faulty.

    ``fault_probability`` is that of being gray or of declining requests.
    """

    last_used_s: float
    last_failed_s: float
    fault_probability: float


@attrs.frozen
class ServiceUse:
    """How many servers of a service are in use, as one instance sees it.

    ``servers`` may get requests, ``sound`` of them are probably sound, and ``used`` got
    a request in the last ``FLOOR_WINDOW_S``.
    """

    servers: int
    sound: float
    used: int
    failed_share: float
    is_below_floor: bool
    is_floor_binding: bool


def is_below_floor(uses: Iterable[ServerUse], floor_share: float, now: float) -> bool:
    """Return whether too few of the sound servers were in use of late.

    A server that failed a request within ``FLOOR_WINDOW_S`` is not sound; any other
    counts by the probability that it is.
    """
    sound = used = 0.0
    for use in uses:
        if now - use.last_failed_s > FLOOR_WINDOW_S:
            probability = 1.0 - use.fault_probability
            sound += probability
            if now - use.last_used_s <= MAX_UNUSED_S:
                used += probability
    return used < min(floor_share + FLOOR_MARGIN, 1.0) * sound
