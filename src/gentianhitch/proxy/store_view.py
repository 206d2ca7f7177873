"""Keep what the store showed, in parts, and the proof of how fresh each part is."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Mapping
from typing import TypeVar

import attrs

from gentianhitch.proxy.model import BackendServer
from gentianhitch.proxy.model import Configuration
from gentianhitch.proxy.model import Listing
from gentianhitch.proxy.model import Peer
from gentianhitch.proxy.model import StoredConfiguration
from gentianhitch.proxy.registry import Bucket
from gentianhitch.proxy.registry import Registry

T = TypeVar("T")

LAPSE_HEARTBEATS = 2
"""Entries go after three silent heartbeats, the first of which may just be due."""

RETURN_S = 2.0
"""Time in which entries that lapsed in an outage are written again."""

NEVER = float("-inf")

NO_REVISION = 0
"""Below every revision: nothing has been written yet."""


@attrs.frozen
class ListingChange:
    """What changed among the servers and instances."""

    added: tuple[BackendServer, ...]
    removed: tuple[BackendServer, ...]
    draining: tuple[BackendServer, ...]
    peers: bool


@attrs.define
class StoreView:
    """Hold what this instance may act on.

    A proof is the time at which the newest read that confirmed a part *began*;
    whatever was acknowledged before then is known. Nothing steps back: what is older
    is dropped. The configuration and the listing are proved apart, so that a server's
    departure never waits for a large configuration.
    """

    heartbeat_s: float
    registry: Registry = attrs.Factory(Registry)
    stored_configuration: StoredConfiguration | None = None
    listing_proved_s: float = NEVER
    configuration_proved_s: float = NEVER
    _lapsed_servers_by_id: dict[str, BackendServer] = attrs.Factory(dict)
    _lapsed_peers_by_name: dict[str, Peer] = attrs.Factory(dict)
    _lapsed_until_s: float = NEVER
    _read_revision: int = 0

    def listing_age_s(self, now: float) -> float:
        """Return how long ago the listing was proved."""
        return now - self.listing_proved_s

    def configuration_age_s(self, now: float) -> float:
        """Return how long ago the configuration was proved."""
        return now - self.configuration_proved_s

    def age_s(self, now: float) -> float:
        """Return the age of the older of both proofs."""
        return max(self.listing_age_s(now), self.configuration_age_s(now))

    @property
    def configuration(self) -> Configuration | None:
        """Return the configuration in force."""
        stored = self.stored_configuration
        return None if stored is None else stored.configuration

    @property
    def configuration_revision(self) -> int:
        """Return the revision of the configuration in force."""
        stored = self.stored_configuration
        return NO_REVISION if stored is None else stored.revision

    @property
    def servers_by_id(self) -> dict[str, BackendServer]:
        """Return the backend servers, also those expected back."""
        return self.registry.servers_by_id

    @property
    def peers_by_name(self) -> dict[str, Peer]:
        """Return the entry instances, also those expected back."""
        return self.registry.peers_by_name

    @property
    def lapsed_server_ids(self) -> frozenset[str]:
        """Return the servers that are in use although their entries lapsed."""
        return frozenset(self._lapsed_servers_by_id)

    # The configuration.

    def confirm_configuration(self, revision: int, began_s: float) -> bool:
        """Note that a read begun at ``began_s`` showed ``revision``."""
        if revision != self.configuration_revision:
            return False
        self.configuration_proved_s = max(self.configuration_proved_s, began_s)
        return True

    def learn_configuration(self, stored: StoredConfiguration, began_s: float) -> bool:
        """Take a configuration read at ``began_s``; tell whether it is newer."""
        if stored.revision < self.configuration_revision:
            return False
        is_newer = stored.revision > self.configuration_revision
        if is_newer:
            self.stored_configuration = stored
        self.confirm_configuration(stored.revision, began_s)
        return is_newer

    # The listing.

    def confirm_listing(self, revision: int, digest: bytes, began_s: float) -> bool:
        """Note that a read begun at ``began_s`` showed a listing with ``digest``."""
        if digest != self.registry.digest:
            return False
        self.registry.advance(revision)
        self.listing_proved_s = max(self.listing_proved_s, began_s)
        if revision > self._read_revision:
            # A later reader decides what is kept.
            self._forget_lapsed()
        return True

    def learn_listing(
        self, listing: Listing, began_s: float, now: float
    ) -> ListingChange | None:
        """Take a listing that this instance read; None if it changes nothing.

        Only a reader can tell an outage of the store from a gap in its own proofs, so
        that it alone keeps lapsed entries; the others follow it.
        """
        if listing.revision < self.registry.revision:
            return None
        self._keep_lapsed(listing, began_s, now)
        self._read_revision = listing.revision
        old_servers, old_peers = self.servers_by_id, self.peers_by_name
        self.registry.replace(self._with_lapsed(listing))
        self.listing_proved_s = max(self.listing_proved_s, began_s)
        return self._change(old_servers, old_peers)

    def merge(
        self,
        revision: int,
        digest: bytes,
        buckets: Iterable[tuple[int, Bucket]],
        began_s: float,
    ) -> ListingChange | None:
        """Take buckets of a peer whose whole listing has ``digest``."""
        old_servers, old_peers = self.servers_by_id, self.peers_by_name
        self.registry.merge(revision, buckets)
        self.confirm_listing(revision, digest, began_s)
        return self._change(old_servers, old_peers)

    def expire(self, now: float) -> ListingChange | None:
        """Drop the entries that were expected back and are not."""
        if now < self._lapsed_until_s or self._lapsed_until_s == NEVER:
            return None
        old_servers, old_peers = self.servers_by_id, self.peers_by_name
        self.registry.remove(self._lapsed_servers_by_id, self._lapsed_peers_by_name)
        self._forget_lapsed()
        return self._change(old_servers, old_peers)

    def _forget_lapsed(self) -> None:
        self._lapsed_servers_by_id = {}
        self._lapsed_peers_by_name = {}
        self._lapsed_until_s = NEVER

    def _keep_lapsed(self, new: Listing, began_s: float, now: float) -> None:
        """Keep entries that may have lapsed only because the store was away.

        A shorter gap is none of the store's: what went then is gone.
        """
        gap_s = began_s - self.listing_proved_s
        if gap_s > LAPSE_HEARTBEATS * self.heartbeat_s and self.registry.revision:
            self._lapsed_until_s = now + RETURN_S
            ready = {
                server.id: server
                for server in self.servers_by_id.values()
                if not server.draining
            }
            self._lapsed_servers_by_id = _without(ready, new.backend_servers_by_id)
            self._lapsed_peers_by_name = _without(self.peers_by_name, new.peers_by_name)
        else:
            # Back and gone again: that removal is no lapse.
            self._lapsed_servers_by_id = _without(
                self._lapsed_servers_by_id, new.backend_servers_by_id
            )
            self._lapsed_peers_by_name = _without(
                self._lapsed_peers_by_name, new.peers_by_name
            )

    def _with_lapsed(self, listing: Listing) -> Listing:
        return Listing(
            listing.revision,
            {**self._lapsed_servers_by_id, **listing.backend_servers_by_id},
            {**self._lapsed_peers_by_name, **listing.peers_by_name},
        )

    def _change(
        self, old_servers: dict[str, BackendServer], old_peers: dict[str, Peer]
    ) -> ListingChange | None:
        if self.servers_by_id is old_servers and self.peers_by_name is old_peers:
            return None
        new_servers = self.servers_by_id
        change = ListingChange(
            added=_not_in(new_servers, old_servers),
            removed=_not_in(old_servers, new_servers),
            draining=tuple(
                server
                for server in new_servers.values()
                if server.draining
                and server.id in old_servers
                and not old_servers[server.id].draining
            ),
            peers=self.peers_by_name.keys() != old_peers.keys(),
        )
        if change.added or change.removed or change.draining or change.peers:
            return change
        return None


def _without(entries: Mapping[str, T], others: Mapping[str, object]) -> dict[str, T]:
    return {key: entry for key, entry in entries.items() if key not in others}


def _not_in(
    servers: dict[str, BackendServer], others: dict[str, BackendServer]
) -> tuple[BackendServer, ...]:
    """Return the servers of which ``others`` does not have the same incarnation."""
    return tuple(
        server
        for server in servers.values()
        if server.id not in others or others[server.id].key != server.key
    )
