"""Read and compare-and-swap the head, the key that orders an environment's changes."""

from __future__ import annotations

from collections.abc import Callable

import attrs

from gentianhitch import json_codec
from gentianhitch.errors import ExitCode
from gentianhitch.errors import GentianhitchError
from gentianhitch.platform.interface import ABSENT
from gentianhitch.platform.interface import ConflictError
from gentianhitch.platform.interface import Entry
from gentianhitch.platform.interface import OutcomeUnknownError
from gentianhitch.platform.interface import Platform
from gentianhitch.platform.interface import UnavailableError

MAX_RECENT_WRITE_IDS = 64
MAX_ATTEMPTS = 16


class HeadError(GentianhitchError):
    """Base class of errors from reading or changing the head."""


class MalformedHeadError(HeadError):
    """The value of the head key could not be decoded."""


class HeadUnavailableError(HeadError):
    """The platform could not be reached; the head was not changed."""


class HeadContendedError(HeadError):
    """Every attempt conflicted with another write; the head was not changed."""


class ChangeUnknownError(HeadError):
    """The change may have taken effect; it is safe to retry with the same write id."""

    exit_code = ExitCode.OUTCOME_UNKNOWN


@attrs.frozen
class DocumentReference:
    """Refer to one revision of the document by its root piece's digest.

    ``changed_by`` is the operator who made this revision and ``change_id`` the
    write id of that change.
    """

    revision: int
    digest: str
    changed_by: str
    change_id: str


@attrs.frozen
class Head:
    """State of one environment at one sequence.

    ``recent_write_ids`` is ordered newest first and holds at most
    ``MAX_RECENT_WRITE_IDS`` ids. ``members_digest`` is the digest of the root piece
    of the list of entry instances.
    """

    sequence: int = 0
    recent_write_ids: tuple[str, ...] = ()
    document: DocumentReference | None = None
    members_digest: str | None = None

    @property
    def write_id(self) -> str | None:
        """Return the id of the write that created this head, if any."""
        return self.recent_write_ids[0] if self.recent_write_ids else None

    def next_head(self, edited: Head, write_id: str) -> Head:
        """Return ``edited`` with the next sequence and ``write_id`` recorded."""
        recent = (write_id, *self.recent_write_ids)[:MAX_RECENT_WRITE_IDS]
        return attrs.evolve(edited, sequence=self.sequence + 1, recent_write_ids=recent)


@attrs.frozen
class StoredHead:
    """A head and the store revision of its key, ABSENT before the first write."""

    head: Head
    revision: int


Edit = Callable[[Head], Head]


def head_key(environment: str) -> str:
    """Return the key that holds the head in the platform's store."""
    return f"gentianhitch/{environment}/head"


def encode_head(head: Head) -> bytes:
    """Encode a head as JSON."""
    return json_codec.encode(head)


def decode_head(value: bytes) -> Head:
    """Decode a head from JSON; raise MalformedHeadError if it is invalid."""
    try:
        return json_codec.decode(value, Head)
    except json_codec.DecodeError as error:
        raise MalformedHeadError(f"malformed head: {error}") from error


def stored_head(entry: Entry | None) -> StoredHead:
    """Decode the head from its store entry; None decodes to the empty head."""
    if entry is None:
        return StoredHead(Head(), ABSENT)
    return StoredHead(decode_head(entry.value), entry.revision)


async def read_head(platform: Platform, environment: str) -> StoredHead:
    """Read the head from the platform.

    Raise HeadUnavailableError or MalformedHeadError.
    """
    try:
        return stored_head(await platform.get(head_key(environment)))
    except UnavailableError as error:
        raise HeadUnavailableError(f"cannot read the head: {error}") from error


async def change_head(
    platform: Platform, environment: str, write_id: str, edit: Edit
) -> StoredHead:
    """Apply ``edit`` to the head exactly once and return the resulting head.

    The write is a compare-and-swap. After a conflict ``edit`` is called again on
    the newer head; it may raise an error of its own if the change no longer
    applies. A write whose reply was lost is recognised by ``write_id``, so a retry
    must use the same id. If an earlier attempt already took effect, the current
    head is returned, which may include later changes.

    Raise ChangeUnknownError if the outcome cannot be determined, and
    HeadUnavailableError or HeadContendedError if nothing was changed.
    """
    return await _Change(platform, environment, write_id, edit).run()


@attrs.define
class _Change:
    platform: Platform
    environment: str
    write_id: str
    edit: Edit
    unconfirmed_sequence: int | None = None

    async def run(self) -> StoredHead:
        for _ in range(MAX_ATTEMPTS):
            current = await self._read()
            if self.write_id in current.head.recent_write_ids:
                return current
            self._require_write_ids_cover(current.head)
            written = await self._write(current)
            if written is not None:
                return written
        if self.unconfirmed_sequence is not None:
            raise ChangeUnknownError(f"no reply to {MAX_ATTEMPTS} writes of the head")
        raise HeadContendedError(f"other writers won {MAX_ATTEMPTS} times in a row")

    async def _read(self) -> StoredHead:
        try:
            return await read_head(self.platform, self.environment)
        except HeadUnavailableError as error:
            if self.unconfirmed_sequence is None:
                raise
            raise ChangeUnknownError(f"reply to the write lost; {error}") from error

    def _require_write_ids_cover(self, head: Head) -> None:
        """Raise ChangeUnknownError if ``recent_write_ids`` may have dropped the id.

        Otherwise a missing id proves that the unconfirmed write failed: once the
        head has changed, its expected revision is outdated and it can no longer
        take effect.
        """
        first = self.unconfirmed_sequence
        if first is not None and head.sequence >= first + MAX_RECENT_WRITE_IDS:
            raise ChangeUnknownError("too many later changes to find this one")

    async def _write(self, current: StoredHead) -> StoredHead | None:
        head = current.head.next_head(self.edit(current.head), self.write_id)
        try:
            entry = await self.platform.put(
                head_key(self.environment),
                encode_head(head),
                expected_revision=current.revision,
            )
        except ConflictError:
            return None
        except OutcomeUnknownError:
            if self.unconfirmed_sequence is None:
                self.unconfirmed_sequence = head.sequence
            return None
        except UnavailableError as error:
            raise self._to_head_error(error) from error
        return StoredHead(head, entry.revision)

    def _to_head_error(self, error: UnavailableError) -> HeadError:
        if self.unconfirmed_sequence is None:
            return HeadUnavailableError(f"cannot write the head: {error}")
        return ChangeUnknownError(f"reply to an earlier write lost; {error}")
