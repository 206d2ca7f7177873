"""Encode documents with one record per line.

Pieces are split at line boundaries, so a changed record only replaces few pieces.
"""

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
SECTIONS = ("workspaces", "services", "backend_servers", "routes")
DECODERS_BY_SECTION = {
    b"environment": json_codec.decoder(str),
    b"workspaces": json_codec.decoder(Workspace),
    b"services": json_codec.decoder(Service),
    b"backend_servers": json_codec.decoder(BackendServer),
    b"routes": json_codec.decoder(Route),
}


class MalformedDocumentError(GentianhitchError):
    """A stored document could not be decoded."""


def encode_document(document: Document) -> bytes:
    """Encode a document; equal documents have equal encodings."""
    lines = [_encode_line(ENVIRONMENT, document.environment)]
    for section in SECTIONS:
        lines += [
            _encode_line(section, record) for record in getattr(document, section)
        ]
    return b"".join(lines)


def decode_document(data: bytes) -> Document:
    """Decode a document; raise MalformedDocumentError if it is invalid."""
    try:
        return _decode_lines(data)
    except (*json_codec.DecodeError, KeyError) as error:
        raise MalformedDocumentError(f"malformed document: {error!r}") from error


def _decode_lines(data: bytes) -> Document:
    records_by_section: dict[bytes, list[Any]] = {
        name: [] for name in DECODERS_BY_SECTION
    }
    for line in data.splitlines():
        name, _, value = line.partition(b" ")
        records_by_section[name].append(DECODERS_BY_SECTION[name].decode(value))
    (environment,) = records_by_section[ENVIRONMENT.encode()]
    sections = {name: tuple(records_by_section[name.encode()]) for name in SECTIONS}
    return Document(environment=environment, **sections)


def _encode_line(name: str, record: object) -> bytes:
    return b"%b %b\n" % (name.encode(), json_codec.encode(record))
