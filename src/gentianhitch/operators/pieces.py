"""Cut large values into content-addressed pieces and join them again.

The pieces form a tree: leaves carry the data, nodes the digests of their
children. Cuts follow the content, line by line, so that a changed line replaces
only the pieces from its leaf up to the root.
"""

from __future__ import annotations

import hashlib
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator

import attrs
import xxhash

from gentianhitch.errors import GentianhitchError
from gentianhitch.platform.interface import ABSENT
from gentianhitch.platform.interface import ConflictError
from gentianhitch.platform.interface import OutcomeUnknownError
from gentianhitch.platform.interface import Platform
from gentianhitch.platform.interface import UnavailableError

MAX_PIECE_BYTES = 512 * 1024
MEAN_LINES_PER_PIECE = 128
MIN_LINES_PER_PIECE = 2
MAX_DEPTH = 16
MAX_WRITE_ATTEMPTS = 3

LEAF = b"leaf\n"
NODE = b"node\n"


class PieceError(GentianhitchError):
    """Base class of errors about pieces."""


class MissingPieceError(PieceError):
    """A piece is not in the store."""


class CorruptPieceError(PieceError):
    """A piece does not match its digest or cannot be read."""


class PiecesUnavailableError(PieceError):
    """The platform could not be reached; pieces already written do no harm."""


@attrs.frozen
class Piece:
    """One value of the store, named by its digest."""

    digest: str
    value: bytes


@attrs.frozen
class PieceTree:
    """A cut value; ``pieces`` has children before their parents."""

    root_digest: str
    pieces: tuple[Piece, ...]


FetchPiece = Callable[[str], Awaitable[bytes]]


def digest_of(value: bytes) -> str:
    """Return the digest that names a piece."""
    return hashlib.sha256(value).hexdigest()


def piece_key(environment: str, digest: str) -> str:
    """Return the key of a piece."""
    return f"gentianhitch/{environment}/piece/{digest}"


def split(data: bytes) -> PieceTree:
    """Cut ``data`` into a tree of pieces."""
    level = [_make_piece(LEAF, chunk) for chunk in _group_lines(_split_lines(data))]
    pieces = list(level)
    while len(level) > 1:
        digests = [piece.digest.encode() + b"\n" for piece in level]
        level = [_make_piece(NODE, chunk) for chunk in _group_lines(digests)]
        pieces += level
    return PieceTree(level[0].digest, tuple(pieces))


def validate(digest: str, value: bytes) -> None:
    """Check that a piece matches its digest; raise CorruptPieceError."""
    if digest_of(value) != digest:
        raise CorruptPieceError(f"piece {digest[:12]} does not match its digest")


def child_digests(value: bytes) -> tuple[str, ...]:
    """Return the digests that a piece names; none for a leaf."""
    if value.startswith(LEAF):
        return ()
    if not value.startswith(NODE):
        raise CorruptPieceError(f"unknown kind of piece {value[:8]!r}")
    return tuple(value[len(NODE) :].decode(errors="replace").split())


async def join(root_digest: str, fetch: FetchPiece) -> bytes:
    """Fetch, check and join the tree below ``root_digest``."""
    return b"".join(await _join_subtree(root_digest, fetch, MAX_DEPTH))


async def store(platform: Platform, environment: str, data: bytes) -> str:
    """Write the pieces that the store lacks and return the root's digest."""
    tree = split(data)
    for piece in tree.pieces:
        await _store_piece(platform, piece_key(environment, piece.digest), piece)
    return tree.root_digest


async def load(platform: Platform, environment: str, root_digest: str) -> bytes:
    """Read the value whose root piece is ``root_digest`` from the platform."""

    async def fetch(digest: str) -> bytes:
        return await _load_piece(platform, environment, digest)

    return await join(root_digest, fetch)


def _make_piece(kind: bytes, chunk: bytes) -> Piece:
    value = kind + chunk
    return Piece(digest_of(value), value)


def _split_lines(data: bytes) -> Iterator[bytes]:
    for line in data.splitlines(keepends=True):
        for start in range(0, len(line), MAX_PIECE_BYTES):
            yield line[start : start + MAX_PIECE_BYTES]


def _group_lines(lines: Iterable[bytes]) -> Iterator[bytes]:
    chunk: list[bytes] = []
    size = 0
    for line in lines:
        if chunk and size + len(line) > MAX_PIECE_BYTES:
            yield b"".join(chunk)
            chunk, size = [], 0
        chunk.append(line)
        size += len(line)
        if len(chunk) >= MIN_LINES_PER_PIECE and _ends_chunk(line):
            yield b"".join(chunk)
            chunk, size = [], 0
    if chunk or not size:
        yield b"".join(chunk)


def _ends_chunk(line: bytes) -> bool:
    return xxhash.xxh3_64_intdigest(line) % MEAN_LINES_PER_PIECE == 0


async def _join_subtree(digest: str, fetch: FetchPiece, depth: int) -> list[bytes]:
    if depth == 0:
        raise CorruptPieceError(f"pieces are nested more than {MAX_DEPTH} deep")
    value = await fetch(digest)
    validate(digest, value)
    children = child_digests(value)
    if value.startswith(LEAF):
        return [value[len(LEAF) :]]
    parts: list[bytes] = []
    for child in children:
        parts += await _join_subtree(child, fetch, depth - 1)
    return parts


async def _load_piece(platform: Platform, environment: str, digest: str) -> bytes:
    try:
        entry = await platform.get(piece_key(environment, digest))
    except UnavailableError as error:
        raise PiecesUnavailableError(f"cannot read a piece: {error}") from error
    if entry is None:
        raise MissingPieceError(f"piece {digest[:12]} is not in the store")
    return entry.value


async def _store_piece(platform: Platform, key: str, piece: Piece) -> None:
    for _ in range(MAX_WRITE_ATTEMPTS):
        try:
            await platform.put(key, piece.value, expected_revision=ABSENT)
        except ConflictError:
            return
        except OutcomeUnknownError:
            continue
        except UnavailableError as error:
            raise PiecesUnavailableError(f"cannot write a piece: {error}") from error
        return
    raise PiecesUnavailableError(f"no reply to {MAX_WRITE_ATTEMPTS} writes of a piece")
