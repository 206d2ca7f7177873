"""Reserve a slot at a target and report how the attempt there ended."""

from __future__ import annotations

import attrs

from gentianhitch.callers.admission import AdmittedRequest
from gentianhitch.decisions.interfaces import Attempt
from gentianhitch.decisions.interfaces import Outcome
from gentianhitch.decisions.interfaces import TargetSelector
from gentianhitch.operators.document import BackendServer


@attrs.define
class Reservation:
    """The slot that one request holds, at one target after the other."""

    _selector: TargetSelector
    _admitted: AdmittedRequest
    target: BackendServer | None = None
    _started_s: float = 0.0
    _head_received_s: float | None = None

    def find(self, now: float, exclude: frozenset[str]) -> BackendServer | None:
        """Reserve a slot at another target; None when there is none."""
        return self._selector.choose(
            self._admitted.matched.service.name,
            self._admitted.matched.route,
            self._admitted.workspace,
            now,
            exclude,
        )

    def hold(self, target: BackendServer, now: float) -> None:
        """Begin an attempt at a target whose slot was reserved."""
        self.target = target
        self._started_s = now
        self._head_received_s = None

    def head_received(self, now: float) -> None:
        """Note when the head of the answer came: the attempt's latency."""
        self._head_received_s = now

    def release(self, outcome: Outcome, now: float) -> None:
        """Report the attempt and release its slot; nothing without one."""
        if self.target is None:
            return
        answered_s = now if self._head_received_s is None else self._head_received_s
        attempt = Attempt(
            target=self.target.name,
            route=self._admitted.matched.route,
            workspace=self._admitted.workspace,
            outcome=outcome,
            latency_s=answered_s - self._started_s,
        )
        self.target = None
        self._selector.record(attempt, now)
