"""Load JSON with comments into attrs classes; errors name the JSON path."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path
from typing import Any
from typing import TypeVar
from typing import get_args
from typing import get_type_hints

import attrs
import msgspec
import pyjson5

from gentianhitch.addresses import Address
from gentianhitch.errors import UsageError

T = TypeVar("T")


class CheckError(UsageError):
    """Input that does not match its class; the message names the JSON path."""


def load(path: Path, kind: type[T]) -> T:
    """Load the file at ``path`` as ``kind``; raise CheckError."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise CheckError(f"cannot read {str(path)!r}: {error}") from error
    return loads(text, kind, source=str(path))


def loads(text: str, kind: type[T], *, source: str) -> T:
    """Load ``text`` as ``kind``; raise CheckError, whose message names ``source``."""
    try:
        raw = pyjson5.decode(text)
    except pyjson5.Json5Exception as error:
        raise CheckError(f"{source}: not JSON with comments: {error}") from error
    unknown = next(_unknown_names(raw, kind, "$"), None)
    if unknown is not None:
        raise CheckError(f"{source}: unknown name at {unknown}")
    try:
        return msgspec.convert(raw, kind, dec_hook=_decode)
    except msgspec.ValidationError as error:
        raise CheckError(f"{source}: {error}") from error


def _decode(kind: type, value: Any) -> Any:
    if kind is Address:
        return Address.parse(value)
    if kind is Path:
        return Path(value)
    raise NotImplementedError(kind)


def _unknown_names(raw: Any, kind: Any, json_path: str) -> Iterator[str]:
    if isinstance(raw, list | dict) and get_args(kind):
        yield from _unknown_in_collection(raw, get_args(kind), json_path)
    elif isinstance(raw, dict) and attrs.has(kind):
        hints = get_type_hints(kind)
        for name, value in raw.items():
            if name not in hints:
                yield f"{json_path}.{name}"
            else:
                yield from _unknown_names(value, hints[name], f"{json_path}.{name}")


def _unknown_in_collection(
    raw: list[Any] | dict[str, Any], kinds: tuple[Any, ...], json_path: str
) -> Iterator[str]:
    if isinstance(raw, dict):
        for name, value in raw.items():
            yield from _unknown_names(value, kinds[-1], f"{json_path}.{name}")
        return
    for index, value in enumerate(raw):
        yield from _unknown_names(value, kinds[0], f"{json_path}[{index}]")
