"""Encode and decode JSON for attrs classes that contain addresses."""

from __future__ import annotations

from typing import Any
from typing import TypeVar

import msgspec

from gentianhitch.addresses import Address

T = TypeVar("T")

DecodeError = (msgspec.MsgspecError, ValueError, RecursionError)
"""Exceptions raised for malformed data, for use in ``except`` clauses.

Deeply nested values raise RecursionError, also in fields that are ignored.
"""


def encode(value: object) -> bytes:
    """Encode a value as JSON."""
    return msgspec.json.encode(value, enc_hook=encode_hook)


def decode(data: bytes, kind: type[T]) -> T:
    """Decode JSON as ``kind``; raise one of DecodeError."""
    return msgspec.json.decode(data, type=kind, dec_hook=decode_hook)


def decoder(kind: Any) -> msgspec.json.Decoder[Any]:
    """Return a reusable decoder for values of type ``kind``."""
    return msgspec.json.Decoder(kind, dec_hook=decode_hook)


def encode_hook(value: object) -> object:
    """Encode types that msgspec does not support."""
    if isinstance(value, Address):
        return str(value)
    raise NotImplementedError(type(value))


def decode_hook(kind: type, value: object) -> object:
    """Decode types that msgspec does not support; raise ValueError."""
    if kind is Address:
        return Address.parse(value)
    raise NotImplementedError(kind)
