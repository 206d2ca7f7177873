"""Interfaces between the request path and the decisions.

Decisions take ``now`` in seconds of the runtime's monotonic clock and do no I/O.
"""

from __future__ import annotations

from enum import Enum
from typing import Protocol

import attrs
from twisted.internet.defer import Deferred

from gentianhitch.errors import GentianhitchError
from gentianhitch.instances.identity import Member
from gentianhitch.operators.document import BackendServer
from gentianhitch.operators.document import Document
from gentianhitch.operators.document import Route


@attrs.frozen
class AgreedState:
    """The state that the fleet agreed on at one sequence of the head.

    ``members_by_name`` is the agreed list of entry instances; ``document`` is
    None before the first promotion.
    """

    sequence: int
    members_by_name: dict[str, Member]
    document: Document | None


class AgreedStates(Protocol):
    """Provides the states that the fleet agreed on, as known to this instance."""

    def is_fresh(self, now: float) -> bool:
        """Return whether this instance may act on its states at ``now``."""
        ...

    def active(self, now: float) -> tuple[AgreedState, ...]:
        """Return the active states: those not superseded by one in force, oldest first.

        The last one is the newest known. A right (a share, a raised rate, a new key)
        requires that each of them grants it. Empty before the first state.
        """
        ...


class TokenVerdict(Enum):
    """Decision of the rate limiter about one request."""

    ADMITTED = "admitted"
    WAIT = "wait"
    REFUSED = "refused"


class TokenSource(Protocol):
    """Provides tokens of the rate limit of a workspace, after a short wait."""

    def take(self, workspace: str, max_wait_s: float) -> Deferred[TokenVerdict]:
        """Take the token of one request; the result is ADMITTED or REFUSED."""
        ...

    def retry_after_s(self, workspace: str, now: float) -> float:
        """Return the time in seconds after which to repeat a refused request."""
        ...


class Outcome(Enum):
    """Outcome of one attempt at a backend server."""

    OK = "ok"
    NOT_SENT = "not_sent"
    SHED = "shed"
    ERROR = "error"
    WRONG = "wrong"
    CUT = "cut"
    SILENT = "silent"
    ABANDONED = "abandoned"


@attrs.frozen
class Attempt:
    """One finished attempt at a target; ``latency_s`` in seconds."""

    target: str
    route: Route
    workspace: str | None
    outcome: Outcome
    latency_s: float


class TargetSelector(Protocol):
    """Chooses targets and takes the outcome of every attempt at them into account."""

    def choose(
        self,
        service: str,
        route: Route,
        workspace: str | None,
        now: float,
        exclude: frozenset[str] = frozenset(),
    ) -> BackendServer | None:
        """Reserve a slot at a target; return None if every slot is taken."""
        ...

    def record(self, attempt: Attempt, now: float) -> None:
        """Release the slot of the attempt and record its outcome."""
        ...


class NoSlotError(GentianhitchError):
    """No slot is free before the deadline; nothing was sent, the request did not run.

    ``retry_after_s`` is the expected wait for a slot in seconds.
    """

    def __init__(self, message: str, retry_after_s: float) -> None:
        super().__init__(message)
        self.retry_after_s = retry_after_s


class SlotSource(Protocol):
    """Queues requests for slots at targets, fairly between workspaces."""

    def acquire(
        self,
        service: str,
        route: Route,
        workspace: str | None,
        deadline: float,
        exclude: frozenset[str] = frozenset(),
    ) -> Deferred[BackendServer]:
        """Reserve a slot; fail with NoSlotError as soon as none is expected in time.

        ``deadline`` is a time of the runtime's clock. The caller owns the slot and
        releases it with :meth:`TargetSelector.record`. Cancelling the Deferred leaves
        the queue.
        """
        ...
