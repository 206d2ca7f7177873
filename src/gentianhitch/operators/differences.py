"""Tell operators what a tried document changes in production."""

from __future__ import annotations

from collections.abc import Iterator

import attrs

from gentianhitch.operators.checking import record_label
from gentianhitch.operators.document import Document
from gentianhitch.operators.document import Record
from gentianhitch.operators.document import records


@attrs.frozen
class Difference:
    """One record that was added, removed or changed."""

    place: str
    message: str

    def __str__(self) -> str:
        return f"{self.place} {self.message}"


def compare(production: Document | None, tried: Document) -> tuple[Difference, ...]:
    """Return what ``tried`` changes; keys are left out."""
    return tuple(_find_differences(production, tried))


def _find_differences(
    production: Document | None, tried: Document
) -> Iterator[Difference]:
    old_by_place = _records_by_label(production) if production else {}
    new_by_place = _records_by_label(tried)
    for name, new in new_by_place.items():
        old = old_by_place.get(name)
        if old is None:
            yield Difference(name, "is added")
        elif old != new:
            yield from _find_changed_fields(name, old, new)
    for name in old_by_place:
        if name not in new_by_place:
            yield Difference(name, "is removed")


def _records_by_label(document: Document) -> dict[str, Record]:
    return {record_label(record): record for record in records(document)}


def _find_changed_fields(name: str, old: Record, new: Record) -> Iterator[Difference]:
    for field in attrs.fields(type(new)):
        before, after = getattr(old, field.name), getattr(new, field.name)
        if before != after and field.name != "key_hashes":
            yield Difference(name, f"changes {field.name} from {before} to {after}")
