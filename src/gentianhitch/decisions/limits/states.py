"""Log of the agreed states that this instance has observed."""

from __future__ import annotations

from gentianhitch.decisions.interfaces import AgreedState

MAX_STATES = 64


class StateLog:
    """The last MAX_STATES agreed states, for workspaces that were unused meanwhile.

    ``contiguous_since`` is the time since which no state is missing from the log;
    ``version`` counts the changes of the active states.
    """

    def __init__(self, now: float) -> None:
        self.version = 0
        self.contiguous_since = now
        self.newest_sequence = 0
        self.active: tuple[AgreedState, ...] = ()
        self._sequences: tuple[int, ...] = ()
        self._states_by_sequence: dict[int, AgreedState] = {}
        self._ended_by_sequence: dict[int, float] = {}

    def update(self, active: tuple[AgreedState, ...], now: float) -> bool:
        """Record the active states and return whether they have changed."""
        sequences = tuple(state.sequence for state in active)
        if sequences == self._sequences:
            return False
        # A state that this instance missed may be in force and may assign its share
        # to another instance.
        is_contiguous = _is_contiguous(sequences)
        if not is_contiguous or min(sequences, default=0) > self.newest_sequence + 1:
            self.contiguous_since = now
        for sequence in set(self._sequences) - set(sequences):
            self._ended_by_sequence[sequence] = now
        self.version += 1
        self.newest_sequence = max(sequences, default=self.newest_sequence)
        self.active = active if is_contiguous else ()
        self._sequences = sequences
        self._store(active)
        return True

    def active_since(self, since: float) -> tuple[AgreedState, ...]:
        """Return the states that were active at any time from ``since`` on."""
        ended = [
            self._states_by_sequence[sequence]
            for sequence, end in self._ended_by_sequence.items()
            if end >= since
        ]
        return (*ended, *self.active)

    def after(self, sequence: int) -> tuple[AgreedState, ...] | None:
        """Return all states after ``sequence``; None when one is not in the log."""
        sequences = range(sequence + 1, self.newest_sequence + 1)
        if len(sequences) > MAX_STATES:
            return None
        states = [self._states_by_sequence.get(number) for number in sequences]
        known = tuple(state for state in states if state is not None)
        return known if len(known) == len(states) else None

    def _store(self, active: tuple[AgreedState, ...]) -> None:
        for state in active:
            self._states_by_sequence[state.sequence] = state
        while len(self._states_by_sequence) > MAX_STATES:
            oldest = min(self._states_by_sequence)
            del self._states_by_sequence[oldest]
            ended = self._ended_by_sequence.pop(oldest, self.contiguous_since)
            self.contiguous_since = max(self.contiguous_since, ended)


def _is_contiguous(sequences: tuple[int, ...]) -> bool:
    return all(
        later == earlier + 1
        for earlier, later in zip(sequences, sequences[1:], strict=False)
    )
