"""Select the instances whose addresses the directory returns to callers.

A few instances serve each failure domain, so that they have warm connections and
enough responses to detect a gray backend server early.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from collections.abc import Sequence

import attrs

from gentianhitch.proxy.model import Peer
from gentianhitch.proxy.sources import rank

MIN_SERVING = 2
"""With two, a failure domain is served without a pause when one instance fails."""

SERVING_CAPACITY_SHARE = 1 / 16
"""Share of the capacity that serves requests; fleets are sized for much more load."""

LIMITING_LINK_MBPS = 100.0
"""Slower links may be full before the processor is busy; only then do links count."""

CARRIED_SHARE = 0.9
"""Share of the needed bandwidth that the links of the serving instances carry.

All of it may need every instance where those with large capacity have slow links.
"""

LINKS_REMEMBERED_S = 60.0
"""Demand stays while instances are missing: outages of the store last some seconds."""

ROUNDING = 1e-9

STANDBY_FACTOR = 3
"""Instances near serving, as a multiple of the serving ones: most of them may fail."""


@attrs.define
class LinkMemory:
    """The bandwidth of each failure domain: the largest total of the last minute."""

    _totals_by_domain: dict[str, float] = attrs.Factory(dict)
    _past_by_domain: dict[str, deque[tuple[float, float]]] = attrs.Factory(dict)

    def update(self, totals_by_domain: dict[str, float], now: float) -> None:
        """Set the totals of the listed instances from ``now`` on."""
        for domain, total in self._totals_by_domain.items():
            if totals_by_domain.get(domain, 0.0) != total:
                past = self._past_by_domain.setdefault(domain, deque())
                past.append((now + LINKS_REMEMBERED_S, total))
        self._totals_by_domain = dict(totals_by_domain)
        for past in self._past_by_domain.values():
            while past and past[0][0] <= now:
                past.popleft()

    def next_expiry_s(self) -> float:
        """Return when the first remembered total expires."""
        ends_s = (past[0][0] for past in self._past_by_domain.values() if past)
        return min(ends_s, default=float("inf"))

    def largest(self) -> dict[str, float]:
        """Return the largest totals that are remembered, by failure domain."""
        return {
            domain: max(
                total, *(past for _, past in self._past_by_domain.get(domain, ())), 0.0
            )
            for domain, total in self._totals_by_domain.items()
        }


@attrs.define
class ServingOrder:
    """The serving instances; derived again only when the listed ones change.

    A share of the bandwidth of the last minute is covered, also while many of those
    with fast links are missing from the listing.
    """

    _peers_by_name: dict[str, Peer] = attrs.Factory(dict)
    _serving: dict[str, tuple[Peer, ...]] = attrs.Factory(dict)
    _near_serving: frozenset[str] = frozenset()
    _links: LinkMemory = attrs.Factory(LinkMemory)
    _valid_until_s: float = float("inf")

    def serving(
        self, peers_by_name: dict[str, Peer], now: float = 0.0
    ) -> dict[str, tuple[Peer, ...]]:
        """Return the instances that serve requests, by failure domain."""
        self._update(peers_by_name, now)
        return self._serving

    def is_near_serving(
        self, peers_by_name: dict[str, Peer], name: str, now: float = 0.0
    ) -> bool:
        """Return whether ``name`` serves, or would soon if some others failed."""
        self._update(peers_by_name, now)
        return name in self._near_serving

    def _update(self, peers_by_name: dict[str, Peer], now: float) -> None:
        is_changed = peers_by_name != self._peers_by_name
        # Kept when equal too: the comparison is fast while the objects are the same.
        self._peers_by_name = dict(peers_by_name)
        if not is_changed and now < self._valid_until_s:
            return
        peers = tuple(peers_by_name.values())
        self._links.update(_link_totals(peers), now)
        self._valid_until_s = self._links.next_expiry_s()
        links_by_domain = self._links.largest()
        self._serving = serving_instances(peers, links_by_domain)
        self._near_serving = near_serving(peers, links_by_domain)


def serving_instances(
    peers: Iterable[Peer], links_by_domain: dict[str, float] | None = None
) -> dict[str, tuple[Peer, ...]]:
    """Return the instances that serve requests, by failure domain.

    ``links_by_domain`` has the bandwidths in Mbit/s of which a share is covered, if not
    those of ``peers``.
    """
    return {
        domain: tuple(in_order[: _serving_count(in_order, link_mbps)])
        for domain, in_order, link_mbps in _domains(peers, links_by_domain)
    }


def near_serving(
    peers: Iterable[Peer], links_by_domain: dict[str, float] | None = None
) -> frozenset[str]:
    """Return the names of those that serve, or would soon if some others failed."""
    return frozenset(
        peer.name
        for _, in_order, link_mbps in _domains(peers, links_by_domain)
        for peer in in_order[: STANDBY_FACTOR * _serving_count(in_order, link_mbps)]
    )


def _domains(
    peers: Iterable[Peer], links_by_domain: dict[str, float] | None
) -> Iterable[tuple[str, list[Peer], float]]:
    """Return each failure domain with its peers in order and its bandwidth."""
    for domain, in_order in _serving_order(peers).items():
        link_mbps = sum(peer.link_mbps for peer in in_order)
        if links_by_domain is not None:
            link_mbps = max(link_mbps, links_by_domain.get(domain, 0.0))
        yield domain, in_order, link_mbps


def _link_totals(peers: Iterable[Peer]) -> dict[str, float]:
    totals_by_domain: dict[str, float] = {}
    for peer in peers:
        total = totals_by_domain.get(peer.failure_domain, 0.0)
        totals_by_domain[peer.failure_domain] = total + peer.link_mbps
    return totals_by_domain


def _serving_count(in_order: Sequence[Peer], link_mbps: float) -> int:
    """Return how many of the first peers cover a share of capacity and links.

    ``link_mbps`` is the bandwidth of the failure domain.
    """
    needed = SERVING_CAPACITY_SHARE * sum(peer.capacity for peer in in_order)
    counts_links = any(peer.link_mbps < LIMITING_LINK_MBPS for peer in in_order)
    needed_mbps = SERVING_CAPACITY_SHARE * link_mbps if counts_links else 0.0
    capacity = 0.0
    for count, peer in enumerate(in_order, start=1):
        capacity += peer.capacity
        if (
            count >= MIN_SERVING
            and capacity >= needed - ROUNDING
            and _carries(in_order[:count], needed_mbps)
        ):
            return count
    return len(in_order)


def _carries(serving: Sequence[Peer], needed_mbps: float) -> bool:
    """Return whether the links carry the needed bandwidth; callers spread evenly."""
    part_mbps = needed_mbps / len(serving)
    carried_mbps = sum(min(peer.link_mbps, part_mbps) for peer in serving)
    return carried_mbps >= CARRIED_SHARE * needed_mbps - ROUNDING


def _serving_order(peers: Iterable[Peer]) -> dict[str, list[Peer]]:
    """Return the peers of each failure domain in the order in which they serve.

    Those with the largest capacity come first; they also restart fastest after a loss
    of power. Among equals, the last readers of the store come first, so that one
    instance's failure rarely affects both tasks.
    """
    by_domain: dict[str, list[Peer]] = {}
    for peer in sorted(peers, key=lambda peer: (-peer.capacity, -rank(peer.name))):
        by_domain.setdefault(peer.failure_domain, []).append(peer)
    return by_domain
