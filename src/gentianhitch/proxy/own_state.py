"""Know whether this instance and others are full, and log when that changes."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

import attrs

from gentianhitch.proxy.events import Events
from gentianhitch.proxy.full_instances import FullInstances
from gentianhitch.proxy.full_instances import FullNames
from gentianhitch.proxy.own_limits import Fullness
from gentianhitch.proxy.own_limits import OwnLimits
from gentianhitch.proxy.server_reach import ServerReach


@attrs.define(eq=False)
class OwnState:
    """Connects the account of the own limits to reports, metrics and logs."""

    _name: str
    _clock: Any
    _reach: ServerReach
    _events: Events
    limits: OwnLimits
    full_instances: FullInstances = attrs.Factory(FullInstances)
    _fullness: Fullness = attrs.Factory(Fullness)
    _known_full: FullNames = attrs.Factory(FullNames)

    def queue_s(self) -> float:
        """Return for how long a packet and its answer wait at the own link."""
        return self.limits.queue_s(self._clock.seconds())

    def fullness(self) -> int:
        """Return the fullness in percent, and log if it begins or ends to be full."""
        now = self._clock.seconds()
        load = self.limits.load(now, is_link_suspected=self._reach.is_suspected())
        was_full = self._fullness.is_full
        percent = self._fullness.update(load, now)
        is_full = self._fullness.is_full
        if is_full != was_full:
            self._events.state(
                "instance_full" if is_full else "instance_not_full",
                queue_ms=round(load.queue_s * 1000),
                lag_ms=round(load.lag_s * 1000),
                is_link_suspected=load.is_link_suspected,
            )
        self.full_instances.record_report(self._name, percent, now)
        return percent

    def update(self, lag_s: float, names: Iterable[str]) -> None:
        """Record the lag of the last span, and log which of ``names`` are full."""
        self.limits.record_lag(lag_s)
        self.fullness()
        full = self.full_instances.names(names, self._clock.seconds())
        if full != self._known_full:
            self._known_full = full
            self._events.state(
                "full_instances", busy=sorted(full.busy), faulty=sorted(full.faulty)
            )

    def gauges(self) -> dict[str, float]:
        """Return the metrics of the own limits."""
        load = self.limits.load(self._clock.seconds())
        return {
            "own_link_suspected": self._reach.is_suspected(),
            "own_link_queue_seconds": load.queue_s,
            "fullness_percent": self._fullness.percent,
            "full_instances": len(self._known_full.busy | self._known_full.faulty),
        }
