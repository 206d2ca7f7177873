"""Invariants of the agreement between instances, checked while a run goes on."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

import attrs

from gentianhitch.errors import GentianhitchError
from gentianhitch.soak.process import Process


class BrokenInvariantError(GentianhitchError):
    """A run showed something that must never happen."""


@attrs.define
class _Seen:
    sequence: int = 0
    in_force: int = 0


@attrs.define(eq=False)
class FleetInvariants:
    """Remember what was claimed, and check each instance against it.

    ``in_force_at_by_sequence`` has the first moment at which any instance may
    treat a sequence as in force: the majority's moment and the window.
    """

    in_force_at_by_sequence: dict[int, float] = attrs.Factory(dict)
    checks_by_name: Counter[str] = attrs.Factory(Counter)
    _seen_by_process: dict[Process, _Seen] = attrs.Factory(dict)
    _cut_since_by_process: dict[Process, float] = attrs.Factory(dict)

    def note_cut(self, process: Process, now: float) -> None:
        """Note that nothing reaches ``process`` from ``now`` on."""
        self._cut_since_by_process.setdefault(process, now)

    def note_healed(self) -> None:
        """Note that no instance is cut off any more."""
        self._cut_since_by_process.clear()

    def check(self, processes: Iterable[Process], now: float) -> None:
        """Raise BrokenInvariantError unless everything holds at ``now``."""
        acting = [process for process in processes if not process.paused]
        for process in acting:
            self._take_claims(process, now)
        due = (s for s, at in self.in_force_at_by_sequence.items() if at <= now)
        newest = max(due, default=0)
        for process in acting:
            self._check_progress(process)
            if process.fleet.is_fresh(now):
                self._check_fresh(process, newest, now)

    def _take_claims(self, process: Process, now: float) -> None:
        freshness = process.fleet.freshness
        freshness.oldest_active(now)
        moments = dict(freshness.majority_at_by_sequence)
        claims = {s: at + freshness.window_s for s, at in moments.items()}
        claims.setdefault(freshness.in_force, now)
        for sequence, at in claims.items():
            earlier = self.in_force_at_by_sequence.get(sequence, at)
            self.in_force_at_by_sequence[sequence] = min(at, earlier)

    def _check_progress(self, process: Process) -> None:
        freshness = process.fleet.freshness
        seen = self._seen_by_process.setdefault(process, _Seen())
        if freshness.sequence < seen.sequence or freshness.in_force < seen.in_force:
            self._fail(process, f"stepped back from {seen}")
        seen.sequence, seen.in_force = freshness.sequence, freshness.in_force
        self.checks_by_name["never steps back"] += 1

    def _check_fresh(self, process: Process, newest: int, now: float) -> None:
        sequence = process.fleet.freshness.sequence
        if sequence < newest:
            self._fail(process, f"fresh at {sequence} while {newest} is in force")
        self.checks_by_name["fresh only on what is not superseded"] += 1
        states = process.fleet.active(now)
        if not states or states[-1].sequence != sequence:
            self._fail(process, f"fresh at {sequence} without its state")
        if states[0].sequence != process.fleet.freshness.in_force:
            self._fail(process, "fresh without the state in force")
        self.checks_by_name["fresh with every state that counts"] += 1
        cut_since = self._cut_since_by_process.get(process)
        window_s = process.fleet.freshness.window_s
        if cut_since is not None and now >= cut_since + window_s:
            self._fail(process, f"fresh {now - cut_since:.2f} s after it was cut off")

    def _fail(self, process: Process, text: str) -> None:
        raise BrokenInvariantError(f"{process.member.id}: {text}")
