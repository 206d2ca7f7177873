"""The instance's view of the store: the listing and the configuration, with ages."""

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
from gentianhitch.proxy.store_return import REREGISTRATION_S
from gentianhitch.proxy.store_return import RemovedEntries
from gentianhitch.proxy.store_return import StoreReturn
from gentianhitch.proxy.store_revision import NO_CONFIGURATION
from gentianhitch.proxy.store_revision import NO_REVISION
from gentianhitch.proxy.store_revision import ConfigurationRevision
from gentianhitch.proxy.store_revision import StoreRevision

T = TypeVar("T")

OUTAGE_HEARTBEATS = 2
"""Entries expire after three missed heartbeats; the first may have just been due."""

NEVER = float("-inf")


@attrs.frozen
class ListingChange:
    """The changes between two listings; ``peers`` if instances came or went.

    ``cold`` and ``warm`` are the servers that became so. ``evacuated`` and ``returned``
    are the domains whose evacuation began or ended.
    """

    added: tuple[BackendServer, ...]
    removed: tuple[BackendServer, ...]
    draining: tuple[BackendServer, ...]
    peers: bool
    cold: tuple[BackendServer, ...] = ()
    warm: tuple[BackendServer, ...] = ()
    evacuated: tuple[str, ...] = ()
    returned: tuple[str, ...] = ()

    @property
    def has_entries(self) -> bool:
        """Return whether servers or instances changed."""
        changed = (self.added, self.removed, self.draining, self.cold, self.warm)
        return self.peers or any(changed)


@attrs.frozen
class _Known:
    """What was known before a change."""

    servers_by_id: dict[str, BackendServer]
    peers_by_name: dict[str, Peer]
    evacuated_domains: frozenset[str]


