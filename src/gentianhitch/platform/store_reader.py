"""Decode the items that an instance reads from the store, and encode its entry."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Annotated

import msgspec

from gentianhitch import json_codec
from gentianhitch.addresses import Address
from gentianhitch.http_client import Progress
from gentianhitch.platform.configuration import decode_configuration
from gentianhitch.platform.interface import PlatformError
from gentianhitch.platform.store import Item
from gentianhitch.platform.store import KeyValueStore
from gentianhitch.platform.wire_names import CONFIGURATION_KEY
from gentianhitch.platform.wire_names import EVACUATIONS_PREFIX
from gentianhitch.platform.wire_names import PEERS_PREFIX
from gentianhitch.platform.wire_names import SERVERS_PREFIX
from gentianhitch.proxy.model import DEFAULT_LINK_MBPS
from gentianhitch.proxy.model import BackendServer
from gentianhitch.proxy.model import Listing
from gentianhitch.proxy.model import ListingWrites
from gentianhitch.proxy.model import Peer
from gentianhitch.proxy.model import StoredConfiguration
from gentianhitch.proxy.store_revision import StoreRevision

SERVER_STATES = frozenset({"ready", "draining"})

MAX_NAME_BYTES = 200
"""As long as a key of the store may be; entries must fit in a datagram."""

MAX_SLOTS = 100_000
MAX_WHOLE_NUMBER = 2**63 - 1
"""Instances send each other whole numbers of 64 bits."""


class MalformedEntryError(PlatformError):
    """An item of the store is malformed and is left out of the listing."""


_Name = Annotated[str, msgspec.Meta(max_length=MAX_NAME_BYTES)]
_WholeNumber = Annotated[int, msgspec.Meta(ge=0, le=MAX_WHOLE_NUMBER)]


class _ServerEntry(msgspec.Struct, rename="camel"):
    service: _Name
    address: _Name
    zone: _Name
    slots: Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)]
    state: str
    # Remaining time in which the server is slow because it has just started.
    warmup_remaining_ms: float
    version: str
    sequence_number: _WholeNumber
    # Start time of the server in Unix milliseconds.
    born: _WholeNumber | None = None


class _PeerEntry(msgspec.Struct):
    incarnation: int
    failure_domain: str
    callers: str
    configurations: str
    datagrams: str
    capacity: float = 1.0
    link_mbps: float = DEFAULT_LINK_MBPS


_server_decoder = msgspec.json.Decoder(_ServerEntry)
_peer_decoder = msgspec.json.Decoder(_PeerEntry)


def decode_backend_server(item: Item) -> BackendServer:
    """Decode the entry of a backend server; raise MalformedEntryError."""
    try:
        entry = _server_decoder.decode(item.value)
        address = Address.parse(entry.address)
    except json_codec.DecodeError as error:
        raise MalformedEntryError(f"{item.key}: {error}") from error
    if entry.state not in SERVER_STATES or not entry.service or not address.port:
        raise MalformedEntryError(
            f"{item.key}: invalid entry: state {entry.state[:20]!r}, "
            f"address {address}, service {entry.service[:20]!r}"
        )
    return BackendServer(
        id=item.key.removeprefix(SERVERS_PREFIX),
        started_ms=item.created_revision if entry.born is None else entry.born,
        service=entry.service,
        address=address,
        failure_domain=entry.zone,
        slots=entry.slots,
        draining=entry.state == "draining",
        warmup_s=max(entry.warmup_remaining_ms, 0.0) / 1000,
    )


def decode_peer(item: Item) -> Peer:
    """Decode the entry of an entry instance; raise MalformedEntryError."""
    try:
        entry = _peer_decoder.decode(item.value)
        return Peer(
            name=item.key.removeprefix(PEERS_PREFIX),
            incarnation=entry.incarnation,
            failure_domain=entry.failure_domain,
            caller_address=Address.parse(entry.callers),
            transfer_address=Address.parse(entry.configurations),
            datagram_address=Address.parse(entry.datagrams),
            capacity=entry.capacity,
            link_mbps=entry.link_mbps,
        )
    except json_codec.DecodeError as error:
        raise MalformedEntryError(f"{item.key}: {error}") from error


def decode_evacuation(item: Item) -> str:
    """Return the domain that a key evacuates; raise MalformedEntryError.

    The value is ignored: the existence of the key evacuates the domain.
    """
    domain = item.key.removeprefix(EVACUATIONS_PREFIX)
    if not domain:
        raise MalformedEntryError(f"{item.key}: no failure domain is named")
    return domain


def encode_peer(peer: Peer) -> bytes:
    """Encode the entry that an instance writes about itself."""
    return msgspec.json.encode(
        _PeerEntry(
            peer.incarnation,
            peer.failure_domain,
            str(peer.caller_address),
            str(peer.transfer_address),
            str(peer.datagram_address),
            peer.capacity,
            peer.link_mbps,
        )
    )


def peer_key(name: str) -> str:
    """Return the store key of the entry of instance ``name``."""
    return PEERS_PREFIX + name


class StoreReader:
    """Reads the listing and the configuration from the store separately.

    ``rejected_by_key`` holds the reason for each malformed item of the last listing.
    """

    def __init__(self, store: KeyValueStore) -> None:
        self._store = store
        self.rejected_by_key: dict[str, str] = {}

    async def read_all(self, progress: Progress) -> tuple[Listing, Item | None]:
        """Read the listing and the configuration's item in one call."""
        page = await self._store.read_range("", "", progress)
        items = {item.key: item for item in page.items}
        listing = self.decode_listing(page.items, page.revision)
        return listing, items.get(CONFIGURATION_KEY)

    async def read_listing(self, progress: Progress) -> Listing:
        """Read the servers, instances and evacuations, not the configuration."""
        # All these prefixes sort after the configuration's key.
        page = await self._store.read_range("", CONFIGURATION_KEY, progress)
        return self.decode_listing(page.items, page.revision)

    async def read_configuration(
        self, progress: Progress
    ) -> StoredConfiguration | None:
        """Read the configuration; None if the operator has not written one yet."""
        item = await self._store.read(CONFIGURATION_KEY, progress)
        return None if item is None else decode_stored(item.written, item.value)

    async def read_configuration_if_changed(
        self, revision: StoreRevision, progress: Progress
    ) -> StoredConfiguration | None:
        """Read the configuration; None if it is still at ``revision``."""
        item = await self._store.read_if_changed(CONFIGURATION_KEY, revision, progress)
        return None if item is None else decode_stored(item.written, item.value)

    def decode_listing(self, items: Iterable[Item], revision: StoreRevision) -> Listing:
        """Decode the items of one read; malformed entries do not affect the others."""
        servers: dict[str, BackendServer] = {}
        peers: dict[str, Peer] = {}
        writes = ListingWrites()
        self.rejected_by_key = {}
        for item in items:
            try:
                if item.key.startswith(SERVERS_PREFIX):
                    server = decode_backend_server(item)
                    servers[server.id] = server
                    writes.servers[server.id] = (item.revision, item.value)
                elif item.key.startswith(PEERS_PREFIX):
                    peer = decode_peer(item)
                    peers[peer.name] = peer
                    writes.peers[peer.name] = (item.revision, item.value)
                elif item.key.startswith(EVACUATIONS_PREFIX):
                    domain = decode_evacuation(item)
                    writes.evacuations[domain] = (item.revision, item.value)
            except MalformedEntryError as error:
                self.rejected_by_key[item.key] = str(error)
        evacuated = frozenset(writes.evacuations)
        return Listing(revision, servers, peers, evacuated, writes)


def decode_stored(written: StoreRevision, source: bytes) -> StoredConfiguration:
    """Decode the stored configuration; raise MalformedConfigurationError."""
    return StoredConfiguration(written, source, decode_configuration(source))
