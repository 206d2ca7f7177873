"""Connect the decisions on targets with the clock and the transport."""

from __future__ import annotations

from random import Random
from typing import Any

from twisted.internet.task import LoopingCall

from gentianhitch.decisions.interfaces import AgreedStates
from gentianhitch.decisions.targets.availability import TargetAvailability
from gentianhitch.decisions.targets.detector import TICK_S
from gentianhitch.decisions.targets.detector import Detector
from gentianhitch.decisions.targets.selector import TargetPool
from gentianhitch.decisions.targets.slots import Clock
from gentianhitch.decisions.targets.slots import QueuedSlots
from gentianhitch.instances.identity import InstanceId
from gentianhitch.instances.transport import Transport


class TargetsDriver:
    """Selector, slot queues and gray detection of one entry instance.

    ``pool`` implements TargetSelector and ``slots`` implements SlotSource;
    ``detector.counts`` counts ejections and reports.
    """

    def __init__(
        self,
        agreement: AgreedStates,
        me: InstanceId,
        failure_domain: str,
        transport: Transport,
        clock: Clock,
        random: Random,
    ) -> None:
        self._clock = clock
        self.detector = Detector(agreement, me, transport, random, clock.seconds())
        self.pool = TargetPool(
            agreement, me.name, failure_domain, self.detector, random
        )
        self.slots = QueuedSlots(self.pool, clock)
        self._tick_loop = LoopingCall(self._tick)
        runtime: Any = clock
        self._tick_loop.clock = runtime

    @property
    def availability(self) -> TargetAvailability:
        """Return the record of which targets are leaving or cold."""
        return self.detector.availability

    def start(self) -> None:
        """Subscribe to messages and start the periodic tick."""
        self.detector.subscribe(self._clock)
        self._tick_loop.start(TICK_S, now=False)

    def stop(self) -> None:
        """Stop the periodic tick."""
        if self._tick_loop.running:
            self._tick_loop.stop()

    def _tick(self) -> None:
        self.detector.tick(self.pool.outstanding, self._clock.seconds())
