"""What the request path asks of the decisions.

Each decision takes ``now`` in seconds of the runtime's monotonic clock and does
no I/O. The edges drive them.
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
    """What one sequence of the head agrees on.

    ``members_by_name`` is the agreed list of entry instances; ``document`` is
    None before the first promotion.
    """

    sequence: int
    members_by_name: dict[str, Member]
    document: Document | None


class AgreedStates(Protocol):
    """Show what the fleet has agreed on, as far as this instance knows."""

    def is_fresh(self, now: float) -> bool:
        """Tell whether this instance may act on what it knows at ``now``."""
        ...

    def active(self, now: float) -> tuple[AgreedState, ...]:
        """Return the states not superseded by one in force, oldest first.

        The last one is the newest known. A right (a share, a raised rate, a new
        key) holds only if each of them gives it. Empty before the first state.
        """
        ...


class TokenVerdict(Enum):
    """Answer of the limiter to one request."""

    ADMITTED = "admitted"
    WAIT = "wait"
    REFUSED = "refused"


class TokenSource(Protocol):
    """Wait for a token of a workspace, for a short time."""

    def take(self, workspace: str, max_wait_s: float) -> Deferred[TokenVerdict]:
        """Take one request's token; the answer is never WAIT."""
        ...

    def retry_after_s(self, workspace: str, now: float) -> float:
        """Return the time after which a refused request may be repeated."""
        ...


class Outcome(Enum):
    """How one attempt at a backend server ended."""

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
    """One attempt at a target, reported when it ends; ``latency_s`` in seconds."""

    target: str
    route: Route
    workspace: str | None
    outcome: Outcome
    latency_s: float


class TargetSelector(Protocol):
    """Choose targets and learn from every attempt at them."""

    def choose(
        self,
        service: str,
        route: Route,
        workspace: str | None,
        now: float,
        exclude: frozenset[str] = frozenset(),
    ) -> BackendServer | None:
        """Reserve a slot at a target; None when every slot is taken."""
        ...

    def record(self, attempt: Attempt, now: float) -> None:
        """Release the slot of the attempt and keep what it shows."""
        ...


class NoSlotError(GentianhitchError):
    """No slot before the deadline; nothing was sent, so the request did not run.

    ``retry_after_s`` is the expected wait for a slot in seconds.
    """

    def __init__(self, message: str, retry_after_s: float) -> None:
        super().__init__(message)
        self.retry_after_s = retry_after_s


class SlotSource(Protocol):
    """Wait for a slot at a target, fairly between workspaces."""

    def acquire(
        self,
        service: str,
        route: Route,
        workspace: str | None,
        deadline: float,
        exclude: frozenset[str] = frozenset(),
    ) -> Deferred[BackendServer]:
        """Reserve a slot; fail with NoSlotError as soon as it would come too late.

        ``deadline`` is a time of the runtime's clock. The caller owns the slot and
        gives it back with :meth:`TargetSelector.record`. Cancelling the Deferred
        leaves the queue.
        """
        ...
