"""Turn the store's items into what an instance knows, and back."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from gentianhitch.addresses import Address
from gentianhitch.platform.configuration import decode_configuration
from gentianhitch.platform.interface import PlatformError
from gentianhitch.platform.store import Item
from gentianhitch.platform.wire_names import CONFIGURATION_KEY
from gentianhitch.platform.wire_names import PEERS_PREFIX
from gentianhitch.platform.wire_names import SERVERS_PREFIX
from gentianhitch.proxy.model import BackendServer
from gentianhitch.proxy.model import Configuration
from gentianhitch.proxy.model import Peer
from gentianhitch.proxy.model import StoreView
from gentianhitch.proxy.model import digest_of

STATES = frozenset({"ready", "draining"})


class MalformedEntryError(PlatformError):
    """An item of the store can't be read; it names no one to use."""


class _ServerEntry(msgspec.Struct, rename="camel"):
    service: str
    address: str
    zone: str
    slots: int
    state: str
    # Milliseconds during which the server remains slow after its start.
    warmup_remaining_ms: float
    version: str
    sequence_number: int
    # Unix milliseconds of the server's start.
    born: int | None = None


class _PeerEntry(msgspec.Struct):
    incarnation: int
    failure_domain: str
    callers: str
    views: str
    datagrams: str
    capacity: float = 1.0


_server_decoder = msgspec.json.Decoder(_ServerEntry)
_peer_decoder = msgspec.json.Decoder(_PeerEntry)


def decode_backend_server(item: Item) -> BackendServer:
    """Decode one backend server; raise MalformedEntryError."""
    try:
        entry = _server_decoder.decode(item.value)
        address = Address.parse(entry.address)
    except (msgspec.MsgspecError, ValueError) as error:
        raise MalformedEntryError(f"{item.key}: {error}") from error
    if entry.state not in STATES or entry.slots < 1 or not entry.service:
        raise MalformedEntryError(f"{item.key}: state {entry.state[:20]!r}")
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
    """Decode one entry instance; raise MalformedEntryError."""
    try:
        entry = _peer_decoder.decode(item.value)
        return Peer(
            name=item.key.removeprefix(PEERS_PREFIX),
            incarnation=entry.incarnation,
            failure_domain=entry.failure_domain,
            callers=Address.parse(entry.callers),
            views=Address.parse(entry.views),
            datagrams=Address.parse(entry.datagrams),
            capacity=entry.capacity,
        )
    except (msgspec.MsgspecError, ValueError) as error:
        raise MalformedEntryError(f"{item.key}: {error}") from error


def encode_peer(peer: Peer) -> bytes:
    """Encode the entry of an instance."""
    return msgspec.json.encode(
        _PeerEntry(
            peer.incarnation,
            peer.failure_domain,
            str(peer.callers),
            str(peer.views),
            str(peer.datagrams),
            peer.capacity,
        )
    )


def peer_key(name: str) -> str:
    """Return the key under which the instance ``name`` is listed."""
    return PEERS_PREFIX + name


class ViewDecoder:
    """Decode whole reads of the store; the configuration only when it changes.

    ``rejected_by_key`` holds the reason for each item of the last read that can't
    be used.
    """

    def __init__(self) -> None:
        self._revision = -1
        self._configuration: Configuration | None = None
        self.rejected_by_key: dict[str, str] = {}

    def decode(self, items: Iterable[Item], revision: int) -> StoreView:
        """Decode one read; raise MalformedConfigurationError."""
        servers: dict[str, BackendServer] = {}
        peers: dict[str, Peer] = {}
        source, configuration_revision = b"", 0
        self.rejected_by_key = {}
        for item in items:
            try:
                if item.key == CONFIGURATION_KEY:
                    source, configuration_revision = item.value, item.revision
                elif item.key.startswith(SERVERS_PREFIX):
                    server = decode_backend_server(item)
                    servers[server.id] = server
                elif item.key.startswith(PEERS_PREFIX):
                    peer = decode_peer(item)
                    peers[peer.name] = peer
            except MalformedEntryError as error:
                self.rejected_by_key[item.key] = str(error)
        return StoreView(
            revision=revision,
            configuration_revision=configuration_revision,
            configuration_source=source,
            configuration=self.configuration(source, configuration_revision),
            backend_servers_by_id=servers,
            peers_by_name=peers,
            digest=digest_of(configuration_revision, servers.values(), peers.values()),
        )

    def configuration(self, source: bytes, revision: int) -> Configuration | None:
        """Decode the configuration written at ``revision``; None if there is none."""
        if not revision:
            return None
        if revision != self._revision:
            self._configuration = decode_configuration(source)
            self._revision = revision
        return self._configuration
