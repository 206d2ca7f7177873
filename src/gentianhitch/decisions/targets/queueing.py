"""Queue requests for a service, fair between workspaces, with early refusal."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Generic
from typing import TypeVar

import attrs

from gentianhitch.decisions.interfaces import NoSlotError

MAX_QUEUED_BY_WORKSPACE = 256
MAX_QUEUED = 2048
MAX_IDLE_WORKSPACES = 256
INITIAL_HOLD_S = 0.02
INITIAL_RELEASE_GAP_S = 0.005
SMOOTHING = 0.1
MAX_RELEASE_GAP_S = 1.0

T = TypeVar("T")


@attrs.define(eq=False)
class QueuedRequest(Generic[T]):
    """A queued request of a workspace; ``item`` is opaque to the queue."""

    workspace: str
    deadline: float
    item: T


@attrs.define
class _WorkspaceQueue(Generic[T]):
    requests: deque[QueuedRequest[T]] = attrs.field(factory=deque)
    virtual_time: float = 0.0


class FairQueue(Generic[T]):
    """Serve the workspaces with queued requests in turn, by stride scheduling.

    Each slot that a workspace gets advances its ``virtual_time`` by one, and the
    workspace with the least virtual time is served next. After an idle time it starts
    at the queue's virtual time, so it accumulates no turns. If it only emptied its
    queue, it resumes at its own, so it gets no second turn before the others.
    """

    def __init__(self) -> None:
        self._queues_by_workspace: dict[str, _WorkspaceQueue[T]] = {}
        self._virtual_time_by_idle: dict[str, float] = {}
        self._virtual_time = 0.0
        self._length = 0
        self._hold_s = INITIAL_HOLD_S
        self._release_gap_s = INITIAL_RELEASE_GAP_S
        self._last_release: float | None = None

    def __len__(self) -> int:
        return self._length

    def enqueue(
        self, workspace: str, deadline: float, now: float, item: T
    ) -> QueuedRequest[T]:
        """Queue a request; raise NoSlotError if it would miss its deadline."""
        queue = self._queues_by_workspace.get(workspace)
        queued = len(queue.requests) if queue else 0
        wait_s = self.expected_wait_s(workspace)
        if queued >= MAX_QUEUED_BY_WORKSPACE or self._length >= MAX_QUEUED:
            raise NoSlotError("queue is full", wait_s)
        if now + wait_s + self._hold_s > deadline:
            raise NoSlotError("expected wait exceeds the deadline", wait_s)
        if queue is None:
            virtual_time = max(
                self._virtual_time_by_idle.pop(workspace, 0.0), self._virtual_time
            )
            queue = self._queues_by_workspace[workspace] = _WorkspaceQueue(
                virtual_time=virtual_time
            )
        request = QueuedRequest(workspace, deadline, item)
        queue.requests.append(request)
        self._length += 1
        return request

    def remove(self, request: QueuedRequest[T]) -> None:
        """Remove a request; do nothing if it is no longer queued."""
        queue = self._queues_by_workspace.get(request.workspace)
        if queue is not None and request in queue.requests:
            queue.requests.remove(request)
            self._length -= 1
            self._drop_if_empty(request.workspace)

    def expire(self, now: float) -> list[QueuedRequest[T]]:
        """Remove and return the requests that can no longer meet their deadline."""
        late = [
            request
            for queue in self._queues_by_workspace.values()
            for request in queue.requests
            if now + self._hold_s > request.deadline
        ]
        for request in late:
            self.remove(request)
        return late

    def serve_next(
        self, accept: Callable[[QueuedRequest[T]], bool]
    ) -> QueuedRequest[T] | None:
        """Remove and return the first request in fair order that ``accept`` takes."""
        ranked = sorted(
            self._queues_by_workspace.items(),
            key=lambda item: (item[1].virtual_time, item[0]),
        )
        for _, queue in ranked:
            request = queue.requests[0]
            if accept(request):
                self._virtual_time = max(self._virtual_time, queue.virtual_time)
                queue.virtual_time += 1.0
                self.remove(request)
                return request
        return None

    def record_release(self, latency_s: float, now: float) -> None:
        """Update the mean hold time of a slot and the mean time between releases."""
        self._hold_s += SMOOTHING * (latency_s - self._hold_s)
        if self._last_release is not None and self._length:
            release_gap_s = min(now - self._last_release, MAX_RELEASE_GAP_S)
            self._release_gap_s += SMOOTHING * (release_gap_s - self._release_gap_s)
        self._last_release = now

    def expected_wait_s(self, workspace: str) -> float:
        """Estimate the wait of a request that ``workspace`` queues now."""
        queue = self._queues_by_workspace.get(workspace)
        turns = len(queue.requests) + 1 if queue else 1
        other_turns = sum(
            min(len(other.requests), turns)
            for name, other in self._queues_by_workspace.items()
            if name != workspace
        )
        return (turns + other_turns) * self._release_gap_s

    def _drop_if_empty(self, workspace: str) -> None:
        queue = self._queues_by_workspace[workspace]
        if queue.requests:
            return
        del self._queues_by_workspace[workspace]
        if queue.virtual_time > self._virtual_time:
            self._virtual_time_by_idle[workspace] = queue.virtual_time
        if len(self._virtual_time_by_idle) > MAX_IDLE_WORKSPACES:
            self._virtual_time_by_idle = {
                name: virtual_time
                for name, virtual_time in self._virtual_time_by_idle.items()
                if virtual_time > self._virtual_time
            }
