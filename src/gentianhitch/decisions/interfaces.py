"""What the request path asks of the decisions.

Each decision takes ``now`` in seconds of the runtime's monotonic clock and does
no I/O. The edges drive them.
"""

from __future__ import annotations

from enum import Enum
from typing import Protocol

import attrs

from gentianhitch.operators.document import BackendServer
from gentianhitch.operators.document import Document
from gentianhitch.operators.document import Route


class Configuration(Protocol):
    """Show the configuration in force at this instance."""

    def is_fresh(self, now: float) -> bool:
        """Tell whether this instance may act on what it knows at ``now``."""
        ...

    @property
    def document(self) -> Document | None:
        """Return the newest promoted document; None before the first."""
        ...


class Verdict(Enum):
    """Answer of the limiter to one request."""

    ADMITTED = "admitted"
    WAIT = "wait"
    REFUSED = "refused"


class Limiter(Protocol):
    """Spend this instance's share of each workspace's rate and burst."""

    def take(self, workspace: str, now: float) -> Verdict:
        """Take one request's token; WAIT means try again until the wait ends."""
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
