"""Refresh the view of the store, from the store itself or from other instances."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable
from collections.abc import Coroutine
from typing import Any

from twisted.internet.defer import Deferred

from gentianhitch.http_client import Progress
from gentianhitch.instances.bucket_codec import pack_buckets
from gentianhitch.instances.bucket_codec import unpack_buckets
from gentianhitch.instances.codec import MalformedMessageError
from gentianhitch.instances.datagrams import Datagrams
from gentianhitch.instances.datagrams import FreshnessQuery
from gentianhitch.instances.datagrams import FreshnessReply
from gentianhitch.instances.datagrams import ListingDetails
from gentianhitch.instances.datagrams import StoreEras
from gentianhitch.platform.interface import PlatformError
from gentianhitch.platform.store_reader import StoreReader
from gentianhitch.platform.store_reader import decode_stored
from gentianhitch.proxy.configuration_fetch import ConfigurationFetcher
from gentianhitch.proxy.configuration_server import ConfigurationServer
from gentianhitch.proxy.events import Events
from gentianhitch.proxy.full_instances import FullInstances
from gentianhitch.proxy.full_instances import Hop
from gentianhitch.proxy.model import Listing
from gentianhitch.proxy.model import Peer
from gentianhitch.proxy.model import StoredConfiguration
from gentianhitch.proxy.origin import EXPIRY
from gentianhitch.proxy.origin import STORE
from gentianhitch.proxy.origin import Origin
from gentianhitch.proxy.sources import RefreshPlan
from gentianhitch.proxy.store_revision import NO_CONFIGURATION
from gentianhitch.proxy.store_revision import NO_REVISION
from gentianhitch.proxy.store_view import NEVER
from gentianhitch.proxy.store_view import ListingChange
from gentianhitch.proxy.store_view import StoreView
from gentianhitch.repeating import Repeating

TICK_S = 0.1

MIN_READ_AGE_S = 0.4
"""A part that was verified more recently is not read again."""

CONDITIONAL_READ_BYTES = 16 * 1024
"""A larger configuration is read only if it changed.

