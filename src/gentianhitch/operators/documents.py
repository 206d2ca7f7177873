"""Read and write stored documents, and name what is in production."""

from __future__ import annotations

from collections.abc import Coroutine
from typing import Any
from typing import TypeVar

import attrs

from gentianhitch.operators import head as heads
from gentianhitch.operators import pieces
from gentianhitch.operators.document import Document
from gentianhitch.operators.document_codec import MalformedDocumentError
from gentianhitch.operators.document_codec import decode_document
from gentianhitch.operators.document_codec import encode_document
from gentianhitch.operators.errors import LostRaceError
from gentianhitch.operators.errors import OperatorsError
from gentianhitch.operators.errors import OperatorsOutcomeUnknownError
from gentianhitch.operators.errors import OperatorsUnavailableError
from gentianhitch.platform.interface import Platform

T = TypeVar("T")

NO_REVISION = 0


@attrs.frozen
class Production:
    """The document in production; ``reference`` is None before the first."""

    head: heads.Head
    document: Document | None

    @property
    def reference(self) -> heads.DocumentReference | None:
        """Return the head's reference to the document."""
        return self.head.document

    @property
    def revision(self) -> int:
        """Return the document's revision."""
        return document_revision(self.head)


@attrs.frozen
class Change:
    """One accepted change of the document.

    When ``replaced``, a later change followed and the fields describe that one.
    """

    revision: int
    sequence: int
    digest: str
    changed_by: str
    replaced: bool = False


def find_change(head: heads.Head, change_id: str) -> Change | None:
    """Return an accepted change; None when the head does not show it."""
    if head.document is None or change_id not in (
        head.document.change_id,
        *head.recent_write_ids,
    ):
        return None
    return attrs.evolve(
        current_change(head, head.document),
        replaced=head.document.change_id != change_id,
    )


def current_change(head: heads.Head, reference: heads.DocumentReference) -> Change:
    """Return the change that made the document in production."""
    return Change(
        reference.revision, head.sequence, reference.digest, reference.changed_by
    )


def document_revision(head: heads.Head) -> int:
    """Return the document revision of a head."""
    return head.document.revision if head.document else NO_REVISION


async def read_production(platform: Platform, environment: str) -> Production:
    """Read the head and its document."""
    stored = await translate_errors(heads.read_head(platform, environment))
    reference = stored.head.document
    if reference is None:
        return Production(stored.head, None)
    document = await read_document(platform, environment, reference.digest)
    return Production(stored.head, document)


async def read_document(platform: Platform, environment: str, digest: str) -> Document:
    """Read one stored document."""
    data = await translate_errors(pieces.load(platform, environment, digest))
    try:
        return decode_document(data)
    except MalformedDocumentError as error:
        raise OperatorsError(str(error)) from error


async def write_document(
    platform: Platform, environment: str, document: Document
) -> str:
    """Store a document and return its digest."""
    return await translate_errors(
        pieces.store(platform, environment, encode_document(document))
    )


async def commit_document(
    platform: Platform,
    environment: str,
    change_id: str,
    base_revision: int,
    digest: str,
    changed_by: str,
) -> Change:
    """Make ``digest`` the revision after ``base_revision``, once.

    Raise LostRaceError when another change came first. A change of the agreed
    list is not a lost race.
    """

    def edit(head: heads.Head) -> heads.Head:
        if _cancellation_id(change_id) in head.recent_write_ids:
            raise LostRaceError(f"change {change_id} was given up")
        require_base(head, base_revision)
        reference = heads.DocumentReference(
            base_revision + 1, digest, changed_by, change_id
        )
        return attrs.evolve(head, document=reference)

    stored = await translate_errors(
        heads.change_head(platform, environment, change_id, edit)
    )
    change = find_change(stored.head, change_id)
    if change is None:
        raise OperatorsError(f"the head does not show change {change_id}")
    return change


async def cancel_change(
    platform: Platform, environment: str, change_id: str
) -> Change | None:
    """Make sure that a change never happens; return it when it already has.

    Without this, an earlier attempt could still take effect after a refusal.
    """
    void_id = _cancellation_id(change_id)
    stored = await translate_errors(
        heads.change_head(platform, environment, void_id, lambda head: head)
    )
    return find_change(stored.head, change_id)


def _cancellation_id(change_id: str) -> str:
    return f"void-{change_id}"


def require_base(head: heads.Head, base_revision: int) -> None:
    """Raise LostRaceError unless the document is still at ``base_revision``."""
    revision = document_revision(head)
    if head.document and revision != base_revision:
        raise LostRaceError(
            f"lost the race to {head.document.changed_by}: production is at revision"
            f" {revision}, not at {base_revision}"
        )


async def translate_errors(work: Coroutine[Any, Any, T]) -> T:
    """Turn errors of the head and of pieces into those of this layer."""
    try:
        return await work
    except (heads.HeadUnavailableError, pieces.PiecesUnavailableError) as error:
        raise OperatorsUnavailableError(str(error)) from error
    except heads.ChangeUnknownError as error:
        raise OperatorsOutcomeUnknownError(str(error)) from error
    except (heads.HeadError, pieces.PieceError) as error:
        raise OperatorsError(str(error)) from error
