"""Encode documents as one record a line, so that pieces follow the records."""

from __future__ import annotations

from typing import Any

from gentianhitch import json_codec
from gentianhitch.errors import GentianhitchError
from gentianhitch.operators.document import BackendServer
from gentianhitch.operators.document import Document
from gentianhitch.operators.document import Route
from gentianhitch.operators.document import Service
from gentianhitch.operators.document import Workspace

ENVIRONMENT = "environment"
KINDS_BY_SECTION: dict[str, type] = {
    "workspaces": Workspace,
    "services": Service,
    "backend_servers": BackendServer,
    "routes": Route,
}


class MalformedDocumentError(GentianhitchError):
    """A stored document could not be read."""


def encode_document(document: Document) -> bytes:
    """Encode a document; equal documents give equal bytes."""
    lines = [_line(ENVIRONMENT, document.environment)]
    for section in KINDS_BY_SECTION:
        lines += [_line(section, record) for record in getattr(document, section)]
    return b"".join(lines)


def decode_document(data: bytes) -> Document:
    """Decode a document; raise MalformedDocumentError."""
    try:
        return _decode(data)
    except (*json_codec.DecodeError, KeyError, TypeError) as error:
        raise MalformedDocumentError(f"malformed document: {error!r}") from error


def _decode(data: bytes) -> Document:
    environment = ""
    records_by_section: dict[str, list[Any]] = {name: [] for name in KINDS_BY_SECTION}
    for line in data.splitlines():
        section, record = json_codec.decode(line, tuple[str, Any])
        if section == ENVIRONMENT:
            environment = record
            continue
        kind = KINDS_BY_SECTION[section]
        records_by_section[section].append(json_codec.convert(record, kind))
    sections = {name: tuple(records) for name, records in records_by_section.items()}
    return Document(environment=environment, **sections)


def _line(section: str, record: object) -> bytes:
    return json_codec.encode([section, record]) + b"\n"
