"""Decide what this instance can take on, by its link and its processor.

Bytes are counted once for each direction in which they cross the link. What is known to
cross drains at the rate of the link; what remains is the time that more bytes wait.
"""

from __future__ import annotations

import math
from collections import deque

import attrs

from gentianhitch.proxy.model import DEFAULT_LINK_MBPS
from gentianhitch.proxy.model import LIMITING_LINK_MBPS

BYTES_PER_MBIT = 125_000

MESSAGE_BYTES = 600
"""Head of a request or response, with what TCP and IP add to a short message."""

REFUSED_BYTES = 8 * 1024
"""Part of a refused body that crosses the link before the connection is given up."""

REFUSED_SHARE = 0.5

MAX_QUEUE_S = 0.35
"""No further body is read while a packet and its answer wait for so long at the link.

Connects wait behind these bytes, and so do short requests.
"""

QUEUE_MEAN_S = 1.0
"""Time constant of the mean wait: one large body doesn't make an instance full."""

FULL_QUEUE_S = 0.3
"""Mean wait at the link from which an instance is full: bodies are being refused."""

FULL_LAG_S = 0.2
"""A lag of the event loop that callers see, in each of the last spans."""

LAG_SPANS = 3
"""A short lag, as at a change of the configuration, is over after one or two spans."""

FULL_PERCENT = 100
"""Fullness from which an instance is full."""

FAULTY_PERCENT = 120
"""Fullness from which an instance carries less than its link and cores let expect.

The largest value, 127, takes one byte in a report.
"""

CALM_LOAD = 0.5
"""A full instance whose load stays below for the hold time is not full any more."""

MIN_HOLD_S = 3.0
"""Callers keep the directory's addresses for up to this time."""

MAX_HOLD_S = 12.0
RELAPSE_S = 10.0
"""An instance that is full again so soon holds for twice as long as before."""


@attrs.define
class Backlog:
    """Bytes that are still to cross the link in one direction."""

    bytes_per_s: float
    _bytes: float = 0.0
    _updated_s: float = 0.0

    def add(self, size: int, now: float) -> None:
        """Add bytes that cross the link from ``now`` on."""
        self._bytes = self.remaining(now) + size
        self._updated_s = now

    def remaining(self, now: float) -> float:
        """Return the bytes that have not crossed yet."""
        elapsed_s = max(now - self._updated_s, 0.0)
        return max(self._bytes - elapsed_s * self.bytes_per_s, 0.0)


@attrs.frozen
class OwnLoad:
    """What an instance has taken on, relative to what it can: 1 is full.

    ``queue_s`` is how long a packet and its answer wait at the link on average,
    ``lag_s`` the lag of the event loop in each of the last spans. They count only if
    ``counts_load``.
    """

    queue_s: float
    lag_s: float
    is_link_suspected: bool
    counts_load: bool

    @property
    def share(self) -> float:
        """Return the load of what is loaded most."""
        if self.is_link_suspected:
            return max(self._queue_share, 1.0)
        return max(self._queue_share, self._lag_share)

    @property
    def is_faulty(self) -> bool:
        """Return whether the link or processor is full with less than it could take."""
        is_full = self.is_link_suspected or self._lag_share >= 1.0
        return is_full and self._queue_share < 1.0

    @property
    def _queue_share(self) -> float:
        return self.queue_s / FULL_QUEUE_S if self.counts_load else 0.0

    @property
    def _lag_share(self) -> float:
        return self.lag_s / FULL_LAG_S if self.counts_load else 0.0


