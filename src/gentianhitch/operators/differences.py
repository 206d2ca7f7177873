"""Compare a tried document with the one in production."""

from __future__ import annotations

from collections.abc import Iterator

import attrs

from gentianhitch.operators.checking import record_label
from gentianhitch.operators.document import Document
from gentianhitch.operators.document import Record
from gentianhitch.operators.document import records


@attrs.frozen
class Difference:
    """An added or removed record, or one changed field of a record.

    ``place`` is the label of the record.
    """

    place: str
    message: str

    def __str__(self) -> str:
        return f"{self.place} {self.message}"


def compare(production: Document | None, tried: Document) -> tuple[Difference, ...]:
    """Return the differences from ``production`` to ``tried``, key hashes excluded.

    Every record counts as added if nothing is in production.
    """
    return tuple(_find_differences(production, tried))


def _find_differences(
    production: Document | None, tried: Document
) -> Iterator[Difference]:
    old_by_label = _records_by_label(production) if production else {}
    new_by_label = _records_by_label(tried)
    for label, new in new_by_label.items():
        old = old_by_label.get(label)
        if old is None:
            yield Difference(label, "is added")
        elif old != new:
            yield from _find_changed_fields(label, old, new)
    for label in old_by_label:
        if label not in new_by_label:
            yield Difference(label, "is removed")


def _records_by_label(document: Document) -> dict[str, Record]:
    return {record_label(record): record for record in records(document)}


def _find_changed_fields(label: str, old: Record, new: Record) -> Iterator[Difference]:
    for field in attrs.fields(type(new)):
        before, after = getattr(old, field.name), getattr(new, field.name)
        if before != after and field.name != "key_hashes":
            yield Difference(label, f"changes {field.name} from {before} to {after}")
