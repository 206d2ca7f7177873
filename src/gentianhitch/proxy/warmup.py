"""Decide whether an instance may send one more request to a cold server.

A server that is cold crashes if it gets more requests than a limit in any one second,
over all instances. The limit is divided among the instances, so that it holds without
any message between them: each has an allowance that depends on the list of serving
instances only.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable

import attrs

WINDOW_S = 1.2
"""Longer than the second of the limit: requests sent further apart may arrive closer
together."""

RESERVATION_S = 0.5
"""Longer than the connect timeout, after which a chosen server gets no request."""

LIST_SPREAD_S = 2.0
"""Time in which all instances in contact learn of a changed list of instances."""

LISTING_CURRENT_S = 2.0
"""With an older listing, a server that is said to be cold may be warm by now."""


@attrs.frozen
class WarmupBounds:
    """How far the requests of a second may exceed the rate of a service."""

    overshoot: float
    slack: float


@attrs.frozen
class WarmupLimit:
    """The limit for the cold servers of one service.

    ``duration_s`` is the time for which a server is cold after a start under load, and
    ``most_per_s`` how many requests it may get in any one second, of which ``slack``
    are those beyond the rate.
    """

    duration_s: float
    most_per_s: float
    slack: float

    @property
    def divided(self) -> int:
        """Return how many requests are divided among the instances.

        Half of the slack is left for instances that join before all know of them.
        """
        return math.floor(self.most_per_s - self.slack / 2)

    @property
    def reserve(self) -> int:
        """Return how many requests are left for instances that join."""
        return math.floor(self.most_per_s) - self.divided


def warmup_limit(
    duration_s: float, rate_per_s: float, bounds: WarmupBounds | None
) -> WarmupLimit | None:
    """Return the limit of a service; None if there is none."""
    if bounds is None or rate_per_s <= 0:
        return None
    most_per_s = rate_per_s * bounds.overshoot + bounds.slack
    return WarmupLimit(duration_s, most_per_s, bounds.slack)


@attrs.frozen
class Share:
    """The place of an instance in a server's order of ``sharers`` instances.

    ``position`` is None if the instance is not among them.
    """

    position: int | None
    sharers: int

    def allowance(self, divided: int) -> int:
        """Return how many of ``divided`` requests fall to the instance.

        The first instances get what an even division leaves over; of more instances
        than requests only the first get any.
        """
        if self.position is None:
            return 0
        each, left = divmod(divided, self.sharers)
        return each + (self.position < left)


NO_SHARE = Share(None, 0)


@attrs.define
class SharesOfServer:
    """The current share of this instance, and those it had of late.

    What it gains by a change of the list counts only after ``LIST_SPREAD_S``: until
    then, instances that lose it may not know.
    """

    current: Share = NO_SHARE
    _former: list[tuple[float, Share]] = attrs.Factory(list)

    def replace(self, share: Share, now: float) -> None:
        """Set the current share after a change of the list of instances."""
        self._former = [each for each in self._former if each[0] > now]
        self._former.append((now + LIST_SPREAD_S, self.current))
        self.current = share

    def add_former(self, until_s: float, share: Share) -> None:
        """Add the share in an earlier list, for a server that is listed only now."""
        self._former.append((until_s, share))

    def allowance(self, limit: WarmupLimit, now: float) -> int:
        """Return how many requests this instance may send in ``WINDOW_S``."""
        shares = [self.current]
        shares += [share for until_s, share in self._former if until_s > now]
        least = min(share.allowance(limit.divided) for share in shares)
        if least == 0 and self._is_in_reserve(limit):
            return 1
        return least

    def _is_in_reserve(self, limit: WarmupLimit) -> bool:
        """Return whether one request of the reserve falls to this instance."""
        position = self.current.position
        is_first = position is not None and position < limit.reserve
        return is_first and self.current.allowance(limit.divided) > 0


@attrs.define
class SendWindow:
    """When this instance sent requests to one server, in the last ``WINDOW_S``.

    A choice counts from then on, until the request is written or its connection can't
    be opened in time any more.
    """

    _sent: deque[float] = attrs.Factory(deque)
    _chosen: deque[float] = attrs.Factory(deque)

    def has_room(self, allowance: int, now: float) -> bool:
        """Return whether one more request may be sent."""
        self._expire(now)
        return len(self._sent) + len(self._chosen) < allowance

    def is_empty(self, now: float) -> bool:
        """Return whether no request counts any more."""
        self._expire(now)
        return not (self._sent or self._chosen)

    def record_choice(self, now: float) -> None:
        """Count a request whose connection may yet have to be opened."""
        self._chosen.append(now)

    def may_write(self, allowance: int, now: float) -> bool:
        """Return whether a chosen request may be written; its choice counts no more.

        One that was chosen while the server was warm needs room of its own.
        """
        self._expire(now)
        if self._chosen:
            self._chosen.popleft()
        return self.has_room(allowance, now)

    def record_send(self, now: float) -> None:
        """Count a request that is written."""
        self._expire(now)
        self._sent.append(now)

    def room_in_s(self, allowance: int, now: float) -> float:
        """Return after how long there is room; ``allowance`` is above 0."""
        if self.has_room(allowance, now):
            return 0.0
        ends = [at_s + WINDOW_S for at_s in self._sent]
        ends += [at_s + RESERVATION_S for at_s in self._chosen]
        return sorted(ends)[len(ends) - allowance] - now

    def _expire(self, now: float) -> None:
        _drop_until(self._sent, now - WINDOW_S)
        _drop_until(self._chosen, now - RESERVATION_S)


def share_of(own: int | None, others: Iterable[int], sharers: int) -> Share:
    """Return the share of the instance with digest ``own`` for one server.

    The order is by falling digest of instance and server, different for each server;
    ``own`` is None if the instance is not listed.
    """
    if own is None:
        return Share(None, sharers)
    return Share(sum(other > own for other in others), sharers)


def _drop_until(times: deque[float], until_s: float) -> None:
    while times and times[0] <= until_s:
        times.popleft()
