"""Track the running requests at each target, oldest first."""

from __future__ import annotations

from collections import defaultdict

import attrs

from gentianhitch.decisions.interfaces import Attempt
from gentianhitch.operators.document import Route


@attrs.define(eq=False)
class ActiveRequest:
    """One request that has held a slot since ``started``, in seconds of the clock.

    ``overdue_count`` is how often it was recorded as overdue while running.
    """

    started: float
    route: Route
    workspace: str | None
    overdue_count: int = 0


class ActiveRequests:
    """Requests of this instance that hold a slot, by target."""

    def __init__(self) -> None:
        self._running_by_target: defaultdict[str, list[ActiveRequest]] = defaultdict(
            list
        )

    def count(self, target: str) -> int:
        """Return the number of slots held at ``target``."""
        running = self._running_by_target.get(target)
        return len(running) if running else 0

    def running(self, target: str) -> list[ActiveRequest]:
        """Return the requests that run at ``target``, oldest first."""
        return self._running_by_target.get(target, [])

    def start(self, target: str, running: ActiveRequest) -> None:
        """Add a request that holds a slot at ``target``."""
        self._running_by_target[target].append(running)

    def end(self, attempt: Attempt, now: float) -> ActiveRequest | None:
        """Release the slot of ``attempt`` and return the request that held it.

        That is the request with the same route and workspace whose start is nearest.
        """
        held = self._running_by_target.get(attempt.target, [])
        matching = [
            running
            for running in held
            if running.route == attempt.route and running.workspace == attempt.workspace
        ]
        if not matching:
            return None
        started = now - attempt.latency_s
        ended = min(matching, key=lambda running: abs(running.started - started))
        held.remove(ended)
        if not held:
            del self._running_by_target[attempt.target]
        return ended