@attrs.define
class StoreView:
    """The newest known listing and configuration, and the age of each.

    A part's ``verified_s`` is the time at which the newest read that confirmed it
    *started*: all writes acknowledged before then are in it. Older data is dropped, so
    that no part goes back to an earlier revision. The two parts are verified apart, so
    that the removal of a server is never delayed by a large configuration.
    ``details_verified_s`` is the same for what replies of older versions leave out of
    the listing: the evacuated domains and which servers are cold. ``era`` counts how
    often the store has returned from a copy; None before the first response.
    """

    heartbeat_s: float
    registry: Registry = attrs.Factory(Registry)
    stored_configuration: StoredConfiguration | None = None
    listing_verified_s: float = NEVER
    configuration_verified_s: float = NEVER
    details_verified_s: float = NEVER
    _expired_servers_by_id: dict[str, BackendServer] = attrs.Factory(dict)
    _expired_peers_by_name: dict[str, Peer] = attrs.Factory(dict)
    _retained_until_s: float = NEVER
    era: int | None = None
    _read_revision: StoreRevision = NO_REVISION
    _store_return: StoreReturn | None = None
    _removed: RemovedEntries = attrs.Factory(RemovedEntries)

    def listing_age_s(self, now: float) -> float:
        """Return the age of the listing, from the start of the verifying read."""
        return now - self.listing_verified_s

    def configuration_age_s(self, now: float) -> float:
        """Return the age of the configuration, from the start of the verifying read."""
        return now - self.configuration_verified_s

    def details_age_s(self, now: float) -> float:
        """Return the age of the listing's details, from the verifying read's start."""
        return now - self.details_verified_s

    def age_s(self, now: float) -> float:
        """Return the age of the oldest part."""
        return max(
            self.listing_age_s(now),
            self.configuration_age_s(now),
            self.details_age_s(now),
        )

    @property
    def configuration(self) -> Configuration | None:
        """Return the configuration in force; None before the first read."""
        stored = self.stored_configuration
        return None if stored is None else stored.configuration

    @property
    def configuration_revision(self) -> ConfigurationRevision:
        """Return the revision of the configuration in force, or NO_CONFIGURATION."""
        stored = self.stored_configuration
        return NO_CONFIGURATION if stored is None else stored.revision

    @property
    def servers_by_id(self) -> dict[str, BackendServer]:
        """Return the backend servers, including expired ones that are retained."""
        return self.registry.servers_by_id

    @property
    def peers_by_name(self) -> dict[str, Peer]:
        """Return the entry instances, including expired ones that are retained."""
        return self.registry.peers_by_name

    @property
    def evacuated_domains(self) -> frozenset[str]:
        """Return the failure domains whose servers get no requests."""
        return self.registry.evacuated_domains

    @property
    def expired_server_ids(self) -> frozenset[str]:
        """Return the servers that are retained although their entries expired."""
        return frozenset(self._expired_servers_by_id)

    # The era of the store.

    def observe_era(self, era: int, now: float) -> bool:
        """Take an era that the store named; return whether the store has returned."""
        if self.era is not None and era <= self.era:
            return False
        is_first, self.era = self.era is None, era
        if not is_first:
            self._store_return = StoreReturn(now, self.heartbeat_s)
        return not is_first

    def _is_of_earlier_era(self, revision: StoreRevision) -> bool:
        return self.era is not None and revision.era < self.era

    # The configuration.

    def proves_configuration(
        self, written: StoreRevision | None, started_s: float
    ) -> bool:
        """Return whether a read of the store may confirm the configuration.

        ``written`` is None if the read showed none. After a return from a copy, a newer
        configuration may be missing until the operator has written it again.
        """
        if written is not None and self._is_of_earlier_era(written):
            return False
        if self._store_return is None:
            return True
        return self._store_return.proves_configuration(written, started_s)

    def confirm_configuration(
        self,
        revision: ConfigurationRevision,
        started_s: float,
        *,
        is_proof: bool = True,
    ) -> bool:
        """Record a read, started at ``started_s``, that returned ``revision``.

        Return whether it is the revision in force. The read confirms it if ``is_proof``
        and if no later era of the store is known.
        """
        known = self.stored_configuration
        if known is not None and revision.repeats(known.revision):
            self.stored_configuration = attrs.evolve(known, written=revision.written)
        if revision.written != self.configuration_revision.written:
            return False
        has_configuration = self.stored_configuration is not None
        if has_configuration and self._is_of_earlier_era(revision.written):
            is_proof = False
        if is_proof:
            self.configuration_verified_s = max(
                self.configuration_verified_s, started_s
            )
        return True

    def update_configuration(
        self, stored: StoredConfiguration, started_s: float, *, is_proof: bool = True
    ) -> bool:
        """Take a configuration read at ``started_s``; return whether it is newer."""
        known = self.stored_configuration
        is_newer = known is None or stored.revision.is_newer_than(known.revision)
        if is_newer:
            self.stored_configuration = stored
        if is_newer and known is not None and stored.written.era < known.written.era:
            # What the later era showed was the copy's, and confirmed nothing.
            self.configuration_verified_s = started_s
        self.confirm_configuration(stored.revision, started_s, is_proof=is_proof)
        return is_newer

    # The listing.

    def confirm_listing(
        self,
        revision: StoreRevision,
        digest: bytes,
        started_s: float,
        full_digest: bytes = b"",
        details_started_s: float = NEVER,
    ) -> bool:
        """Record a read, started at ``started_s``, of a listing with ``digest``.

        ``full_digest`` covers its details too, which were read at
        ``details_started_s``; it is empty if the peer does not know them. Return
        whether the listing equals the known one.
        """
        if self._is_of_earlier_era(revision):
            return False
        if full_digest:
            is_equal = full_digest == self.registry.full_digest
        else:
            is_equal = digest == self.registry.digest
        if not is_equal:
            return False
        self.registry.advance(revision)
        self.listing_verified_s = max(self.listing_verified_s, started_s)
        self.details_verified_s = max(self.details_verified_s, details_started_s)
        if revision > self._read_revision:
            # A later read by another instance decides which entries are retained.
            self._clear_expired()
        return True

    def update_listing(
        self,
        listing: Listing,
        started_s: float,
        now: float,
        store_returned_s: float | None = None,
    ) -> ListingChange | None:
        """Take a listing that this instance read; return None if nothing changes.

        ``store_returned_s`` is when the store was back at the latest, or ``now``.

        Only the instance that reads the store can distinguish an outage of the store
        from a gap in its own reads, so it alone decides which expired entries are
        retained; the others copy its listing.
        """
        if listing.revision < self.registry.revision:
            return None
        if self._is_of_earlier_era(listing.revision):
            return None
        current = listing
        if self._store_return is not None:
            current = self._store_return.without_copied(
                listing, self.registry, self._removed, now
            )
        returned_s = now if store_returned_s is None else store_returned_s
        self._retain_expired(current, started_s, returned_s)
        self._read_revision = listing.revision
        before = self._known()
        self.registry.replace(self._with_retained(current))
        self.listing_verified_s = max(self.listing_verified_s, started_s)
        self.details_verified_s = max(self.details_verified_s, started_s)
        return self._change(before)

    def merge_buckets(
        self,
        revision: StoreRevision,
        digest: bytes,
        buckets: Iterable[tuple[int, Bucket]],
        started_s: float,
        full_digest: bytes = b"",
        details_started_s: float = NEVER,
    ) -> ListingChange | None:
        """Take buckets of a peer whose complete listing has these digests."""
        if self._is_of_earlier_era(revision):
            return None
        before = self._known()
        self.registry.merge(revision, buckets)
        self.confirm_listing(
            revision, digest, started_s, full_digest, details_started_s
        )
        return self._change(before)

    def merge_evacuations(
        self, revision: StoreRevision, domains: Iterable[str]
    ) -> ListingChange | None:
        """Take the evacuated domains that a peer read at ``revision``."""
        if self._is_of_earlier_era(revision):
            return None
        before = self._known()
        self.registry.merge_evacuations(revision, frozenset(domains))
        return self._change(before)

    def drop_expired(self, now: float) -> ListingChange | None:
        """Drop retained entries that were not written again in time."""
        if now < self._retained_until_s or self._retained_until_s == NEVER:
            return None
        before = self._known()
        self.registry.remove(self._expired_servers_by_id, self._expired_peers_by_name)
        self._clear_expired()
        return self._change(before)

    def _clear_expired(self) -> None:
        self._expired_servers_by_id = {}
        self._expired_peers_by_name = {}
        self._retained_until_s = NEVER

    def _retain_expired(
        self, new: Listing, started_s: float, returned_s: float
    ) -> None:
        """Retain entries that may be missing only because of an outage of the store.

        After a shorter gap there was no outage: missing entries were removed, unless
        the store has returned from a copy.
        """
        gap_s = started_s - self.listing_verified_s
        known = self.registry.revision
        is_gap = gap_s > OUTAGE_HEARTBEATS * self.heartbeat_s
        if known != NO_REVISION and (is_gap or new.revision.era > known.era):
            self._retained_until_s = returned_s + REREGISTRATION_S
            ready = {
                server.id: server
                for server in self.servers_by_id.values()
                if not server.draining
            }
            self._expired_servers_by_id = _without(ready, new.backend_servers_by_id)
            self._expired_peers_by_name = _without(
                self.peers_by_name, new.peers_by_name
            )
        else:
            # Removed after it was written again: that entry has not expired.
            self._expired_servers_by_id = _without(
                self._expired_servers_by_id, new.backend_servers_by_id
            )
            self._expired_peers_by_name = _without(
                self._expired_peers_by_name, new.peers_by_name
            )

    def _with_retained(self, listing: Listing) -> Listing:
        return Listing(
            listing.revision,
            {**self._expired_servers_by_id, **listing.backend_servers_by_id},
            {**self._expired_peers_by_name, **listing.peers_by_name},
            # Not retained: only a delete by the operator removes an evacuation.
            listing.evacuated_domains,
            listing.writes,
        )

    def _known(self) -> _Known:
        return _Known(self.servers_by_id, self.peers_by_name, self.evacuated_domains)

    def _change(self, before: _Known) -> ListingChange | None:
        """Return the changes since ``before``; None without any."""
        if (
            self.servers_by_id is before.servers_by_id
            and self.peers_by_name is before.peers_by_name
            and self.evacuated_domains == before.evacuated_domains
        ):
            return None
        servers, old_servers = self.servers_by_id, before.servers_by_id
        self._removed.update(
            servers, old_servers, self.peers_by_name, before.peers_by_name
        )
        evacuated, old_evacuated = self.evacuated_domains, before.evacuated_domains
        self._removed.update_evacuations(evacuated, old_evacuated)
        change = ListingChange(
            added=_servers_not_in(servers, old_servers),
            removed=_servers_not_in(old_servers, servers),
            draining=tuple(
                server
                for server in servers.values()
                if server.draining
                and server.id in old_servers
                and not old_servers[server.id].draining
            ),
            peers=self.peers_by_name.keys() != before.peers_by_name.keys(),
            cold=_colder_than(servers, old_servers),
            warm=_colder_than(old_servers, servers),
            evacuated=tuple(sorted(evacuated - old_evacuated)),
            returned=tuple(sorted(old_evacuated - evacuated)),
        )
        if change.has_entries or change.evacuated or change.returned:
            return change
        return None


def _without(entries: Mapping[str, T], others: Mapping[str, object]) -> dict[str, T]:
    return {key: entry for key, entry in entries.items() if key not in others}


def _servers_not_in(
    servers: dict[str, BackendServer], others: dict[str, BackendServer]
) -> tuple[BackendServer, ...]:
    """Return the servers whose incarnation is not in ``others``."""
    return tuple(
        server
        for server in servers.values()
        if server.id not in others or others[server.id].key != server.key
    )


def _colder_than(
    servers: dict[str, BackendServer], others: dict[str, BackendServer]
) -> tuple[BackendServer, ...]:
    """Return the servers that are cold and whose incarnation in ``others`` is warm."""
    return tuple(
        server
        for server in servers.values()
        if server.is_cold
        and server.id in others
        and others[server.id].key == server.key
        and not others[server.id].is_cold
    )
