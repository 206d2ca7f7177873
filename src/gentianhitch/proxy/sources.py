"""Decide from where an instance refreshes its view of the store.

In each failure domain the first instance of a common order reads the store; the others
query it and the second one. Those with the fastest links come first, since a reader
sends every change to all others. An instance that sends no fresh reply is skipped for a
backoff time, so that the next one reads the store, without an election.
"""

from __future__ import annotations

from collections.abc import Iterable
from itertools import islice

import attrs
import xxhash

from gentianhitch.proxy.model import DEFAULT_LINK_MBPS
from gentianhitch.proxy.model import Peer

REFRESHES_PER_BOUND = 4
"""Reads of the store within the time in which a change must be in force."""

REFRESH_INTERVAL_S = 0.5
MAX_REFRESH_INTERVAL_S = 0.75

QUERY_INTERVAL_S = 0.25
"""Datagrams within a failure domain are free of charge and cost little CPU time."""

MAX_READERS_QUERIED = 2
"""Readers queried at once, so that the view stays fresh when one of them fails."""

REPLY_TIMEOUT_S = 0.35
"""Longer than a round trip between failure domains plus the delay of a lost packet."""

REPLY_AGE_MARGIN_S = 0.1
"""A view older than two refreshes shows that the sender can't refresh it."""

PEER_BACKOFF_S = 3.0
MAX_PEER_BACKOFF_S = 12.0
"""The backoff doubles with each consecutive timeout."""

FALLBACK_READ_MARGIN_S = 1.1
"""Age of a view, beyond one refresh, at which an instance reads the store itself."""

FALLBACK_READ_INTERVAL_S = 0.7
MAX_READ_INTERVAL_S = 2.8
"""The interval doubles with each failed read, since refused calls are charged too.

It grows to FALLBACK_READ_INTERVAL_S for each instance at most: the first successful
read is told to all, and a lone instance learns of the store's return by its own only.
"""

RETURN_MARGIN_S = 0.1
"""A read is started this long after its interval has passed, at most."""

MAX_INTERVAL_REDUCTION = 0.5
MAX_RANK = 2**32 - 1

MAX_DOUBLINGS = 8
"""Bounds the exponent; the longest interval is reached before."""

FALLBACK_PEERS_QUERIED = 3


@attrs.frozen
class RefreshStep:
    """Whether to read the store now, and which peers to query."""

    read_store: bool
    peers: tuple[Peer, ...]


def rank(name: str) -> int:
    """Return a hash of the name, which orders instances arbitrarily but alike."""
    return xxhash.xxh32_intdigest(name.encode())


def reading_order(peers: Iterable[Peer]) -> list[Peer]:
    """Return peers in the order in which they read the store."""
    return sorted(peers, key=lambda peer: _order_key(peer.name, peer.link_mbps))


def _order_key(name: str, link_mbps: float) -> tuple[float, int]:
    return (-link_mbps, rank(name))


def refresh_interval(bound_s: float) -> float:
    """Return the interval of reads with which changes are in force in ``bound_s``."""
    return min(
        max(bound_s / REFRESHES_PER_BOUND, REFRESH_INTERVAL_S), MAX_REFRESH_INTERVAL_S
    )


