"""A small model of agreement that keeps the rule of freshness."""

from __future__ import annotations

import attrs

from gentianhitch.decisions.interfaces import AgreedState

FRESH_S = 2.0
"""Window of freshness."""


@attrs.define(eq=False)
class ModelAgreement:
    """What one instance knows; implements ``AgreedStates``."""

    history: ModelHistory
    heard: float = float("-inf")
    known_by_sequence: dict[int, AgreedState] = attrs.Factory(dict)
    in_force: int = 0
    _active: tuple[AgreedState, ...] | None = None

    @property
    def newest(self) -> int:
        """Return the newest sequence known."""
        return max(self.known_by_sequence, default=0)

    def is_fresh(self, now: float) -> bool:
        """Tell whether evidence of the newest state is recent enough."""
        return now - self.heard < FRESH_S

    def active(self, now: float) -> tuple[AgreedState, ...]:
        """Return the known states not superseded by one in force."""
        if self._active is None:
            self._active = tuple(
                state
                for sequence, state in sorted(self.known_by_sequence.items())
                if sequence >= self.in_force
            )
        return self._active

    def hear(self, sequence: int, now: float) -> None:
        """Learn every state up to ``sequence`` that still counts."""
        in_force = max(self.in_force, self.history.in_force)
        if in_force != self.in_force or sequence > self.newest:
            first = max(in_force, 1)
            for number in range(first, max(sequence, self.newest) + 1):
                self.known_by_sequence[number] = self.history.state(number)
            for number in [n for n in self.known_by_sequence if n < in_force]:
                del self.known_by_sequence[number]
            self.in_force = in_force
            self._active = None
        self.heard = now


@attrs.define(eq=False)
class ModelHistory:
    """Every state ever agreed, and which one is in force."""

    states: list[AgreedState] = attrs.Factory(list)
    in_force: int = 0
    _common_since_by_sequence: dict[int, float] = attrs.Factory(dict)

    def state(self, sequence: int) -> AgreedState:
        """Return one state."""
        return self.states[sequence - 1]

    def publish(self, state: AgreedState) -> None:
        """Append a state; the first one is in force at once."""
        self.states.append(state)
        if len(self.states) == 1:
            self.in_force = 1
            self._common_since_by_sequence[1] = float("-inf")

    def common(self) -> int:
        """Return the newest sequence that every majority knows."""
        return max(self._common_since_by_sequence, default=0)

    def advance(self, newest_by_name: dict[str, int], now: float) -> bool:
        """Take in what each live instance knows; True if a state came in force."""
        for sequence in range(self.common() + 1, len(self.states) + 1):
            lists = self.states[self.in_force - 1 : sequence]
            if not all(_is_common(one, sequence, newest_by_name) for one in lists):
                break
            self._common_since_by_sequence[sequence] = now
        before = self.in_force
        for sequence, since in self._common_since_by_sequence.items():
            if now - since >= FRESH_S:
                self.in_force = max(self.in_force, sequence)
        return self.in_force != before


def _is_common(
    state: AgreedState, sequence: int, newest_by_name: dict[str, int]
) -> bool:
    names = state.members_by_name
    knowing = sum(newest_by_name.get(name, 0) >= sequence for name in names)
    return 2 * knowing > len(names)
