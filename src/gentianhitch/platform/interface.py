"""The narrow interface through which the system sees the platform."""

from __future__ import annotations

from enum import Enum
from typing import Protocol

import attrs

from gentianhitch.addresses import Address
from gentianhitch.errors import GentianhitchError

ABSENT = 0
"""Expected revision of a key that must not exist yet."""

MAX_VALUE_BYTES = 1_000_000


class PlatformError(GentianhitchError):
    """Base class of errors at the platform's edge."""


class UnavailableError(PlatformError):
    """The call did not reach the platform or was refused; nothing changed."""


class OutcomeUnknownError(PlatformError):
    """The call may have taken effect; its answer was lost."""


@attrs.define(eq=False)
class ConflictError(PlatformError):
    """Compare-and-swap lost: the key is at ``current`` (None: absent)."""

    current: Entry | None


@attrs.frozen
class Entry:
    """One key with its value and the store revision of its last write."""

    key: str
    value: bytes
    revision: int


@attrs.frozen
class Lease:
    """A lease that ends ``ttl_s`` seconds after its last renewal."""

    id: str
    ttl_s: float


class ListedState(Enum):
    """State of an instance in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


@attrs.frozen
class ListedInstance:
    """One entry instance as the platform's lagging list shows it."""

    name: str
    failure_domain: str
    callers: Address
    peers: Address
    state: ListedState


class Platform(Protocol):
    """Call the platform; every call may raise UnavailableError.

    Writes may also raise OutcomeUnknownError. A waiting watch counts as a call.
    """

    async def get(self, key: str) -> Entry | None:
        """Read one key; None when it is absent."""
        ...

    async def put(
        self,
        key: str,
        value: bytes,
        *,
        expected_revision: int,
        lease: Lease | None = None,
    ) -> Entry:
        """Write if the key is still at ``expected_revision``; raise ConflictError."""
        ...

    async def delete(self, key: str, *, expected_revision: int) -> None:
        """Delete if the key is still at ``expected_revision``; raise ConflictError."""
        ...

    async def watch(
        self, key: str, *, after_revision: int, wait_s: float
    ) -> Entry | None:
        """Wait until the key is past ``after_revision``; None after ``wait_s``."""
        ...

    async def grant_lease(self, ttl_s: float) -> Lease:
        """Create a lease of ``ttl_s`` seconds."""
        ...

    async def renew_lease(self, lease: Lease) -> None:
        """Renew a lease; raise ConflictError when it has already ended."""
        ...

    async def list_instances(self) -> tuple[ListedInstance, ...]:
        """Read the lagging list of live and leaving entry instances."""
        ...
