"""Encode a configuration, compressed relative to one that the receiver has."""

from __future__ import annotations

import msgspec
import zstandard

from gentianhitch import json_codec
from gentianhitch.instances.codec import MalformedMessageError
from gentianhitch.proxy.store_revision import StoreRevision

COMPRESSION_LEVEL = 3
MAX_SOURCE_BYTES = 16 * 1024 * 1024
"""Larger than any configuration that the store can hold in one value."""


class ConfigurationTransfer(msgspec.Struct, frozen=True, array_like=True):
    """A configuration that was verified against the store ``age_s`` seconds ago.

    ``compressed`` is decompressed with the configuration of ``base_revision`` as the
    dictionary, or without one if ``base_revision`` is 0. The eras are those of the
    revisions; older versions send none.
    """

    age_s: float
    revision: int
    base_revision: int
    compressed: bytes
    era: int = 0
    base_era: int = 0

    @property
    def written(self) -> StoreRevision:
        """Return the revision of the configuration."""
        return StoreRevision(self.era, self.revision)

    @property
    def base(self) -> StoreRevision:
        """Return the revision of the base, or NO_REVISION."""
        return StoreRevision(self.base_era, self.base_revision)


class TransferBusy(msgspec.Struct, frozen=True, array_like=True):
    """Refuse a transfer for now; ``holder`` names an instance to try instead."""

    holder: str


_transfer_decoder = msgspec.msgpack.Decoder(ConfigurationTransfer)
_busy_decoder = msgspec.msgpack.Decoder(TransferBusy)


def encode(message: ConfigurationTransfer | TransferBusy) -> bytes:
    """Encode a message as MessagePack."""
    return msgspec.msgpack.encode(message)


def decode_transfer(data: bytes) -> ConfigurationTransfer:
    """Decode a transfer; raise MalformedMessageError if ``data`` is none."""
    try:
        return _transfer_decoder.decode(data)
    except json_codec.DecodeError as error:
        raise MalformedMessageError(f"malformed transfer: {error}") from error


def decode_busy(data: bytes) -> TransferBusy:
    """Decode a refusal; raise MalformedMessageError if ``data`` is none."""
    try:
        return _busy_decoder.decode(data)
    except json_codec.DecodeError as error:
        raise MalformedMessageError(f"malformed refusal: {error}") from error


def compress(source: bytes, base: bytes) -> bytes:
    """Compress ``source`` with ``base`` as the dictionary; empty for none."""
    # The window must cover the base and the source to find matches in all the base.
    window_log = max(zstandard.WINDOWLOG_MIN, (len(base) + len(source)).bit_length())
    parameters = zstandard.ZstdCompressionParameters.from_level(
        COMPRESSION_LEVEL, window_log=window_log, enable_ldm=bool(base)
    )
    compressor = zstandard.ZstdCompressor(
        dict_data=_dictionary(base), compression_params=parameters
    )
    return compressor.compress(source)


def decompress(compressed: bytes, base: bytes) -> bytes:
    """Decompress data compressed with ``base``; raise MalformedMessageError."""
    decompressor = zstandard.ZstdDecompressor(
        dict_data=_dictionary(base), max_window_size=2 * MAX_SOURCE_BYTES
    )
    try:
        return decompressor.decompress(compressed, max_output_size=MAX_SOURCE_BYTES)
    except zstandard.ZstdError as error:
        raise MalformedMessageError(f"malformed configuration: {error}") from error


def _dictionary(base: bytes) -> zstandard.ZstdCompressionDict | None:
    if not base:
        return None
    return zstandard.ZstdCompressionDict(base, dict_type=zstandard.DICT_TYPE_RAWCONTENT)
