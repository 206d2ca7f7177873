"""One entry instance of a randomised run, which can be paused and killed."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Any

import attrs
from twisted.internet.interfaces import IDelayedCall
from twisted.internet.interfaces import IReactorTime
from twisted.internet.task import Clock
from zope.interface import implementer

from gentianhitch.decisions.exchange import EvidenceExchange
from gentianhitch.decisions.freshness import Freshness
from gentianhitch.instances.fleet import Fleet
from gentianhitch.instances.identity import Member
from gentianhitch.instances.states import DecodeDocument
from gentianhitch.platform.memory import MemoryPlatform
from gentianhitch.platform.memory import MemoryStore
from gentianhitch.soak.network import Endpoint
from gentianhitch.soak.network import Network
from gentianhitch.soak.operating import ENVIRONMENT


@implementer(IDelayedCall)
@attrs.define(eq=False)
class ProcessCall:
    """A timer of a process; due during a pause, it waits until the resume."""

    process: ProcessClock
    function: Callable[[], object]
    timer: Any = None
    waiting: bool = False

    def fire(self) -> None:
        """Call the function, unless the process is paused or killed."""
        self.waiting = self.process.paused
        if self.waiting:
            self.process.due.append(self)
        elif not self.process.killed:
            self.function()

    def cancel(self) -> None:
        """Never fire."""
        if self.waiting:
            self.waiting = False
            self.process.due.remove(self)
        else:
            self.timer.cancel()

    def active(self) -> bool:
        """Tell whether it can still fire."""
        return self.waiting or bool(self.timer.active())

    def getTime(self) -> float:  # noqa: N802
        """Return when it is due."""
        return float(self.timer.getTime())

    def delay(self, seconds_later: float) -> None:
        """Fire later."""
        raise NotImplementedError

    def reset(self, seconds_from_now: float) -> None:
        """Fire at another time."""
        raise NotImplementedError


@implementer(IReactorTime)
@attrs.define(eq=False)
class ProcessClock:
    """The clock of one process: timers due while it is paused fire on resume."""

    clock: Clock
    paused: bool = False
    killed: bool = False
    due: list[ProcessCall] = attrs.Factory(list)

    def seconds(self) -> float:
        """Return the time, which goes on during a pause."""
        return self.clock.seconds()

    def callLater(  # noqa: N802
        self,
        delay: float,
        callable: Callable[..., Any],
        *args: object,
        **kwargs: object,
    ) -> IDelayedCall:
        """Call ``callable`` after ``delay`` seconds, or on resume if later."""
        call = ProcessCall(self, lambda: callable(*args, **kwargs))
        call.timer = self.clock.callLater(delay, call.fire)
        return call

    def getDelayedCalls(self) -> Any:  # noqa: N802
        """Return the timers that have not fired."""
        return self.clock.getDelayedCalls()

    def resume(self) -> None:
        """Fire what became due during the pause."""
        self.paused = False
        while self.due and not self.paused:
            call = self.due.pop(0)
            call.waiting = False
            call.fire()


@attrs.define(eq=False)
class Process:
    """An instance with its own clock, endpoint and platform client."""

    member: Member
    clock: ProcessClock
    endpoint: Endpoint
    platform: MemoryPlatform
    fleet: Fleet
    network: Network

    @classmethod
    def start(
        cls,
        member: Member,
        network: Network,
        store: MemoryStore,
        decode_document: DecodeDocument,
        seeds: tuple[Any, ...] = (),
        freshness: Callable[[Member], Freshness] = Freshness,
        exchange: Callable[[Freshness], EvidenceExchange] = EvidenceExchange,
    ) -> Process:
        """Start an instance from nothing."""
        clock = ProcessClock(network.clock)
        endpoint = network.attach(member.id, member.peers)
        platform = MemoryPlatform(store)
        fleet = Fleet(
            member,
            ENVIRONMENT,
            endpoint,
            platform,
            clock,
            decode_document,
            Random(network.random.random()),
            seeds,
            freshness(member),
            exchange,
        )
        fleet.start()
        return cls(member, clock, endpoint, platform, fleet, network)

    @property
    def paused(self) -> bool:
        """Tell whether the process is paused."""
        return self.clock.paused

    def pause(self) -> None:
        """Stop the process without its noticing."""
        self.clock.paused = True
        self.endpoint.pause()

    def resume(self) -> None:
        """Let the process go on."""
        self.clock.resume()
        self.endpoint.resume()

    def kill(self) -> None:
        """End the process at once."""
        self.clock.killed = True
        self.fleet.stop()
        self.endpoint.pause()
        self.platform.requests_lost = True
        if self.network.is_attached(self.endpoint):
            self.network.detach(self.member.peers)
