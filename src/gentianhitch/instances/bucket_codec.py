"""Encode buckets of backend servers and instances for datagrams."""

from __future__ import annotations

from collections.abc import Iterable

import attrs
import msgspec

from gentianhitch import json_codec
from gentianhitch.addresses import Address
from gentianhitch.instances.codec import MalformedMessageError
from gentianhitch.proxy.model import BackendServer
from gentianhitch.proxy.model import Peer
from gentianhitch.proxy.registry import BUCKET_COUNT
from gentianhitch.proxy.registry import Bucket

MAX_PACKED_BYTES = 1_000
"""Leaves space for the other fields in 1,232 bytes, which no path fragments."""

# Values in the order of the fields: with field names the size would double.
_ServerRow = tuple[str, int, str, Address, str, int, bool, float]
_PeerRow = tuple[str, int, str, Address, Address, Address, float, float]

_encoder = msgspec.msgpack.Encoder(enc_hook=json_codec.encode_hook)
_decoder = msgspec.msgpack.Decoder(
    tuple[list[_ServerRow], list[_PeerRow]], dec_hook=json_codec.decode_hook
)


def encode_bucket(bucket: Bucket) -> bytes:
    """Encode the servers and peers of one bucket as rows of values."""
    return _encoder.encode((_rows(bucket.servers), _rows(bucket.peers)))


def decode_bucket(data: bytes) -> Bucket:
    """Decode one bucket; raise MalformedMessageError if a row has wrong values."""
    try:
        servers, peers = _decoder.decode(data)
    except json_codec.DecodeError as error:
        raise MalformedMessageError(f"malformed bucket: {error}") from error
    return Bucket(
        tuple(BackendServer(*row) for row in servers),
        tuple(Peer(*row) for row in peers),
    )


def pack_buckets(
    buckets: list[tuple[int, Bucket]], reserved_bytes: int = 0
) -> tuple[list[tuple[int, bytes]], int]:
    """Encode as many buckets as fit in a datagram; return them and the number left out.

    ``reserved_bytes`` is the size of variable fields that travel with them.
    The first is always included, so that every exchange makes progress.
    """
    packed: list[tuple[int, bytes]] = []
    remaining_bytes = MAX_PACKED_BYTES - reserved_bytes
    for number, bucket in buckets:
        encoded = encode_bucket(bucket)
        remaining_bytes -= len(encoded)
        if packed and remaining_bytes < 0:
            break
        packed.append((number, encoded))
    return packed, len(buckets) - len(packed)


def unpack_buckets(packed: list[tuple[int, bytes]]) -> list[tuple[int, Bucket]]:
    """Decode the buckets of a datagram; raise MalformedMessageError."""
    for number, _ in packed:
        if not 0 <= number < BUCKET_COUNT:
            raise MalformedMessageError(
                f"there is no bucket {number} (of {BUCKET_COUNT})"
            )
    return [(number, decode_bucket(data)) for number, data in packed]


def _rows(entries: Iterable[attrs.AttrsInstance]) -> list[tuple[object, ...]]:
    return [attrs.astuple(entry, recurse=False) for entry in entries]
