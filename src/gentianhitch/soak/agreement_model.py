"""Agreed states that reach instances late, with freshness kept by construction."""

from __future__ import annotations

from random import Random

import attrs

from gentianhitch.decisions.interfaces import AgreedState
from gentianhitch.instances.identity import InstanceId
from gentianhitch.soak.timeline import Timeline

MAX_LEARNING_S = 4.0
WINDOW_S = 2.0


class AgreementModel:
    """Publish states; a state is in force when most know it and a window passed.

    An instance that does not know a state in force is not fresh.
    """

    def __init__(self, clock: Timeline, random: Random) -> None:
        self._clock = clock
        self._random = random
        self._states: list[AgreedState] = []
        self._in_force = 0
        self._known_by_instance: dict[InstanceId, int] = {}

    @property
    def newest_names(self) -> tuple[str, ...]:
        """Return the members of the newest state."""
        return tuple(self._states[-1].members_by_name)

    def next_sequence(self) -> int:
        """Return the sequence of the next state."""
        return len(self._states) + 1

    def publish(self, state: AgreedState) -> None:
        """Agree on ``state``; every running instance learns it at its own time."""
        self._states.append(state)
        for instance in self._known_by_instance:
            delay = self._random.uniform(0.0, MAX_LEARNING_S)
            self._clock.callLater(delay, self._learn, instance, state.sequence)

    def seen_by(self, instance: InstanceId) -> SeenAgreement:
        """Start an instance, which knows nothing yet."""
        self._known_by_instance[instance] = 0
        delay = self._random.uniform(0.0, MAX_LEARNING_S)
        self._clock.callLater(delay, self._learn, instance, len(self._states))
        return SeenAgreement(self, instance)

    def forget(self, instance: InstanceId) -> None:
        """Stop an instance."""
        self._known_by_instance.pop(instance, None)

    def is_fresh(self, instance: InstanceId) -> bool:
        """Tell whether an instance knows the state in force."""
        known = self._known_by_instance.get(instance, 0)
        return known > 0 and known >= self._in_force

    def active(self, instance: InstanceId) -> tuple[AgreedState, ...]:
        """Return the states from the one in force to the newest known."""
        first = max(self._in_force, 1)
        known = self._known_by_instance.get(instance, 0)
        return tuple(self._states[first - 1 : known])

    def _learn(self, instance: InstanceId, sequence: int) -> None:
        known = self._known_by_instance.get(instance)
        if known is None or known >= sequence:
            return
        self._known_by_instance[instance] = sequence
        if self._is_known_to_most(sequence):
            self._clock.callLater(WINDOW_S, self._enforce, sequence)

    def _is_known_to_most(self, sequence: int) -> bool:
        known = self._known_by_instance
        return all(
            sum(known.get(member.id, 0) >= sequence for member in members) * 2
            > len(members)
            for state in self._states[max(self._in_force - 1, 0) : sequence]
            for members in [state.members_by_name.values()]
        )

    def _enforce(self, sequence: int) -> None:
        self._in_force = max(self._in_force, sequence)


@attrs.frozen
class SeenAgreement:
    """What one instance knows of the agreement."""

    model: AgreementModel
    instance: InstanceId

    def is_fresh(self, now: float) -> bool:
        """Tell whether the instance may act."""
        return self.model.is_fresh(self.instance)

    def active(self, now: float) -> tuple[AgreedState, ...]:
        """Return the states that the instance acts by."""
        return self.model.active(self.instance)
