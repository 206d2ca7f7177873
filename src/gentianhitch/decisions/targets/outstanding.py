"""Keep the requests that run at each target, oldest first."""

from __future__ import annotations

from collections import defaultdict

import attrs

from gentianhitch.decisions.interfaces import Attempt
from gentianhitch.operators.document import Route


@attrs.define(eq=False)
class RunningRequest:
    """One request that holds a slot since ``started``.

    ``overdue_count`` counts how often it was evidence before it ended.
    """

    started: float
    route: Route
    workspace: str | None
    overdue_count: int = 0


class OutstandingRequests:
    """Count the slots that this instance holds at each target."""

    def __init__(self) -> None:
        self._running_by_target: defaultdict[str, list[RunningRequest]] = defaultdict(
            list
        )

    def count(self, target: str) -> int:
        """Return the slots held at ``target``."""
        running = self._running_by_target.get(target)
        return len(running) if running else 0

    def running(self, target: str) -> list[RunningRequest]:
        """Return what runs at ``target``, oldest first."""
        return self._running_by_target.get(target, [])

    def start(self, target: str, running: RunningRequest) -> None:
        """Hold a slot at ``target``."""
        self._running_by_target[target].append(running)

    def end(self, attempt: Attempt, now: float) -> RunningRequest | None:
        """Release the slot of ``attempt``: the one that started when it did."""
        held = self._running_by_target.get(attempt.target, [])
        alike = [
            running
            for running in held
            if running.route == attempt.route and running.workspace == attempt.workspace
        ]
        if not alike:
            return None
        started = now - attempt.latency_s
        ended = min(alike, key=lambda running: abs(running.started - started))
        held.remove(ended)
        if not held:
            del self._running_by_target[attempt.target]
        return ended
