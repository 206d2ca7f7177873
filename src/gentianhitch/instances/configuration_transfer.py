"""Encode a configuration as a compressed difference from one that the receiver has."""

from __future__ import annotations

import msgspec
import zstandard

from gentianhitch.instances.codec import MalformedMessageError

LEVEL = 3
MAX_SOURCE_BYTES = 16 * 1024 * 1024
"""Above any configuration that the store holds in one value."""


class ConfigurationTransfer(msgspec.Struct, frozen=True, array_like=True):
    """A configuration that was proved ``age_s`` seconds ago.

    ``compressed`` needs the configuration written at ``base_revision`` as its
    dictionary; 0 stands for none.
    """

    age_s: float
    revision: int
    base_revision: int
    compressed: bytes


class TransferBusy(msgspec.Struct, frozen=True, array_like=True):
    """Say that no transfer can begin now; ``holder`` has the configuration too."""

    holder: str


_transfers = msgspec.msgpack.Decoder(ConfigurationTransfer)
_refusals = msgspec.msgpack.Decoder(TransferBusy)


def encode(message: ConfigurationTransfer | TransferBusy) -> bytes:
    """Encode a message."""
    return msgspec.msgpack.encode(message)


def decode_transfer(data: bytes) -> ConfigurationTransfer:
    """Decode a transfer; raise MalformedMessageError."""
    try:
        return _transfers.decode(data)
    except msgspec.MsgspecError as error:
        raise MalformedMessageError(f"malformed transfer: {error}") from error


def decode_busy(data: bytes) -> TransferBusy:
    """Decode a refusal; raise MalformedMessageError."""
    try:
        return _refusals.decode(data)
    except msgspec.MsgspecError as error:
        raise MalformedMessageError(f"malformed refusal: {error}") from error


def compress(source: bytes, base: bytes) -> bytes:
    """Compress ``source``, using what it has in common with ``base``."""
    # The window must reach back over all of the base.
    window_log = max(zstandard.WINDOWLOG_MIN, (len(base) + len(source)).bit_length())
    parameters = zstandard.ZstdCompressionParameters.from_level(
        LEVEL, window_log=window_log, enable_ldm=bool(base)
    )
    compressor = zstandard.ZstdCompressor(
        dict_data=_dictionary(base), compression_params=parameters
    )
    return compressor.compress(source)


def decompress(compressed: bytes, base: bytes) -> bytes:
    """Restore what was compressed with ``base``; raise MalformedMessageError."""
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
