"""Tell what a store that returned from a copy shows of the time before its return."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Mapping

import attrs

from gentianhitch.proxy.model import BackendServer
from gentianhitch.proxy.model import Listing
from gentianhitch.proxy.model import ListingWrites
from gentianhitch.proxy.model import Peer
from gentianhitch.proxy.model import Write
from gentianhitch.proxy.registry import Registry
from gentianhitch.proxy.store_revision import StoreRevision

REREGISTRATION_S = 2.0
"""Time in which entries that expired in an outage are written again."""

EXPIRY_HEARTBEATS = 3
"""The store removes the entry of a backend server that was silent for so many."""

MAX_REMOVED = 4096
"""Removed entries that are remembered; a copy is only some seconds old."""


@attrs.define
class RemovedEntries:
    """What was listed before and no longer is, until it is listed again.

    Of servers the start times are kept, of instances the incarnations.
    """

    _started_ms_by_id: OrderedDict[str, int] = attrs.Factory(OrderedDict)
    _incarnations_by_name: OrderedDict[str, int] = attrs.Factory(OrderedDict)
    evacuated_domains: set[str] = attrs.Factory(set)

    def update(
        self,
        servers: Mapping[str, BackendServer],
        old_servers: Mapping[str, BackendServer],
        peers: Mapping[str, Peer],
        old_peers: Mapping[str, Peer],
    ) -> None:
        """Remember what is no longer listed."""
        for id_ in old_servers.keys() - servers.keys():
            _remember(self._started_ms_by_id, id_, old_servers[id_].started_ms)
        for id_ in servers.keys() - old_servers.keys():
            self._started_ms_by_id.pop(id_, None)
        for name in old_peers.keys() - peers.keys():
            _remember(self._incarnations_by_name, name, old_peers[name].incarnation)
        for name in peers.keys() - old_peers.keys():
            self._incarnations_by_name.pop(name, None)

    def update_evacuations(
        self, domains: frozenset[str], old_domains: frozenset[str]
    ) -> None:
        """Remember which evacuations have ended."""
        self.evacuated_domains |= old_domains
        self.evacuated_domains -= domains

    def has_server(self, server: BackendServer) -> bool:
        """Return whether this incarnation, or a later one, was removed."""
        return server.started_ms <= self._started_ms_by_id.get(server.id, -1)

    def has_peer(self, peer: Peer) -> bool:
        """Return whether this incarnation was removed."""
        return self._incarnations_by_name.get(peer.name) == peer.incarnation


def _remember(numbers: OrderedDict[str, int], name: str, number: int) -> None:
    numbers[name] = number
    numbers.move_to_end(name)
    if len(numbers) > MAX_REMOVED:
        numbers.popitem(last=False)


@attrs.define
class StoreReturn:
    """What this instance read first after a return, which may come from the copy.

    What has changed since that read is current. ``learned_s`` is when the instance
    learned of the return: by then the store was back.
    """

    learned_s: float
    heartbeat_s: float
    _first_writes: ListingWrites | None = None
    _has_read_configuration: bool = False
    _first_configuration: StoreRevision | None = None

    @property
    def settled_s(self) -> float:
        """Return when operators have written again what was lost."""
        return self.learned_s + REREGISTRATION_S

    @property
    def expired_s(self) -> float:
        """Return when the entries of silent servers have been removed."""
        return self.settled_s + EXPIRY_HEARTBEATS * self.heartbeat_s

    def proves_configuration(
        self, written: StoreRevision | None, started_s: float
    ) -> bool:
        """Return whether a read shows all that was acknowledged before its start.

        ``written`` is None if there was no configuration. A version that was lost may
        be missing until the operator has written since the return.
        """
        if not self._has_read_configuration:
            self._has_read_configuration = True
            self._first_configuration = written
        return started_s >= self.settled_s or written != self._first_configuration

    def without_copied(
        self, listing: Listing, known: Registry, removed: RemovedEntries, now: float
    ) -> Listing:
        """Return a listing in which newer knowledge replaces what may be copied."""
        if now >= self.expired_s:
            return listing
        if self._first_writes is None:
            self._first_writes = listing.writes
        first = self._first_writes
        return attrs.evolve(
            listing,
            backend_servers_by_id=_servers(first, listing, known, removed),
            peers_by_name=_peers(first, listing, removed),
            evacuated_domains=(
                listing.evacuated_domains
                if now >= self.settled_s
                else _evacuations(first, listing, known, removed)
            ),
        )


def _servers(
    first: ListingWrites, listing: Listing, known: Registry, removed: RemovedEntries
) -> dict[str, BackendServer]:
    copied = _unchanged(first.servers, listing.writes.servers)
    servers = {}
    for id_, server in listing.backend_servers_by_id.items():
        if id_ not in copied:
            servers[id_] = server
        elif not removed.has_server(server):
            servers[id_] = _newer(known.servers_by_id.get(id_), server)
    return servers


def _peers(
    first: ListingWrites, listing: Listing, removed: RemovedEntries
) -> dict[str, Peer]:
    copied = _unchanged(first.peers, listing.writes.peers)
    return {
        name: peer
        for name, peer in listing.peers_by_name.items()
        if name not in copied or not removed.has_peer(peer)
    }


def _evacuations(
    first: ListingWrites, listing: Listing, known: Registry, removed: RemovedEntries
) -> frozenset[str]:
    before, writes = first.evacuations, listing.writes.evacuations
    known_domains = known.evacuated_domains
    domains = listing.evacuated_domains | known_domains | removed.evacuated_domains
    unchanged = {each for each in domains if before.get(each) == writes.get(each)}
    ended = unchanged & (removed.evacuated_domains - known_domains)
    return (listing.evacuated_domains - ended) | (known_domains & unchanged)


def _unchanged(first: Mapping[str, Write], writes: Mapping[str, Write]) -> set[str]:
    """Return the names of the entries that were not written since the first read."""
    return {name for name, write in writes.items() if first.get(name) == write}


def _newer(known: BackendServer | None, listed: BackendServer) -> BackendServer:
    """Return the later incarnation; of the same one, that which leaves."""
    if known is None:
        return listed
    if known.started_ms == listed.started_ms:
        return known if known.draining else listed
    return known if known.started_ms > listed.started_ms else listed
