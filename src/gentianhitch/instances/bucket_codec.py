"""Encode buckets of servers and instances for datagrams."""

from __future__ import annotations

import msgspec

from gentianhitch.addresses import Address
from gentianhitch.instances.codec import MalformedMessageError
from gentianhitch.proxy.model import BackendServer
from gentianhitch.proxy.model import Peer
from gentianhitch.proxy.registry import Bucket

MAX_PACKED_BYTES = 1_000
"""Leaves room for the rest of a message in 1,232 bytes, which no path fragments."""


class _ServerRow(msgspec.Struct, frozen=True, array_like=True):
    id: str
    started_ms: int
    service: str
    address: str
    failure_domain: str
    slots: int
    draining: bool
    warmup_s: float


class _PeerRow(msgspec.Struct, frozen=True, array_like=True):
    name: str
    incarnation: int
    failure_domain: str
    callers: str
    views: str
    datagrams: str
    capacity: float
    link_mbps: float


class _BucketRows(msgspec.Struct, frozen=True, array_like=True):
    servers: list[_ServerRow]
    peers: list[_PeerRow]


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(_BucketRows)


def encode_bucket(bucket: Bucket) -> bytes:
    """Encode one bucket."""
    return _encoder.encode(
        _BucketRows(
            [_server_row(server) for server in bucket.servers],
            [_peer_row(peer) for peer in bucket.peers],
        )
    )


def decode_bucket(data: bytes) -> Bucket:
    """Decode one bucket; raise MalformedMessageError."""
    try:
        rows = _decoder.decode(data)
        return Bucket(
            tuple(_server(row) for row in rows.servers),
            tuple(_peer(row) for row in rows.peers),
        )
    except (msgspec.MsgspecError, ValueError) as error:
        raise MalformedMessageError(f"malformed bucket: {error}") from error


def pack_buckets(
    buckets: list[tuple[int, Bucket]],
) -> tuple[list[tuple[int, bytes]], int]:
    """Encode as many buckets as fit in a datagram; return also how many do not.

    The first is always taken, so that every exchange makes progress.
    """
    packed: list[tuple[int, bytes]] = []
    room = MAX_PACKED_BYTES
    for number, bucket in buckets:
        encoded = encode_bucket(bucket)
        room -= len(encoded)
        if packed and room < 0:
            break
        packed.append((number, encoded))
    return packed, len(buckets) - len(packed)


def _server_row(server: BackendServer) -> _ServerRow:
    return _ServerRow(
        server.id,
        server.started_ms,
        server.service,
        str(server.address),
        server.failure_domain,
        server.slots,
        server.draining,
        server.warmup_s,
    )


def _server(row: _ServerRow) -> BackendServer:
    return BackendServer(
        row.id,
        row.started_ms,
        row.service,
        Address.parse(row.address),
        row.failure_domain,
        row.slots,
        row.draining,
        row.warmup_s,
    )


def _peer_row(peer: Peer) -> _PeerRow:
    return _PeerRow(
        peer.name,
        peer.incarnation,
        peer.failure_domain,
        str(peer.callers),
        str(peer.views),
        str(peer.datagrams),
        peer.capacity,
        peer.link_mbps,
    )


def _peer(row: _PeerRow) -> Peer:
    return Peer(
        row.name,
        row.incarnation,
        row.failure_domain,
        Address.parse(row.callers),
        Address.parse(row.views),
        Address.parse(row.datagrams),
        row.capacity,
        row.link_mbps,
    )
