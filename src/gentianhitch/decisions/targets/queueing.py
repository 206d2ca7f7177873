"""Queue requests for a service, fair between workspaces, and refuse early."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Generic
from typing import TypeVar

import attrs

from gentianhitch.decisions.interfaces import NoSlotError

MAX_QUEUED_BY_WORKSPACE = 256
MAX_QUEUED = 2048
MAX_IDLE = 256
INITIAL_SERVICE_S = 0.02
INITIAL_GAP_S = 0.005
SMOOTHING = 0.1
MAX_GAP_S = 1.0

T = TypeVar("T")


@attrs.define(eq=False)
class Ticket(Generic[T]):
    """One queued request; ``item`` is the caller's."""

    workspace: str
    deadline: float
    item: T


@attrs.define
class _Lane(Generic[T]):
    tickets: deque[Ticket[T]] = attrs.field(factory=deque)
    passed: float = 0.0


class FairQueue(Generic[T]):
    """Serve queued workspaces in turn by stride scheduling.

    Each slot that a workspace gets moves its ``passed`` on by one, and the
    workspace that is least far on is next. One that was idle starts at the
    present position, so it saves up no turns; one that left its queue empty comes
    back where it was, so that it gets no second turn before the others.
    """

    def __init__(self) -> None:
        self._lanes_by_workspace: dict[str, _Lane[T]] = {}
        self._passed_by_idle: dict[str, float] = {}
        self._position = 0.0
        self._length = 0
        self._service_s = INITIAL_SERVICE_S
        self._gap_s = INITIAL_GAP_S
        self._last_release: float | None = None

    def __len__(self) -> int:
        return self._length

    def enter(self, workspace: str, deadline: float, now: float, item: T) -> Ticket[T]:
        """Queue a request; raise NoSlotError if it would be too late."""
        lane = self._lanes_by_workspace.get(workspace)
        queued = len(lane.tickets) if lane else 0
        wait_s = self.expected_wait_s(workspace)
        if queued >= MAX_QUEUED_BY_WORKSPACE or self._length >= MAX_QUEUED:
            raise NoSlotError("queue is full", wait_s)
        if now + wait_s + self._service_s > deadline:
            raise NoSlotError("expected wait exceeds the deadline", wait_s)
        if lane is None:
            passed = max(self._passed_by_idle.pop(workspace, 0.0), self._position)
            lane = self._lanes_by_workspace[workspace] = _Lane(passed=passed)
        ticket = Ticket(workspace, deadline, item)
        lane.tickets.append(ticket)
        self._length += 1
        return ticket

    def leave(self, ticket: Ticket[T]) -> None:
        """Withdraw a queued request."""
        lane = self._lanes_by_workspace.get(ticket.workspace)
        if lane is not None and ticket in lane.tickets:
            lane.tickets.remove(ticket)
            self._length -= 1
            self._drop_if_empty(ticket.workspace)

    def expire(self, now: float) -> list[Ticket[T]]:
        """Withdraw the requests that can no longer make their deadline."""
        late = [
            ticket
            for lane in self._lanes_by_workspace.values()
            for ticket in lane.tickets
            if now + self._service_s > ticket.deadline
        ]
        for ticket in late:
            self.leave(ticket)
        return late

    def next(self, accept: Callable[[Ticket[T]], bool]) -> Ticket[T] | None:
        """Serve the first request in fair order that ``accept`` takes."""
        ordered = sorted(
            self._lanes_by_workspace.items(), key=lambda item: (item[1].passed, item[0])
        )
        for _, lane in ordered:
            ticket = lane.tickets[0]
            if accept(ticket):
                self._position = max(self._position, lane.passed)
                lane.passed += 1.0
                self.leave(ticket)
                return ticket
        return None

    def served(self, latency_s: float, now: float) -> None:
        """Learn from an ended request how long slots are held and come free."""
        self._service_s += SMOOTHING * (latency_s - self._service_s)
        if self._last_release is not None and self._length:
            gap_s = min(now - self._last_release, MAX_GAP_S)
            self._gap_s += SMOOTHING * (gap_s - self._gap_s)
        self._last_release = now

    def expected_wait_s(self, workspace: str) -> float:
        """Estimate the wait of a request that ``workspace`` queues now."""
        lane = self._lanes_by_workspace.get(workspace)
        turns = len(lane.tickets) + 1 if lane else 1
        others = sum(
            min(len(other.tickets), turns)
            for name, other in self._lanes_by_workspace.items()
            if name != workspace
        )
        return (turns + others) * self._gap_s

    def _drop_if_empty(self, workspace: str) -> None:
        lane = self._lanes_by_workspace[workspace]
        if lane.tickets:
            return
        del self._lanes_by_workspace[workspace]
        if lane.passed > self._position:
            self._passed_by_idle[workspace] = lane.passed
        if len(self._passed_by_idle) > MAX_IDLE:
            self._passed_by_idle = {
                name: passed
                for name, passed in self._passed_by_idle.items()
                if passed > self._position
            }
