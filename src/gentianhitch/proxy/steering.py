"""Select the instances whose addresses the directory returns to callers.

A few instances serve each failure domain, so that they have warm connections and
enough responses to detect a gray backend server early.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from collections.abc import Sequence

import attrs

from gentianhitch.proxy.full_instances import FullNames
from gentianhitch.proxy.model import LIMITING_LINK_MBPS
from gentianhitch.proxy.model import Peer
from gentianhitch.proxy.sources import rank

MIN_SERVING = 2
"""With two, a failure domain is served without a pause when one instance fails."""

SERVING_CAPACITY_SHARE = 1 / 16
"""Share of the capacity that serves requests; fleets are sized for much more load."""

CARRIED_SHARE = 0.9
"""Share of the needed bandwidth that the links of the serving instances carry.

All of it may need every instance where those with large capacity have slow links.
"""

LINKS_REMEMBERED_S = 60.0
"""Demand stays while instances are missing: outages of the store last some seconds."""

DEMAND_REMEMBERED_S = 30.0
"""More instances are named for so long after some were busy; fewer would fill again."""

ROUNDING = 1e-9

STANDBY_FACTOR = 3
"""Instances near serving, as a multiple of the serving ones: most of them may fail."""


@attrs.define
class RecentMaximum:
    """The largest recent value of each failure domain, such as its bandwidth."""

    _memory_s: float
    _values_by_domain: dict[str, float] = attrs.Factory(dict)
    _past_by_domain: dict[str, deque[tuple[float, float]]] = attrs.Factory(dict)

    def update(self, values_by_domain: dict[str, float], now: float) -> None:
        """Set the values that hold from ``now`` on."""
        for domain, value in self._values_by_domain.items():
            if values_by_domain.get(domain, 0.0) != value:
                past = self._past_by_domain.setdefault(domain, deque())
                past.append((now + self._memory_s, value))
        self._values_by_domain = dict(values_by_domain)
        for past in self._past_by_domain.values():
            while past and past[0][0] <= now:
                past.popleft()

    @property
    def is_known(self) -> bool:
        """Return whether a value above 0 holds or is remembered."""
        return any(self._values_by_domain.values()) or any(
            self._past_by_domain.values()
        )

    def next_expiry_s(self) -> float:
        """Return when the first remembered value expires."""
        ends_s = (past[0][0] for past in self._past_by_domain.values() if past)
        return min(ends_s, default=float("inf"))

    def largest(self) -> dict[str, float]:
        """Return the largest remembered values, by failure domain."""
        largest = dict(self._values_by_domain)
        for domain, past in self._past_by_domain.items():
            for _, value in past:
                largest[domain] = max(largest.get(domain, 0.0), value)
        return largest


@attrs.define
class ServingOrder:
    """The serving instances; derived again only when the listed ones change.

    A share of the bandwidth of the last minute is covered, also while many of those
    with fast links are missing from the listing.
    """

    _peers_by_name: dict[str, Peer] = attrs.Factory(dict)
    _serving: dict[str, tuple[Peer, ...]] = attrs.Factory(dict)
    _near_serving: frozenset[str] = frozenset()
    _links: RecentMaximum = attrs.Factory(lambda: RecentMaximum(LINKS_REMEMBERED_S))
    _demands: RecentMaximum = attrs.Factory(lambda: RecentMaximum(DEMAND_REMEMBERED_S))
    _valid_until_s: float = float("inf")
    _named: dict[str, tuple[Peer, ...]] = attrs.Factory(dict)
    _named_for: tuple[FullNames, dict[str, float]] | None = None

    def serving(
        self, peers_by_name: dict[str, Peer], now: float = 0.0
    ) -> dict[str, tuple[Peer, ...]]:
        """Return the instances that serve requests, by failure domain."""
        self._update(peers_by_name, now)
        return self._serving

    def named(
        self, peers_by_name: dict[str, Peer], full: FullNames, now: float = 0.0
    ) -> dict[str, tuple[Peer, ...]]:
        """Return the instances that the directory names, without full ones if it can.

        Faulty ones are left out while others are listed. Busy ones are left out where
        the others carry as much without them; in any case the demand is larger than was
        assumed, and stays so for a while.
        """
        self._update(peers_by_name, now)
        if full == FullNames() and not self._demands.is_known:
            return self._serving
        busy = [peers_by_name[name] for name in full.busy if name in peers_by_name]
        self._demands.update(_least_demand(busy, self._serving), now)
        demands_by_domain = self._demands.largest()
        inputs = (full, demands_by_domain)
        if inputs != self._named_for:
            self._named_for = inputs
            links_by_domain = self._links.largest()
            self._named = {
                domain: _named(
                    in_order, link_mbps, demands_by_domain.get(domain, 0.0), full
                )
                for domain, in_order, link_mbps in _domains(
                    peers_by_name.values(), links_by_domain
                )
            }
        return self._named

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
        self._named_for = None


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
    values_by_domain: dict[str, float] = {}
    for peer in peers:
        total = values_by_domain.get(peer.failure_domain, 0.0)
        values_by_domain[peer.failure_domain] = total + peer.link_mbps
    return values_by_domain


def _serving_count(in_order: Sequence[Peer], link_mbps: float) -> int:
    """Return how many of the first peers cover a share of capacity and links.

    ``link_mbps`` is the bandwidth of the failure domain.
    """
    needed = SERVING_CAPACITY_SHARE * sum(peer.capacity for peer in in_order)
    counts_links = any(peer.link_mbps < LIMITING_LINK_MBPS for peer in in_order)
    needed_mbps = SERVING_CAPACITY_SHARE * link_mbps if counts_links else 0.0
    enough_mbps = CARRIED_SHARE * needed_mbps
    capacity = 0.0
    for count, peer in enumerate(in_order, start=1):
        capacity += peer.capacity
        if (
            count >= MIN_SERVING
            and capacity >= needed - ROUNDING
            and _carried(in_order[:count], needed_mbps) >= enough_mbps - ROUNDING
        ):
            return count
    return len(in_order)


def _least_demand(
    busy: Iterable[Peer], serving: dict[str, tuple[Peer, ...]]
) -> dict[str, float]:
    """Return the least demand in Mbit/s, by failure domain with ``busy`` instances.

    Each serving instance gets an even part, which is more than a busy one's link.
    """
    links_by_domain: dict[str, list[float]] = {}
    for peer in busy:
        links_by_domain.setdefault(peer.failure_domain, []).append(peer.link_mbps)
    return {
        domain: (len(serving[domain]) + len(links)) * min(links)
        for domain, links in links_by_domain.items()
    }


def _named(
    in_order: Sequence[Peer], link_mbps: float, demand_mbps: float, full: FullNames
) -> tuple[Peer, ...]:
    """Return the peers of one failure domain to name."""
    sound = [peer for peer in in_order if peer.name not in full.faulty]
    if len(sound) < MIN_SERVING:
        sound += [peer for peer in in_order if peer.name in full.faulty]
        sound = sound[:MIN_SERVING]
    least = _serving_count(sound, link_mbps)
    if not demand_mbps:
        return tuple(sound[:least])
    free = [peer for peer in sound if peer.name not in full.busy]
    if len(free) >= MIN_SERVING:
        least_free = _serving_count(free, link_mbps)
        with_busy = _most_carrying(sound, least, demand_mbps)
        without = _most_carrying(free, least_free, demand_mbps)
        if _carried(without, demand_mbps) >= _carried(with_busy, demand_mbps):
            return without
        return with_busy
    return _most_carrying(sound, least, demand_mbps)


def _most_carrying(
    in_order: Sequence[Peer], least: int, demand_mbps: float
) -> tuple[Peer, ...]:
    """Return the fewest first peers that carry nearly as much as any number of them."""
    carried: dict[int, float] = {}
    for count in range(least, len(in_order) + 1):
        carried[count] = _carried(in_order[:count], demand_mbps)
        if carried[count] >= demand_mbps - ROUNDING:
            break
    enough = CARRIED_SHARE * max(carried.values())
    count = next(each for each in carried if carried[each] >= enough - ROUNDING)
    return tuple(in_order[:count])


def _carried(serving: Sequence[Peer], demand_mbps: float) -> float:
    """Return what the links carry of the demand; callers spread evenly."""
    part_mbps = demand_mbps / len(serving)
    return sum(min(peer.link_mbps, part_mbps) for peer in serving)


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
