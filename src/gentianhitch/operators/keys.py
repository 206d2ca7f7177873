"""Give keys to workspaces and withdraw them; only their hashes are stored."""

from __future__ import annotations

import hashlib
import secrets
from collections.abc import Callable

import attrs

from gentianhitch.operators import documents
from gentianhitch.operators.checking import KEY_HASH
from gentianhitch.operators.document import Document
from gentianhitch.operators.document import Workspace
from gentianhitch.operators.errors import LostRaceError
from gentianhitch.operators.errors import WrongChangeError
from gentianhitch.platform.interface import Platform

KEY_BYTES = 32
KEY_ID_LENGTH = 12
MIN_PREFIX_LENGTH = 6
MAX_ATTEMPTS = 8

EditWorkspace = Callable[[Workspace], Workspace]


@attrs.frozen
class KeyChange:
    """A key change; ``key_id`` is a prefix of the key's hash."""

    change: documents.Change
    key_id: str


def generate_key() -> str:
    """Generate a random URL-safe key from ``KEY_BYTES`` bytes."""
    return secrets.token_urlsafe(KEY_BYTES)


def hash_key(key: str) -> str:
    """Return the hexadecimal SHA-256 of a key, which is stored in its place."""
    return hashlib.sha256(key.encode()).hexdigest()


def key_id(key_hash: str) -> str:
    """Return the prefix of a key's hash that operators use as its id."""
    return key_hash[:KEY_ID_LENGTH]


def find_workspace(document: Document, name: str) -> Workspace:
    """Return a workspace by name; raise WrongChangeError if there is none."""
    for workspace in document.workspaces:
        if workspace.name == name:
            return workspace
    raise WrongChangeError(f"workspace {name!r} does not exist")


async def give_key(
    platform: Platform,
    environment: str,
    change_id: str,
    workspace: str,
    key_hash: str,
    operator: str,
) -> KeyChange:
    """Add a key hash to a workspace in production.

    Raise WrongChangeError if the hash is malformed or already listed. Retrying with
    the same ``change_id`` is safe.
    """
    if not KEY_HASH.fullmatch(key_hash):
        raise WrongChangeError("the key hash is not a lowercase hexadecimal SHA-256")

    def add(edited: Workspace) -> Workspace:
        if key_hash in edited.key_hashes:
            raise WrongChangeError(f"workspace {workspace!r} has this key already")
        return attrs.evolve(edited, key_hashes=(*edited.key_hashes, key_hash))

    change = await _change(platform, environment, change_id, workspace, add, operator)
    return KeyChange(change, key_id(key_hash))


async def withdraw_key(
    platform: Platform,
    environment: str,
    change_id: str,
    workspace: str,
    prefix: str,
    operator: str,
) -> KeyChange:
    """Remove the key whose hash starts with ``prefix`` from a workspace.

    Raise WrongChangeError unless exactly one key matches. Retrying with the same
    ``change_id`` is safe.
    """
    if len(prefix) < MIN_PREFIX_LENGTH:
        raise WrongChangeError(f"a key id has at least {MIN_PREFIX_LENGTH} characters")

    def remove(edited: Workspace) -> Workspace:
        matching = [hash_ for hash_ in edited.key_hashes if hash_.startswith(prefix)]
        if len(matching) != 1:
            raise WrongChangeError(
                f"workspace {workspace!r} has {len(matching)} keys {prefix}..."
            )
        kept = tuple(hash_ for hash_ in edited.key_hashes if hash_ != matching[0])
        return attrs.evolve(edited, key_hashes=kept)

    change = await _change(
        platform, environment, change_id, workspace, remove, operator
    )
    return KeyChange(change, key_id(prefix))


async def _change(
    platform: Platform,
    environment: str,
    change_id: str,
    workspace: str,
    edit: EditWorkspace,
    operator: str,
) -> documents.Change:
    """Edit one workspace in production; rebase the edit if another change wins."""
    for _ in range(MAX_ATTEMPTS):
        production = await documents.read_production(platform, environment)
        accepted = documents.find_change(production.head, change_id)
        if accepted is not None:
            return accepted
        edited = _edit_document(production, workspace, edit)
        digest = await documents.write_document(platform, environment, edited)
        try:
            return await documents.commit_document(
                platform, environment, change_id, production.revision, digest, operator
            )
        except LostRaceError:
            continue
    raise LostRaceError(f"other changes came first {MAX_ATTEMPTS} times in a row")


def _edit_document(
    production: documents.Production, name: str, edit: EditWorkspace
) -> Document:
    if production.document is None:
        raise WrongChangeError("nothing was promoted yet")
    find_workspace(production.document, name)
    workspaces = tuple(
        edit(workspace) if workspace.name == name else workspace
        for workspace in production.document.workspaces
    )
    return attrs.evolve(production.document, workspaces=workspaces)
