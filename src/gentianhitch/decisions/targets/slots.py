"""Hand out slots as Deferreds, through the fair queue of each service."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any
from typing import Protocol

import attrs
from twisted.internet.defer import Deferred
from twisted.internet.defer import fail
from twisted.internet.defer import succeed

from gentianhitch.decisions.interfaces import Attempt
from gentianhitch.decisions.interfaces import NoSlotError
from gentianhitch.decisions.targets.queueing import FairQueue
from gentianhitch.decisions.targets.queueing import Ticket
from gentianhitch.decisions.targets.selector import TargetPool
from gentianhitch.operators.document import BackendServer
from gentianhitch.operators.document import Route

OPEN_WORKSPACE = ""
POLL_S = 0.01
"""Interval at which a queue looks for slots that no release announced."""


class Clock(Protocol):
    """The part of the runtime's clock that queues use."""

    def seconds(self) -> float:
        """Return the monotonic time in seconds."""
        ...

    def callLater(  # noqa: N802
        self, delay: float, function: Callable[..., object], /, *args: object
    ) -> Any:
        """Call ``function`` after ``delay`` seconds."""
        ...


@attrs.frozen(eq=False)
class Wanted:
    """What a queued request asks for and the Deferred that waits."""

    service: str
    route: Route
    workspace: str | None
    exclude: frozenset[str]
    done: Deferred[BackendServer]


class QueuedSlots:
    """Wait for slots of a TargetPool; implements SlotSource."""

    def __init__(self, pool: TargetPool, clock: Clock) -> None:
        self._pool = pool
        self._clock = clock
        self._queues_by_service: dict[str, FairQueue[Wanted]] = {}
        self._poll: Any = None
        pool.on_release.append(self._released)

    def acquire(
        self,
        service: str,
        route: Route,
        workspace: str | None,
        deadline: float,
        exclude: frozenset[str] = frozenset(),
    ) -> Deferred[BackendServer]:
        """Reserve a slot; fail with NoSlotError as soon as it would come too late."""
        now = self._clock.seconds()
        queue = self._queues_by_service.setdefault(service, FairQueue())
        if not len(queue):
            target = self._pool.choose(service, route, workspace, now, exclude)
            if target is not None:
                return succeed(target)
        return self._wait(queue, service, route, workspace, deadline, exclude)

    def queued(self, service: str) -> int:
        """Return how many requests wait for a slot of ``service``."""
        queue = self._queues_by_service.get(service)
        return len(queue) if queue is not None else 0

    def _wait(
        self,
        queue: FairQueue[Wanted],
        service: str,
        route: Route,
        workspace: str | None,
        deadline: float,
        exclude: frozenset[str],
    ) -> Deferred[BackendServer]:
        done: Deferred[BackendServer] = Deferred(lambda _: queue.leave(ticket))
        wanted = Wanted(service, route, workspace, exclude, done)
        lane = workspace if workspace is not None else OPEN_WORKSPACE
        try:
            ticket = queue.enter(lane, deadline, self._clock.seconds(), wanted)
        except NoSlotError as error:
            return fail(error)
        self._poll_later()
        return done

    def _released(self, attempt: Attempt, now: float) -> None:
        queue = self._queues_by_service.get(attempt.route.service)
        if queue is not None:
            queue.served(attempt.latency_s, now)
            self._serve(queue)

    def _serve(self, queue: FairQueue[Wanted]) -> None:
        now = self._clock.seconds()
        for ticket in queue.expire(now):
            wait_s = queue.expected_wait_s(ticket.workspace)
            ticket.item.done.errback(NoSlotError("deadline is too near", wait_s))
        chosen: list[BackendServer] = []

        def accept(ticket: Ticket[Wanted]) -> bool:
            wanted = ticket.item
            target = self._pool.choose(
                wanted.service, wanted.route, wanted.workspace, now, wanted.exclude
            )
            if target is not None:
                chosen.append(target)
            return target is not None

        while served := queue.next(accept):
            served.item.done.callback(chosen.pop())

    def _poll_later(self) -> None:
        if self._poll is None:
            self._poll = self._clock.callLater(POLL_S, self._poll_now)

    def _poll_now(self) -> None:
        self._poll = None
        for queue in list(self._queues_by_service.values()):
            self._serve(queue)
        if any(len(queue) for queue in self._queues_by_service.values()):
            self._poll_later()
