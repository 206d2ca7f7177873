"""Why callers' connections end, and what they end with."""

from __future__ import annotations

from enum import Enum

import attrs
from twisted.internet.error import ConnectionDone
from twisted.python.failure import Failure


class EndReason(Enum):
    """Who ended a connection, on what evidence."""

    CALLER_CLOSED = "caller-closed"
    CONNECTION_LOST = "connection-lost"
    """Reset by the caller, or given up by the kernel."""

    SILENCE = "silence"
    """The caller acknowledged nothing: it is gone."""

    IDLE = "idle"
    LAST_RESPONSE = "last-response"
    """The caller or a refusal asked for the close, or the instance is leaving."""

    LEAVING = "leaving"
    NOT_DELIVERED = "not-delivered"
    """The caller did not receive the rest of a closing response."""

    NO_MEMORY = "no-memory"
    ERROR = "error"
    """A fault of the program."""

    EXIT = "exit"
    """The instance ended its drain."""


@attrs.frozen
class EndedConnection:
    """A connection that has ended.

    ``undelivered_requests`` are the ids of those whose responses were written, the
    oldest first; the caller may not have received ``undelivered_bytes`` of them.
    """

    reason: EndReason
    detail: str = ""
    undelivered_requests: tuple[bytes, ...] = ()
    undelivered_bytes: int = 0


def reason_of_loss(failure: Failure | None) -> EndReason:
    """Return the reason for a connection that this instance did not end."""
    if failure is None or failure.check(ConnectionDone):
        return EndReason.CALLER_CLOSED
    return EndReason.CONNECTION_LOST
