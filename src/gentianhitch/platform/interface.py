"""Interface of the platform that the rest of the system depends on."""

from __future__ import annotations

from enum import Enum
from typing import Protocol

import attrs

from gentianhitch.addresses import Address
from gentianhitch.errors import GentianhitchError

ABSENT = 0
"""Expected revision of a write that requires that the key does not exist."""

MAX_VALUE_BYTES = 1_000_000


class PlatformError(GentianhitchError):
    """Base class of the errors of calls to the platform."""


class UnavailableError(PlatformError):
    """The call was not sent or was rejected; nothing changed."""


class OutcomeUnknownError(PlatformError):
    """The response to the call was lost; the call may have taken effect."""


@attrs.define(eq=False)
class ConflictError(PlatformError):
    """Compare-and-swap failed: the key is at ``current`` (None: does not exist)."""

    current: Entry | None


@attrs.frozen
class Entry:
    """One key, its value, and the store's revision at its last write."""

    key: str
    value: bytes
    revision: int


@attrs.frozen
class Lease:
    """A lease that ends ``ttl_s`` seconds after its last renewal."""

    id: str
    ttl_s: float


class ListedState(Enum):
    """State of an entry instance in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


@attrs.frozen
class ListedInstance:
    """One entry instance in the platform's list, which lags behind."""

    name: str
    failure_domain: str
    callers: Address
    peers: Address
    state: ListedState


class Platform(Protocol):
    """Client of the platform; every call may raise UnavailableError.

    Writes may also raise OutcomeUnknownError. A watch is one call for its whole wait.
    """

    async def get(self, key: str) -> Entry | None:
        """Read one key; None if it does not exist."""
        ...

    async def put(
        self,
        key: str,
        value: bytes,
        *,
        expected_revision: int,
        lease: Lease | None = None,
    ) -> Entry:
        """Write the key; raise ConflictError unless it is at ``expected_revision``."""
        ...

    async def delete(self, key: str, *, expected_revision: int) -> None:
        """Delete the key; raise ConflictError unless it is at ``expected_revision``."""
        ...

    async def watch(
        self, key: str, *, after_revision: int, wait_s: float
    ) -> Entry | None:
        """Return the key once it is past ``after_revision``; None after ``wait_s``."""
        ...

    async def grant_lease(self, ttl_s: float) -> Lease:
        """Create a lease of ``ttl_s`` seconds."""
        ...

    async def renew_lease(self, lease: Lease) -> None:
        """Renew a lease; raise ConflictError if it has already ended."""
        ...

    async def list_instances(self) -> tuple[ListedInstance, ...]:
        """Read the list of live and leaving entry instances, which lags."""
        ...
