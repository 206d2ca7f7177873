"""Decide whether failed connects say something about the servers or the own link.

Connects to several servers that time out at once, while hardly any server answers,
are evidence about this instance's own link: it is full or cut. If only servers of one
failure domain time out, that domain is more likely at fault.
"""

from __future__ import annotations

from collections import Counter
from collections import deque

import attrs

CONNECT_WINDOW_S = 1.0
"""Two connect timeouts and a margin: what is older says little of the link now."""

ROUND_TRIP_S = 0.4
"""The connect timeout; answers within it show that connects would succeed too."""

MIN_TIMED_OUT_SERVERS = 3
"""Two servers may well fail together by chance."""

MIN_TIMED_OUT_OF_DOMAIN = 2
"""Servers of a failure domain that time out before others of it are avoided."""

MAX_ANSWERED_SHARE = 1 / 3
"""Servers that answer, as a share of those that time out, up to which the link counts
as full: over a full link some connects still succeed."""

RECOVERY_CONNECTS = 2
"""Connects in a row after which the link counts as sound; one may be luck."""

PROBE_INTERVAL_S = 0.2
"""Half the connect timeout, so that two probes are under way at most."""

MAX_SUSPECTED_S = 3.0
"""Time after the last failed connect at which nothing is known of the link any more."""


@attrs.frozen
class LinkBelief:
    """What an instance believes of its link, and the servers behind the belief."""

    is_suspected: bool
    timed_out: int
    answered: int
    failure_domains: int


@attrs.frozen
class _Contact:
    server: str
    failure_domain: str
    at_s: float


@attrs.define
class OwnLink:
    """Judge the own link by timed-out connects and answers within a connect timeout.

    ``failure_domains`` is the number of those that have listed servers.
    """

    failure_domains: int = 1
    _timed_out: deque[_Contact] = attrs.Factory(deque)
    _answered: deque[_Contact] = attrs.Factory(deque)
    _is_suspected: bool = False
    _trusted_since_s: float = float("-inf")
    _connects_in_a_row: int = 0
    _last_timeout_s: float = float("-inf")
    _last_connect_s: float = float("-inf")
    _last_probe_s: float = float("-inf")

    def record_answer(
        self, server: str, failure_domain: str, now: float, *, is_connect: bool
    ) -> None:
        """Record a connect or response within ``ROUND_TRIP_S``.

        Only connects end a suspicion.
        """
        self._answered.append(_Contact(server, failure_domain, now))
        if is_connect:
            self._connects_in_a_row += 1
            self._last_connect_s = now
        if self._is_suspected and self._connects_in_a_row >= RECOVERY_CONNECTS:
            self._trust(now)

    def record_timeout(self, server: str, failure_domain: str, now: float) -> None:
        """Record a connect that was not answered within ``ROUND_TRIP_S``."""
        self._expire(now)
        self._timed_out.append(_Contact(server, failure_domain, now))
        if now - ROUND_TRIP_S >= self._last_connect_s:
            # Others began before the last connect that succeeded.
            self._connects_in_a_row = 0
        self._last_timeout_s = now
        if not self._is_suspected and self._points_at_link():
            self._is_suspected = True
            self._connects_in_a_row = 0

    def is_suspected(self, now: float) -> bool:
        """Return whether the own link is probably full or cut."""
        if self._is_suspected and now - self._last_timeout_s > MAX_SUSPECTED_S:
            self._trust(now)
        return self._is_suspected

    def belief(self, now: float) -> LinkBelief:
        """Return what is believed and the evidence of the last second."""
        is_suspected = self.is_suspected(now)
        self._expire(now)
        return LinkBelief(
            is_suspected,
            len({each.server for each in self._timed_out}),
            len(self._answered_since_first_timeout()),
            len({each.failure_domain for each in self._timed_out}),
        )

    def timed_out_servers(self, now: float) -> frozenset[str]:
        """Return the servers with a failed connect in the window."""
        self._expire(now)
        return frozenset(each.server for each in self._timed_out)

    def silent_domains(self, now: float) -> frozenset[str]:
        """Return failure domains of which several servers time out and few answer."""
        self._expire(now)
        timed_out = _count_by_domain(
            {each.server: each.failure_domain for each in self._timed_out}
        )
        answered = _count_by_domain(self._answered_since_first_timeout())
        return frozenset(
            domain
            for domain, count in timed_out.items()
            if count >= MIN_TIMED_OUT_OF_DOMAIN
            and answered[domain] <= MAX_ANSWERED_SHARE * count
        )

    def try_probe(self, now: float) -> bool:
        """Return whether to probe the link now with one connect."""
        if now - self._last_probe_s < PROBE_INTERVAL_S:
            return False
        self._last_probe_s = now
        return True

    def _trust(self, now: float) -> None:
        self._is_suspected = False
        self._trusted_since_s = now

    def _expire(self, now: float) -> None:
        oldest_s = now - CONNECT_WINDOW_S
        while self._timed_out and self._timed_out[0].at_s < oldest_s:
            self._timed_out.popleft()
        while self._answered and self._answered[0].at_s < oldest_s - ROUND_TRIP_S:
            self._answered.popleft()

    def _answered_since_first_timeout(self) -> dict[str, str]:
        """Return the domains of servers that answered, by server.

        Those that answered before the first failed connect began say nothing.
        """
        if not self._timed_out:
            return {}
        since_s = self._timed_out[0].at_s - ROUND_TRIP_S
        return {
            each.server: each.failure_domain
            for each in self._answered
            if each.at_s >= since_s
        }

    def _points_at_link(self) -> bool:
        timed_out = {
            each.server: each.failure_domain
            for each in self._timed_out
            if each.at_s - ROUND_TRIP_S >= self._trusted_since_s
        }
        answered = self._answered_since_first_timeout()
        if len(timed_out) < MIN_TIMED_OUT_SERVERS:
            return False
        if len(answered) > MAX_ANSWERED_SHARE * len(timed_out):
            return False
        if self.failure_domains == 1:
            return True
        # Without the failure domain that is most likely at fault itself, the others
        # must look the same.
        (worst, count), *_ = _count_by_domain(timed_out).most_common()
        others_timed_out = len(timed_out) - count
        others_answered = sum(domain != worst for domain in answered.values())
        return others_timed_out > others_answered


def _count_by_domain(domains_by_server: dict[str, str]) -> Counter[str]:
    return Counter(domains_by_server.values())
