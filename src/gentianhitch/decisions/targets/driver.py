"""Drive the decisions on targets by the runtime's clock and messages."""

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
    """Hold what one entry instance needs to choose targets.

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
        self._ticking = LoopingCall(self._tick)
        runtime: Any = clock
        self._ticking.clock = runtime

    @property
    def availability(self) -> TargetAvailability:
        """Return where hints of targets, such as leaving, are overdue_count."""
        return self.detector.availability

    def start(self) -> None:
        """Receive messages and begin to tick."""
        self.detector.subscribe(self._clock)
        self._ticking.start(TICK_S, now=False)

    def stop(self) -> None:
        """Tick no more."""
        if self._ticking.running:
            self._ticking.stop()

    def _tick(self) -> None:
        self.detector.tick(self.pool.outstanding, self._clock.seconds())