@attrs.define
class RefreshPlan:
    """Choose between reads and queries by the outcome of earlier ones."""

    name: str
    failure_domain: str
    link_mbps: float = DEFAULT_LINK_MBPS
    interval_s: float = REFRESH_INTERVAL_S
    _backoff_until_by_name: dict[str, float] = attrs.Factory(dict)
    _timeouts_by_name: dict[str, int] = attrs.Factory(dict)
    _queried_at_by_name: dict[str, float] = attrs.Factory(dict)
    _last_read_s: float = float("-inf")
    _failed_reads: int = 0
    _failed_read_started_s: float | None = None
    _last_query_s: float = float("-inf")
    _next_peer_index: int = 0
    _has_reply: bool = False
    _peers: tuple[Peer, ...] = ()
    _others_in_order: list[Peer] = attrs.Factory(list)
    _domain_before_self: list[Peer] = attrs.Factory(list)

    @property
    def fallback_read_age_s(self) -> float:
        """Return the age of a view at which the place in the order doesn't matter."""
        return self.interval_s + FALLBACK_READ_MARGIN_S

    def record_reply(self, name: str, age_s: float, now: float) -> None:
        """Record a reply with a view of ``age_s``; one too old counts as a timeout."""
        self._queried_at_by_name.pop(name, None)
        self._has_reply = True
        if age_s > 2 * self.interval_s + REPLY_AGE_MARGIN_S:
            self._back_off(name, now)
        else:
            self._backoff_until_by_name.pop(name, None)
            self._timeouts_by_name.pop(name, None)

    def record_read(self, started_s: float, *, succeeded: bool) -> None:
        """Record the outcome of a read of the store that began at ``started_s``."""
        if succeeded:
            self._failed_reads = 0
            self._failed_read_started_s = None
        else:
            self._failed_reads = min(self._failed_reads + 1, MAX_DOUBLINGS)
            self._failed_read_started_s = started_s

    def latest_return_s(self, now: float) -> float:
        """Return when the store was back at the latest, if a read succeeds at ``now``.

        A read that fails after the return, since it hangs on a connection from before,
        does not delay it.
        """
        if self._failed_read_started_s is None:
            return now
        longest_s = self._max_retry_interval_s() + RETURN_MARGIN_S
        return min(now, self._failed_read_started_s + longest_s)

    def next_step(self, peers: Iterable[Peer], age_s: float, now: float) -> RefreshStep:
        """Return what to do at ``now`` with a view of ``age_s``."""
        self._expire(now)
        self._set_peers(tuple(peers))
        readers = self._readers(now)
        interval_s = self.interval_s if not readers else FALLBACK_READ_INTERVAL_S
        if self._failed_reads:
            interval_s = self._retry_interval_s()
        is_due = now - self._last_read_s >= interval_s
        must_read = is_due and (not readers or age_s > self.fallback_read_age_s)
        to_query: tuple[Peer, ...] = ()
        if now - self._last_query_s >= QUERY_INTERVAL_S:
            to_query = self._peers_to_query(readers, age_s)
        if must_read:
            self._last_read_s = now
        if to_query:
            self._last_query_s = now
            for peer in to_query:
                self._queried_at_by_name.setdefault(peer.name, now)
        return RefreshStep(must_read, to_query)

    def _retry_interval_s(self) -> float:
        """Return the interval after failed reads, different for each instance.

        If all read in step, the store would be back for as long before anyone knew.
        """
        longest_s: float = min(
            FALLBACK_READ_INTERVAL_S * 2 ** (self._failed_reads - 1),
            self._max_retry_interval_s(),
        )
        part = rank(f"{self.name} {self._failed_reads}") / MAX_RANK
        return longest_s * (1.0 - MAX_INTERVAL_REDUCTION * part)

    def _max_retry_interval_s(self) -> float:
        instances = 1 + len(self._others_in_order)
        return min(FALLBACK_READ_INTERVAL_S * instances, MAX_READ_INTERVAL_S)

    def _set_peers(self, peers: tuple[Peer, ...]) -> None:
        """Derive the orders of peers, unless these are the same as before."""
        if peers == self._peers:
            return
        self._peers = peers
        others = [peer for peer in peers if peer.name != self.name]
        self._retain_peers({peer.name for peer in others})
        own_key = _order_key(self.name, self.link_mbps)
        self._others_in_order = reading_order(others)
        self._domain_before_self = [
            peer
            for peer in self._others_in_order
            if peer.failure_domain == self.failure_domain
            and _order_key(peer.name, peer.link_mbps) < own_key
        ]

    def _readers(self, now: float) -> list[Peer]:
        """Return the first available instances before this one in the order."""
        available = (
            peer
            for peer in self._domain_before_self
            if self._backoff_until_by_name.get(peer.name, 0.0) <= now
        )
        return list(islice(available, MAX_READERS_QUERIED))

    def _peers_to_query(self, readers: list[Peer], age_s: float) -> tuple[Peer, ...]:
        to_query = list(readers)
        ordered = self._others_in_order
        asks_nobody = not self._domain_before_self and not self._has_reply
        if (age_s > self.fallback_read_age_s or asks_nobody) and ordered:
            # The failure domain may be partitioned: query all peers in turn. Peers also
            # know what a store has lost that returned from a copy before the start.
            for _ in range(FALLBACK_PEERS_QUERIED):
                self._next_peer_index += 1
                index = rank(self.name) + self._next_peer_index
                to_query.append(ordered[index % len(ordered)])
        return tuple(dict.fromkeys(to_query))

    def _expire(self, now: float) -> None:
        for name, queried_s in tuple(self._queried_at_by_name.items()):
            if now - queried_s > REPLY_TIMEOUT_S:
                del self._queried_at_by_name[name]
                self._back_off(name, now)
                self._last_query_s = float("-inf")

    def _retain_peers(self, names: set[str]) -> None:
        for name in self._timeouts_by_name.keys() - names:
            del self._timeouts_by_name[name]
            self._backoff_until_by_name.pop(name, None)

    def _back_off(self, name: str, now: float) -> None:
        timeouts = self._timeouts_by_name.get(name, 0)
        self._timeouts_by_name[name] = timeouts + 1
        self._backoff_until_by_name[name] = now + min(
            PEER_BACKOFF_S * 2**timeouts, MAX_PEER_BACKOFF_S
        )
