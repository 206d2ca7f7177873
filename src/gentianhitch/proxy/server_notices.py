"""What backend servers say of themselves in their responses.

A notice holds for one incarnation of a server, whatever its entry in the store says,
and also while the entry is missing.
"""

from __future__ import annotations

import re
from collections.abc import Iterable
from http import HTTPStatus
from random import Random

import attrs

from gentianhitch.backend_servers.complete_responses import CompleteResponse

ServerKey = tuple[str, int]

REPEAT_S = 2.0
"""A notice is repeated in reports for this time; reports may be lost."""

MAX_WAIT_S = 86_400.0
"""Longer waits than a day are taken for mistakes."""

MAX_WAIT_DIGITS = 9
"""More digits before the point are more than the longest wait."""

MAX_FRACTION_DIGITS = 9
"""More are finer than any clock here."""

_SECONDS = re.compile(rb"(?=\.?\d)0*(\d*)(\.\d*)?")

RETURN_SPREAD_S = 1.0
"""Callers that are refused together come back spread over this time."""

PRIORITY_DELAY_S = 0.25
"""Callers come back so much later for each step of lower priority."""

MAX_NOTICES = 10_000
"""More servers than one instance uses; the oldest notices are dropped beyond."""


@attrs.define
class ServerNotices:
    """The notices of all servers, from own responses and other instances' reports."""

    _received_s_by_leaving: dict[ServerKey, float] = attrs.Factory(dict)
    _own_leaving: dict[ServerKey, float] = attrs.Factory(dict)
    _wait_until_s_by_key: dict[ServerKey, float] = attrs.Factory(dict)

    def accepts_requests(self, key: ServerKey, now: float) -> bool:
        """Return whether the server may get a request at ``now``."""
        if key in self._received_s_by_leaving:
            return False
        return now >= self._wait_until_s_by_key.get(key, now)

    def record_wait(self, key: ServerKey, wait_s: float, now: float) -> float:
        """Record that a server wants no requests of this instance for ``wait_s``.

        Return when it wants some again; an earlier notice may ask for longer.
        """
        until_s = max(now + wait_s, self._wait_until_s_by_key.pop(key, now))
        self._wait_until_s_by_key[key] = until_s
        _drop_oldest(self._wait_until_s_by_key)
        return until_s

    def free_in_s(self, keys: Iterable[ServerKey], now: float) -> float | None:
        """Return after how long one of the servers takes requests again.

        None if they all leave.
        """
        waits_s = [
            max(self._wait_until_s_by_key.get(key, now) - now, 0.0)
            for key in keys
            if key not in self._received_s_by_leaving
        ]
        return min(waits_s, default=None)

    def record_leaving(self, key: ServerKey, now: float, *, own: bool = True) -> bool:
        """Record that a server leaves; return whether that was unknown.

        ``own`` if it said so in a response to this instance.
        """
        if own:
            self._own_leaving.setdefault(key, now)
            _drop_oldest(self._own_leaving)
        is_new = key not in self._received_s_by_leaving
        self._received_s_by_leaving.setdefault(key, now)
        _drop_oldest(self._received_s_by_leaving)
        return is_new

    def count_leaving(self) -> int:
        """Return how many servers are known to leave."""
        return len(self._received_s_by_leaving)

    def count_waiting(self, now: float) -> int:
        """Return how many servers want no requests at ``now``."""
        return sum(now < until_s for until_s in self._wait_until_s_by_key.values())

    def leaving_to_report(self, now: float) -> list[ServerKey]:
        """Return the servers that said of late to this instance that they leave."""
        for key, received_s in tuple(self._own_leaving.items()):
            if now - received_s > REPEAT_S:
                del self._own_leaving[key]
        return list(self._own_leaving)


def requested_wait_s(response: CompleteResponse) -> float | None:
    """Return for how long the server of a 503 wants no requests, or None.

    Values that are no number of seconds, such as dates, are ignored; of several the
    longest counts.
    """
    if response.status != HTTPStatus.SERVICE_UNAVAILABLE:
        return None
    waits_s = [
        _decode_wait(part.strip())
        for name, value in response.headers
        if name.lower() == b"retry-after"
        for part in value.split(b",")
    ]
    return max((wait_s for wait_s in waits_s if wait_s > 0), default=None)


def _decode_wait(value: bytes) -> float:
    found = _SECONDS.fullmatch(value)
    if found is None:
        return 0.0
    whole, fraction = found[1], found[2] or b"."
    if len(whole) > MAX_WAIT_DIGITS:
        return MAX_WAIT_S
    return min(float(b"0" + whole + fraction[: 1 + MAX_FRACTION_DIGITS]), MAX_WAIT_S)


def return_after_s(free_in_s: float, priority: int, random: Random) -> float:
    """Return the Retry-After for a caller of a service that is free in ``free_in_s``.

    Callers of urgent requests come back first, and no two at the same time.
    """
    spread_s = RETURN_SPREAD_S * random.random()
    return free_in_s + PRIORITY_DELAY_S * priority + spread_s


def _drop_oldest(times_by_key: dict[ServerKey, float]) -> None:
    if len(times_by_key) > MAX_NOTICES:
        del times_by_key[next(iter(times_by_key))]
