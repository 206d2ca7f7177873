"""Remember the agreed states that this instance has acted on."""

from __future__ import annotations

from gentianhitch.decisions.interfaces import AgreedState

MAX_STATES = 64


class StateLog:
    """Keep recent states, so that a workspace unused for a while can catch up."""

    def __init__(self, now: float) -> None:
        self.version = 0
        self.contiguous_since = now
        self.newest = 0
        self.active: tuple[AgreedState, ...] = ()
        self._sequences: tuple[int, ...] = ()
        self._states_by_sequence: dict[int, AgreedState] = {}
        self._ended_by_sequence: dict[int, float] = {}

    def observe(self, active: tuple[AgreedState, ...], now: float) -> bool:
        """Take in the active states and tell whether they have changed."""
        sequences = tuple(state.sequence for state in active)
        if sequences == self._sequences:
            return False
        # A state between two that this instance never saw may be in force and
        # give its share to another instance.
        whole = _is_contiguous(sequences)
        if not whole or min(sequences, default=0) > self.newest + 1:
            self.contiguous_since = now
        for sequence in set(self._sequences) - set(sequences):
            self._ended_by_sequence[sequence] = now
        self.version += 1
        self.newest = max(sequences, default=self.newest)
        self.active = active if whole else ()
        self._sequences = sequences
        self._store(active)
        return True

    def within(self, since: float) -> tuple[AgreedState, ...]:
        """Return the states that were active at some moment after ``since``."""
        ended = [
            self._states_by_sequence[sequence]
            for sequence, end in self._ended_by_sequence.items()
            if end >= since
        ]
        return (*ended, *self.active)

    def since(self, sequence: int) -> tuple[AgreedState, ...] | None:
        """Return every state after ``sequence``; None when one was never seen."""
        wanted = range(sequence + 1, self.newest + 1)
        if len(wanted) > MAX_STATES:
            return None
        states = [self._states_by_sequence.get(number) for number in wanted]
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
