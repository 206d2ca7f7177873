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

from gentianhitch.decisions.exchange import Exchange
from gentianhitch.decisions.freshness import Freshness
from gentianhitch.instances.fleet import Fleet
from gentianhitch.instances.identity import Member
from gentianhitch.instances.states import DecodeDocument
from gentianhitch.platform.memory import MemoryPlatform
from gentianhitch.platform.memory import MemoryStore
from gentianhitch.soak.network import Endpoint
from gentianhitch.soak.network import Network


@implementer(IReactorTime)
@attrs.define(eq=False)
class ProcessClock:
    """The clock of one process: timers due while it is paused fire on resume."""

    clock: Clock
    paused: bool = False
    killed: bool = False
    _due: list[Callable[[], object]] = attrs.Factory(list)

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

        def fire() -> None:
            if self.paused:
                self._due.append(lambda: callable(*args, **kwargs))
            elif not self.killed:
                callable(*args, **kwargs)

        return self.clock.callLater(delay, fire)

    def getDelayedCalls(self) -> Any:  # noqa: N802
        """Return the timers that have not fired."""
        return self.clock.getDelayedCalls()

    def resume(self) -> None:
        """Fire what became due during the pause."""
        self.paused = False
        due, self._due = self._due, []
        for call in due:
            call()


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
        exchange: Callable[[Freshness], Exchange] = Exchange,
    ) -> Process:
        """Start an instance from nothing."""
        clock = ProcessClock(network.clock)
        endpoint = network.attach(member.id, member.peers)
        platform = MemoryPlatform(store)
        fleet = Fleet(
            member,
            "trial",
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