@attrs.define
class OwnLimits:
    """Account what crosses the own link, and the lag of the event loop.

    Only an instance with a link below ``LIMITING_LINK_MBPS``, or whose deployment
    agreed on service under overload, refuses requests and reports itself full by this
    account.
    """

    link_mbps: float = DEFAULT_LINK_MBPS
    expects_pressure: bool = False
    _inbound: Backlog = attrs.field(init=False)
    _outbound: Backlog = attrs.field(init=False)
    _refused: Backlog = attrs.field(init=False)
    _mean_queue_s: float = 0.0
    _mean_s: float = 0.0
    _lags_s: deque[float] = attrs.Factory(lambda: deque(maxlen=LAG_SPANS))

    def __attrs_post_init__(self) -> None:
        """Create the accounts of both directions."""
        self._inbound = Backlog(self.bytes_per_s)
        self._outbound = Backlog(self.bytes_per_s)
        self._refused = Backlog(REFUSED_SHARE * self.bytes_per_s)

    @property
    def bytes_per_s(self) -> float:
        """Return what the link carries in each direction."""
        return self.link_mbps * BYTES_PER_MBIT

    @property
    def is_active(self) -> bool:
        """Return whether the account decides anything."""
        return self.expects_pressure or self.link_mbps < LIMITING_LINK_MBPS

    def receive(self, body_bytes: int, now: float) -> None:
        """Count a message that is being received, or has just been."""
        self._inbound.add(body_bytes + MESSAGE_BYTES, now)

    def refuse(self, body_bytes: int, now: float) -> None:
        """Count a body that is refused before it is read.

        Its caller has sent a part of it before it learns so. No more than a share of
        the link counts, so that many refusals don't keep every body from being read.
        """
        part = min(body_bytes, REFUSED_BYTES)
        if self._refused.remaining(now) <= part:
            self._refused.add(part, now)
            self._inbound.add(part, now)

    def send(self, body_bytes: int, now: float) -> None:
        """Count a message that is being sent."""
        self._outbound.add(body_bytes + MESSAGE_BYTES, now)

    def record_lag(self, lag_s: float) -> None:
        """Record the longest lag of the event loop in one span."""
        self._lags_s.append(lag_s)

    def is_idle(self, now: float) -> bool:
        """Return whether nothing is known to cross the link."""
        return not (self._inbound.remaining(now) or self._outbound.remaining(now))

    def crossing_s(self, body_bytes: int, now: float) -> float:
        """Estimate how long a body needs to cross the link in and out.

        While it is received, as many bytes leave as come in: those received before it
        are still to be sent when it is complete.
        """
        backlog = self._inbound.remaining(now) + self._outbound.remaining(now)
        return (backlog + 2 * body_bytes) / self.bytes_per_s

    def queue_s(self, now: float) -> float:
        """Return how long a packet out and its answer wait, if the link is slow."""
        return self.crossing_s(0, now) if self.is_active else 0.0

    def load(self, now: float, *, is_link_suspected: bool = False) -> OwnLoad:
        """Return what the instance has taken on; call it several times a second."""
        weight = 1.0 - math.exp(-max(now - self._mean_s, 0.0) / QUEUE_MEAN_S)
        self._mean_queue_s += weight * (self.crossing_s(0, now) - self._mean_queue_s)
        self._mean_s = now
        is_lag_known = len(self._lags_s) == LAG_SPANS
        return OwnLoad(
            self._mean_queue_s,
            min(self._lags_s) if is_lag_known else 0.0,
            is_link_suspected,
            self.is_active,
        )


@attrs.define
class Fullness:
    """Whether this instance is full, with hysteresis.

    It is full from a load of 1 on, until the load has been calm for the hold time. The
    hold time doubles when it is full again soon after: its share of the demand is more
    than it can take.
    """

    is_full: bool = False
    _hold_s: float = MIN_HOLD_S
    _calm_since_s: float = 0.0
    _ended_s: float = float("-inf")
    _percent: int = 0
    _is_faulty: bool = False

    def update(self, load: OwnLoad, now: float) -> int:
        """Return the fullness in percent, ``FULL_PERCENT`` or more while it is full.

        From ``FAULTY_PERCENT`` on it is not full by what it carries alone.
        """
        if load.share >= CALM_LOAD:
            self._calm_since_s = now
        if not self.is_full and load.share >= 1.0:
            self._begin(now)
        elif self.is_full and now - self._calm_since_s >= self._hold_s:
            self.is_full = False
            self._ended_s = now
        percent = int(load.share * FULL_PERCENT)
        if not self.is_full:
            self._is_faulty = False
            self._percent = min(percent, FULL_PERCENT - 1)
            return self._percent
        self._is_faulty = self._is_faulty or load.is_faulty
        if self._is_faulty:
            self._percent = FAULTY_PERCENT
        else:
            self._percent = min(max(percent, FULL_PERCENT), FAULTY_PERCENT - 1)
        return self._percent

    @property
    def percent(self) -> int:
        """Return the fullness as of the last update."""
        return self._percent

    def _begin(self, now: float) -> None:
        self.is_full = True
        if now - self._ended_s < RELAPSE_S:
            self._hold_s = min(2 * self._hold_s, MAX_HOLD_S)
        else:
            self._hold_s = MIN_HOLD_S