Smaller ones are read in full: where the store loses the replies to writes, it loses
those to conditional reads too.
"""

MAX_KNOWN_QUERIES = 64
"""More than are sent in the time after which a reply is of no use."""

ReadPart = Callable[[Progress, float], Coroutine[Any, Any, None]]
"""Reads one part of the store; the second argument is the start time of the read."""


class Refresher:
    """Read the store or query peers at intervals, and apply newer parts."""

    def __init__(
        self,
        clock: Any,
        reader: StoreReader,
        datagrams: Datagrams,
        store_view: StoreView,
        plan: RefreshPlan,
        configuration_server: ConfigurationServer,
        agent: Any,
        events: Events,
        on_change: Callable[[ListingChange, Origin], None],
        on_configuration: Callable[[StoredConfiguration, Origin], None],
        full_instances: FullInstances,
        observe_era: Callable[[int, str], None],
    ) -> None:
        self._observe_era = observe_era
        self._clock = clock
        self._reader = reader
        self._datagrams = datagrams
        self._store_view = store_view
        self._plan = plan
        self._configuration_server = configuration_server
        self._events = events
        self._on_change = on_change
        self._on_configuration = on_configuration
        self._full_instances = full_instances
        self._fetcher = ConfigurationFetcher(
            clock,
            agent,
            store_view,
            plan.name,
            configuration_server,
            events,
            self._apply_configuration,
        )
        self._query_times: deque[float] = deque(maxlen=MAX_KNOWN_QUERIES)
        self._parts_being_read: set[str] = set()
        self._failing_parts: set[str] = set()
        self._conditional_read_failed = False
        self._ignored: StoredConfiguration | None = None
        self._rejected_by_key: dict[str, str] = {}
        self._unknown_evacuated: frozenset[str] = frozenset()
        self._loop = Repeating(clock, TICK_S, self._tick, events.failure)

    def start(self) -> None:
        """Start refreshing; the first step runs at once."""
        self._loop.start()

    def stop(self) -> None:
        """Stop refreshing; replies that arrive later are still merged."""
        self._loop.stop()

    def _tick(self) -> None:
        now = self._clock.seconds()
        self._report_change(
            self._store_view.drop_expired(now), Origin(EXPIRY, 0, 0.0, 0.0)
        )
        peers = self._store_view.peers_by_name.values()
        step = self._plan.next_step(peers, self._store_view.age_s(now), now)
        for peer in step.peers:
            self._datagrams.send(self._query(now), peer.datagram_address)
        if step.read_store:
            self._read_store(now)

    # Reads of the store.

    def _read_store(self, now: float) -> None:
        store_view = self._store_view
        listing_age_s = max(
            store_view.listing_age_s(now), store_view.details_age_s(now)
        )
        reads_listing = listing_age_s >= MIN_READ_AGE_S
        is_old = self._store_view.configuration_age_s(now) >= MIN_READ_AGE_S
        reads_configuration = is_old and not self._fetcher.is_fetching
        if reads_listing and reads_configuration and self._reads_in_full():
            self._read("all", self._read_all)
            return
        if reads_listing:
            self._read("listing", self._read_listing)
        if reads_configuration:
            self._read("configuration", self._read_configuration)

    def _reads_in_full(self) -> bool:
        """Return whether the configuration is read even if it didn't change."""
        known = self._store_view.stored_configuration
        return (
            known is None
            or len(known.encoded) <= CONDITIONAL_READ_BYTES
            or self._conditional_read_failed
        )

    def _read(self, part: str, read: ReadPart) -> None:
        if part not in self._parts_being_read:
            self._parts_being_read.add(part)
            reading = Deferred.fromCoroutine(self._read_part(part, read))
            reading.addErrback(self._events.failure)

    async def _read_part(self, part: str, read: ReadPart) -> None:
        started_s = self._clock.seconds()
        progress = Progress()
        try:
            await read(progress, started_s)
        except PlatformError as error:
            self._plan.record_read(started_s, succeeded=False)
            if part not in self._failing_parts:
                self._failing_parts.add(part)
                self._events.state(
                    "store_lost",
                    part=part,
                    detail=str(error),
                    received_bytes=progress.received,
                    elapsed_ms=int((self._clock.seconds() - started_s) * 1000),
                )
        else:
            self._plan.record_read(started_s, succeeded=True)
            if part in self._failing_parts:
                self._failing_parts.discard(part)
                self._events.state("store_regained", part=part)
        finally:
            self._parts_being_read.discard(part)

    async def _read_all(self, progress: Progress, started_s: float) -> None:
        listing, item = await self._reader.read_all(progress)
        self._conditional_read_failed = False
        # First the listing: it must not wait for a configuration that is malformed.
        self._update_listing(listing, progress, started_s)
        stored = None if item is None else decode_stored(item.written, item.value)
        self._update_configuration(stored, progress, started_s)

    async def _read_listing(self, progress: Progress, started_s: float) -> None:
        listing = await self._reader.read_listing(progress)
        self._update_listing(listing, progress, started_s)

    def _update_listing(
        self, listing: Listing, progress: Progress, started_s: float
    ) -> None:
        self._log_rejected()
        now = self._clock.seconds()
        change = self._store_view.update_listing(
            listing, started_s, now, self._plan.latest_return_s(now)
        )
        elapsed_s = now - started_s
        origin = Origin(STORE, progress.received, elapsed_s, elapsed_s)
        self._report_change(change, origin)
        self._log_unknown_evacuated(listing)

    async def _read_configuration(self, progress: Progress, started_s: float) -> None:
        known = self._store_view.stored_configuration
        if known is None or self._reads_in_full():
            stored = await self._reader.read_configuration(progress)
            self._conditional_read_failed = False
        else:
            # Stays set if the read fails or times out.
            self._conditional_read_failed = True
            changed = await self._reader.read_configuration_if_changed(
                known.written, progress
            )
            self._conditional_read_failed = False
            stored = known if changed is None else changed
        self._update_configuration(stored, progress, started_s)

    def _update_configuration(
        self, stored: StoredConfiguration | None, progress: Progress, started_s: float
    ) -> None:
        store_view = self._store_view
        written = None if stored is None else stored.written
        is_proof = store_view.proves_configuration(written, started_s)
        if stored is None:
            store_view.confirm_configuration(
                NO_CONFIGURATION, started_s, is_proof=is_proof
            )
            return
        elapsed_s = self._clock.seconds() - started_s
        origin = Origin(STORE, progress.received, elapsed_s, elapsed_s)
        self._apply_configuration(stored, started_s, origin, is_proof=is_proof)
        self._log_ignored(stored)

    # Queries between instances.

    def _query(
        self, now: float, *, compare: bool = False, full: bool = False
    ) -> FreshnessQuery:
        """Return a query; ``full`` if the receiver knows full digests."""
        registry = self._store_view.registry
        self._query_times.append(now)
        digests = b""
        if compare:
            digests = registry.full_digests() if full else registry.digests()
        return FreshnessQuery(
            self._plan.name,
            now,
            registry.revision.number,
            digests,
            compare and full,
            self._full_instances.to_tell(Hop.REPORT, now),
            registry.revision.era,
        )

    def build_reply(self, ask: FreshnessQuery) -> FreshnessReply | None:
        """Return the reply to a peer's query; None before the first read."""
        now = self._clock.seconds()
        self._full_instances.record_told(ask.full, Hop.QUERY, now)
        self._observe_era_of(ask.sender, ask.era)
        store_view = self._store_view
        registry = store_view.registry
        configuration = store_view.configuration_revision
        if registry.revision == NO_REVISION and configuration == NO_CONFIGURATION:
            return None
        is_compared = bool(ask.digests) and registry.revision > ask.listing
        differing_buckets = (
            registry.differing_buckets(ask.digests, full=ask.has_full_digests)
            if is_compared
            else []
        )
        details = self._details(now)
        buckets, remaining = pack_buckets(
            differing_buckets, 0 if details is None else _names_size(details)
        )
        return FreshnessReply(
            self._plan.name,
            ask.sent_s,
            store_view.listing_age_s(now),
            registry.revision.number,
            registry.digest,
            store_view.configuration_age_s(now),
            configuration.written.number,
            is_compared,
            buckets,
            remaining,
            details,
            self._full_instances.to_tell(Hop.QUERY, now),
            StoreEras(
                registry.revision.era,
                configuration.written.era,
                configuration.version,
            ),
        )

    def _details(self, now: float) -> ListingDetails | None:
        """Return the details of the listing; None before they were verified."""
        age_s = self._store_view.details_age_s(now)
        if not math.isfinite(age_s):
            return None
        registry = self._store_view.registry
        # A peer of an older version may have confirmed the rest of the listing since.
        is_current = age_s <= self._store_view.listing_age_s(now)
        return ListingDetails(
            age_s,
            registry.evacuations_revision.number,
            sorted(registry.evacuated_domains),
            registry.full_digest if is_current else b"",
            registry.evacuations_revision.era,
        )

    def handle_reply(self, message: FreshnessReply) -> None:
        """Handle a peer's reply: verify parts, merge buckets, or request newer data.

        A reply to a query that this process didn't send is dropped: its time may be
        that of a predecessor's clock, which began before the last boot.
        """
        if message.query_sent_s not in self._query_times:
            return
        now = self._clock.seconds()
        self._full_instances.record_told(message.full, Hop.REPLY, now)
        self._observe_era_of(
            message.sender, max(message.eras.listing, message.eras.configuration)
        )
        self._plan.record_reply(message.sender, message.listing_age_s, now)
        peer = self._store_view.peers_by_name.get(message.sender)
        self._merge_configuration(message, peer)
        self._merge_listing(message, peer, now)

    def _observe_era_of(self, sender: str, era: int) -> None:
        # An instance that has read nothing yet names none.
        if era:
            self._observe_era(era, sender)

    def _merge_configuration(self, message: FreshnessReply, peer: Peer | None) -> None:
        store_view = self._store_view
        verified_s = message.query_sent_s - message.configuration_age_s
        before = store_view.stored_configuration
        if store_view.confirm_configuration(message.configuration, verified_s):
            stored = store_view.stored_configuration
            if stored is not None and stored is not before:
                self._configuration_server.publish(stored)
            return
        is_newer = message.configuration.is_newer_than(
            store_view.configuration_revision
        )
        if is_newer and peer is not None:
            self._fetcher.start_fetch(peer)

    def _merge_listing(
        self, message: FreshnessReply, peer: Peer | None, now: float
    ) -> None:
        store_view = self._store_view
        verified_s = message.query_sent_s - message.listing_age_s
        revision, digest = message.listing, message.digest
        full_digest, details_verified_s = b"", NEVER
        if message.details is not None:
            details_verified_s = message.query_sent_s - message.details.age_s
            full_digest = message.details.full_digest
            # Before the servers: those of an evacuated domain must not be used.
            self._merge_evacuations(message, message.details, now)
        if store_view.confirm_listing(
            revision, digest, verified_s, full_digest, details_verified_s
        ):
            return
        if revision <= store_view.registry.revision:
            return
        if message.is_compared:
            try:
                buckets = unpack_buckets(message.buckets)
            except MalformedMessageError as error:
                self._events.state("listing_not_merged", detail=str(error))
                return
            change = store_view.merge_buckets(
                revision, digest, buckets, verified_s, full_digest, details_verified_s
            )
            size_bytes = sum(len(data) for _, data in message.buckets)
            self._report_change(
                change, _origin(message, size_bytes, message.listing_age_s, now)
            )
        if peer is not None and (message.remaining or not message.is_compared):
            query = self._query(now, compare=True, full=bool(full_digest))
            self._datagrams.send(query, peer.datagram_address)

    def _merge_evacuations(
        self, message: FreshnessReply, details: ListingDetails, now: float
    ) -> None:
        change = self._store_view.merge_evacuations(
            details.evacuations, details.evacuated_domains
        )
        self._report_change(
            change, _origin(message, _names_size(details), details.age_s, now)
        )

    # Changes from either source.

    def _apply_configuration(
        self,
        stored: StoredConfiguration,
        verified_s: float,
        origin: Origin,
        *,
        is_proof: bool = True,
    ) -> None:
        is_newer = self._store_view.update_configuration(
            stored, verified_s, is_proof=is_proof
        )
        in_force = self._store_view.stored_configuration
        if in_force is not None:
            self._configuration_server.publish(in_force)
        if is_newer:
            self._on_configuration(stored, origin)

    def _report_change(self, change: ListingChange | None, origin: Origin) -> None:
        if change is not None:
            self._on_change(change, origin)

    def _log_ignored(self, stored: StoredConfiguration) -> None:
        """Log, once, that the store shows another configuration than that in force."""
        in_force = self._store_view.stored_configuration
        if in_force is None or stored.encoded == in_force.encoded:
            self._ignored = None
        elif self._ignored is None or self._ignored.encoded != stored.encoded:
            self._ignored = stored
            self._events.state(
                "configuration_ignored",
                configuration=stored.written.number,
                version=stored.configuration.version,
                in_force=in_force.written.number,
                version_in_force=in_force.configuration.version,
            )

    def _log_rejected(self) -> None:
        rejected = self._reader.rejected_by_key
        for key, reason in rejected.items():
            if key not in self._rejected_by_key:
                self._events.state("entry_rejected", key=key, detail=reason)
        self._rejected_by_key = dict(rejected)

    def _log_unknown_evacuated(self, listing: Listing) -> None:
        """Log evacuated domains of which no server or instance is listed, once."""
        known = self._store_view.registry.failure_domains()
        unknown = listing.evacuated_domains - known
        for domain in sorted(unknown - self._unknown_evacuated):
            self._events.state("evacuation_unknown", domain=domain)
        self._unknown_evacuated = unknown


def _names_size(details: ListingDetails) -> int:
    return sum(len(name.encode()) for name in details.evacuated_domains)


def _origin(
    message: FreshnessReply, size_bytes: int, age_s: float, now: float
) -> Origin:
    """Return the origin of what a reply says that was verified ``age_s`` before."""
    elapsed_s = now - message.query_sent_s
    return Origin(message.sender, size_bytes, elapsed_s, elapsed_s + age_s)
