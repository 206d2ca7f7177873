"""Read and write stored documents and change which one is in production."""

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
    """The head and its document, which is None before the first promotion."""

    head: heads.Head
    document: Document | None

    @property
    def reference(self) -> heads.DocumentReference | None:
        """Return the reference to the document, None before the first promotion."""
        return self.head.document

    @property
    def revision(self) -> int:
        """Return the document's revision, ``NO_REVISION`` before the first."""
        return document_revision(self.head)


@attrs.frozen
class Change:
    """An accepted change of the document.

    If ``replaced`` is true, a later change has followed and the other fields
    describe that later change.
    """

    revision: int
    sequence: int
    digest: str
    changed_by: str
    replaced: bool = False


def find_change(head: heads.Head, change_id: str) -> Change | None:
    """Return the accepted change, or None if the head does not record its id."""
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
    """Return the change that created the document in production."""
    return Change(
        reference.revision, head.sequence, reference.digest, reference.changed_by
    )


def document_revision(head: heads.Head) -> int:
    """Return the document revision of a head, ``NO_REVISION`` if it has none."""
    return head.document.revision if head.document else NO_REVISION


async def read_production(platform: Platform, environment: str) -> Production:
    """Read the head and its document.

    Raise OperatorsUnavailableError, or OperatorsError if either is malformed.
    """
    stored = await translate_errors(heads.read_head(platform, environment))
    reference = stored.head.document
    if reference is None:
        return Production(stored.head, None)
    document = await read_document(platform, environment, reference.digest)
    return Production(stored.head, document)


async def read_document(platform: Platform, environment: str, digest: str) -> Document:
    """Load and decode the document whose root piece has ``digest``.

    Raise OperatorsUnavailableError, or OperatorsError if it is missing or malformed.
    """
    data = await translate_errors(pieces.load(platform, environment, digest))
    try:
        return decode_document(data)
    except MalformedDocumentError as error:
        raise OperatorsError(str(error)) from error


async def write_document(
    platform: Platform, environment: str, document: Document
) -> str:
    """Store a document's pieces and return the digest of the root piece."""
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
    """Set the document to ``digest`` as the revision after ``base_revision``.

    The change takes effect at most once per ``change_id``. Raise LostRaceError if
    another document change came first or this change was cancelled. A concurrent
    change of the list of entry instances is not a lost race.
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
    """Prevent a change from taking effect; return it if it already has.

    Otherwise a delayed write of an earlier attempt could take effect after the
    change was reported as lost.
    """
    cancellation_id = _cancellation_id(change_id)
    stored = await translate_errors(
        heads.change_head(platform, environment, cancellation_id, lambda head: head)
    )
    return find_change(stored.head, change_id)


def _cancellation_id(change_id: str) -> str:
    return f"void-{change_id}"


def require_base(head: heads.Head, base_revision: int) -> None:
    """Raise LostRaceError if the document is not at ``base_revision``.

    Before the first promotion any base is accepted.
    """
    revision = document_revision(head)
    if head.document and revision != base_revision:
        raise LostRaceError(
            f"lost the race to {head.document.changed_by}: production is at revision"
            f" {revision}, not at {base_revision}"
        )


async def translate_errors(work: Coroutine[Any, Any, T]) -> T:
    """Await ``work`` and convert head and piece errors to OperatorsError subclasses."""
    try:
        return await work
    except (heads.HeadUnavailableError, pieces.PiecesUnavailableError) as error:
        raise OperatorsUnavailableError(str(error)) from error
    except heads.ChangeUnknownError as error:
        raise OperatorsOutcomeUnknownError(str(error)) from error
    except (heads.HeadError, pieces.PieceError) as error:
        raise OperatorsError(str(error)) from error
