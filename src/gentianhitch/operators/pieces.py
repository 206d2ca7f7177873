"""Split large values into content-addressed pieces and join them again.

The pieces form a Merkle tree: leaves hold the data and inner nodes the digests of
their children. Chunk boundaries depend on the content of the lines, so a changed line
replaces only a few leaves and the nodes on the path to the root.
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
    """Base class of errors from reading or writing pieces."""


class MissingPieceError(PieceError):
    """A piece is not in the store."""


class CorruptPieceError(PieceError):
    """A piece does not match its digest or cannot be decoded."""


class PiecesUnavailableError(PieceError):
    """The platform could not be reached.

    Pieces already written stay; they have no effect until a head refers to them.
    """


@attrs.frozen
class Piece:
    """A stored value, addressed by its SHA-256 digest."""

    digest: str
    value: bytes


@attrs.frozen
class PieceTree:
    """A value split into pieces; ``pieces`` lists children before their parents."""

    root_digest: str
    pieces: tuple[Piece, ...]


FetchPiece = Callable[[str], Awaitable[bytes]]


def digest_of(value: bytes) -> str:
    """Return the hexadecimal SHA-256 digest that addresses a piece."""
    return hashlib.sha256(value).hexdigest()


def piece_key(environment: str, digest: str) -> str:
    """Return the key that holds a piece in the platform's store."""
    return f"gentianhitch/{environment}/piece/{digest}"


def split(data: bytes) -> PieceTree:
    """Split ``data`` into a tree of pieces of limited size."""
    level = [_make_piece(LEAF, chunk) for chunk in _group_lines(_split_lines(data))]
    pieces = list(level)
    while len(level) > 1:
        digests = [piece.digest.encode() + b"\n" for piece in level]
        level = [_make_piece(NODE, chunk) for chunk in _group_lines(digests)]
        pieces += level
    return PieceTree(level[0].digest, tuple(pieces))


def validate(digest: str, value: bytes) -> None:
    """Raise CorruptPieceError if a piece does not match its digest."""
    if digest_of(value) != digest:
        raise CorruptPieceError(f"piece {digest[:12]} does not match its digest")


def child_digests(value: bytes) -> tuple[str, ...]:
    """Return the digests of a piece's children, empty for a leaf.

    Raise CorruptPieceError if the piece is of an unknown kind.
    """
    if value.startswith(LEAF):
        return ()
    if not value.startswith(NODE):
        raise CorruptPieceError(f"unknown kind of piece {value[:8]!r}")
    return tuple(value[len(NODE) :].decode(errors="replace").split())


async def join(root_digest: str, fetch: FetchPiece) -> bytes:
    """Fetch and verify the tree below ``root_digest`` and return its data.

    Raise CorruptPieceError if a piece is invalid or the tree is too deep.
    """
    return b"".join(await _join_subtree(root_digest, fetch, MAX_DEPTH))


async def store(platform: Platform, environment: str, data: bytes) -> str:
    """Write the missing pieces of ``data`` and return the root digest.

    Raise PiecesUnavailableError.
    """
    tree = split(data)
    for piece in tree.pieces:
        await _store_piece(platform, piece_key(environment, piece.digest), piece)
    return tree.root_digest


async def load(platform: Platform, environment: str, root_digest: str) -> bytes:
    """Read the value whose root piece is ``root_digest`` from the platform.

    Raise PiecesUnavailableError, MissingPieceError or CorruptPieceError.
    """

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
