"""Encode and decode the messages that entry instances exchange."""

from __future__ import annotations

from typing import TypeVar
from typing import dataclass_transform

import attrs
import msgspec

from gentianhitch import json_codec
from gentianhitch.errors import GentianhitchError

T = TypeVar("T")

_classes_by_name: dict[str, type] = {}


class MalformedMessageError(GentianhitchError):
    """A message from another instance could not be decoded."""


@dataclass_transform(frozen_default=True, field_specifiers=(attrs.field,))
def message(kind: type[T]) -> type[T]:
    """Make ``kind`` a frozen attrs class and register it for decoding by its name."""
    frozen = attrs.frozen(kind)
    _classes_by_name[frozen.__name__] = frozen
    return frozen


def encode(body: object) -> bytes:
    """Encode a message as its class name, a zero byte and MessagePack."""
    payload = msgspec.msgpack.encode(body, enc_hook=json_codec.encode_hook)
    return type(body).__name__.encode() + b"\0" + payload


def decode(data: bytes) -> object:
    """Decode a message; raise MalformedMessageError for an unknown or invalid one."""
    name, _, payload = data.partition(b"\0")
    kind = _classes_by_name.get(name.decode(errors="replace"))
    if kind is None:
        raise MalformedMessageError(f"unknown message {name[:40]!r}")
    try:
        return msgspec.msgpack.decode(
            payload, type=kind, dec_hook=json_codec.decode_hook
        )
    except json_codec.DecodeError as error:
        raise MalformedMessageError(f"malformed {kind.__name__}: {error}") from error
