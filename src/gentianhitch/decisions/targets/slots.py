"""Reserve slots asynchronously, through the fair queue of each service."""

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
from gentianhitch.decisions.targets.queueing import QueuedRequest
from gentianhitch.decisions.targets.selector import TargetPool
from gentianhitch.operators.document import BackendServer
from gentianhitch.operators.document import Route

OPEN_ROUTE_WORKSPACE = ""
POLL_INTERVAL_S = 0.01
"""Interval of checks for slots that became free without a release."""


class Clock(Protocol):
    """The methods of the runtime's clock that queues use."""

    def seconds(self) -> float:
        """Return the monotonic time in seconds."""
        ...

    def callLater(  # noqa: N802
        self, delay: float, function: Callable[..., object], /, *args: object
    ) -> Any:
        """Call ``function`` after ``delay`` seconds."""
        ...


@attrs.frozen(eq=False)
class SlotRequest:
    """A request for a slot; ``deferred`` fires with the target."""

    service: str
    route: Route
    workspace: str | None
    exclude: frozenset[str]
    deferred: Deferred[BackendServer]


class QueuedSlots:
    """Wait for slots of a TargetPool; implements SlotSource."""

    def __init__(self, pool: TargetPool, clock: Clock) -> None:
        self._pool = pool
        self._clock = clock
        self._queues_by_service: dict[str, FairQueue[SlotRequest]] = {}
        self._poll: Any = None
        pool.on_release.append(self._on_release)

    def acquire(
        self,
        service: str,
        route: Route,
        workspace: str | None,
        deadline: float,
        exclude: frozenset[str] = frozenset(),
    ) -> Deferred[BackendServer]:
        """Reserve a slot; fail with NoSlotError once the deadline can't be met."""
        now = self._clock.seconds()
        queue = self._queues_by_service.setdefault(service, FairQueue())
        if not len(queue):
            target = self._pool.choose(service, route, workspace, now, exclude)
            if target is not None:
                return succeed(target)
        return self._wait(queue, service, route, workspace, deadline, exclude)

    def queued(self, service: str) -> int:
        """Return the number of requests that wait for a slot of ``service``."""
        queue = self._queues_by_service.get(service)
        return len(queue) if queue is not None else 0

    def _wait(
        self,
        queue: FairQueue[SlotRequest],
        service: str,
        route: Route,
        workspace: str | None,
        deadline: float,
        exclude: frozenset[str],
    ) -> Deferred[BackendServer]:
        deferred: Deferred[BackendServer] = Deferred(lambda _: queue.remove(queued))
        request = SlotRequest(service, route, workspace, exclude, deferred)
        queue_key = workspace if workspace is not None else OPEN_ROUTE_WORKSPACE
        try:
            queued = queue.enqueue(queue_key, deadline, self._clock.seconds(), request)
        except NoSlotError as error:
            return fail(error)
        self._schedule_poll()
        return deferred

    def _on_release(self, attempt: Attempt, now: float) -> None:
        queue = self._queues_by_service.get(attempt.route.service)
        if queue is not None:
            queue.record_release(attempt.latency_s, now)
            self._serve_queue(queue)

    def _serve_queue(self, queue: FairQueue[SlotRequest]) -> None:
        now = self._clock.seconds()
        for queued in queue.expire(now):
            wait_s = queue.expected_wait_s(queued.workspace)
            queued.item.deferred.errback(NoSlotError("deadline is too near", wait_s))
        chosen: list[BackendServer] = []

        def accept(queued: QueuedRequest[SlotRequest]) -> bool:
            request = queued.item
            target = self._pool.choose(
                request.service, request.route, request.workspace, now, request.exclude
            )
            if target is not None:
                chosen.append(target)
            return target is not None

        while accepted := queue.serve_next(accept):
            accepted.item.deferred.callback(chosen.pop())

    def _schedule_poll(self) -> None:
        if self._poll is None:
            self._poll = self._clock.callLater(POLL_INTERVAL_S, self._run_poll)

    def _run_poll(self) -> None:
        self._poll = None
        for queue in list(self._queues_by_service.values()):
            self._serve_queue(queue)
        if any(len(queue) for queue in self._queues_by_service.values()):
            self._schedule_poll()
