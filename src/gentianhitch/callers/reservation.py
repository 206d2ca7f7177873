"""Reserve slots at backend servers and report the outcomes of the attempts."""

from __future__ import annotations

import attrs

from gentianhitch.callers.admission import AdmittedRequest
from gentianhitch.decisions.interfaces import Attempt
from gentianhitch.decisions.interfaces import Outcome
from gentianhitch.decisions.interfaces import TargetSelector
from gentianhitch.operators.document import BackendServer


@attrs.define
class Reservation:
    """The slot that one request holds at its current target.

    Times are in seconds of the local clock.
    """

    _selector: TargetSelector
    _admitted: AdmittedRequest
    target: BackendServer | None = None
    _started_s: float = 0.0
    _head_received_s: float | None = None

    def reserve(self, now: float, exclude: frozenset[str]) -> BackendServer | None:
        """Reserve a slot at a target not in ``exclude``; None if no slot is free."""
        return self._selector.choose(
            self._admitted.matched.service.name,
            self._admitted.matched.route,
            self._admitted.workspace,
            now,
            exclude,
        )

    def start_attempt(self, target: BackendServer, now: float) -> None:
        """Start the latency measurement of an attempt whose slot is reserved."""
        self.target = target
        self._started_s = now
        self._head_received_s = None

    def record_head(self, now: float) -> None:
        """Record when the response head was received, which ends the latency."""
        self._head_received_s = now

    def release(self, outcome: Outcome, now: float) -> None:
        """Report the attempt and release its slot; do nothing without an attempt."""
        if self.target is None:
            return
        responded_s = now if self._head_received_s is None else self._head_received_s
        attempt = Attempt(
            target=self.target.name,
            route=self._admitted.matched.route,
            workspace=self._admitted.workspace,
            outcome=outcome,
            latency_s=responded_s - self._started_s,
        )
        self.target = None
        self._selector.record(attempt, now)
