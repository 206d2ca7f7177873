"""Queue requests that found every slot taken, fairly between workspaces."""

from __future__ import annotations

from collections import OrderedDict
from collections import deque
from collections.abc import Callable

import attrs

MAX_WAITING_PER_SERVICE = 256
MAX_WAITING_PER_WORKSPACE = 64

Retry = Callable[[], bool]
"""Try again to get a slot; True when the request no longer needs the queue."""


@attrs.define(eq=False)
class Waiter:
    """One request in the queue of its workspace."""

    workspace: str | None
    retry: Retry
    cancelled: bool = False


@attrs.define
class FairQueue:
    """Hand the free slots of one service to the workspaces in turn."""

    _waiters_by_workspace: OrderedDict[str | None, deque[Waiter]] = attrs.Factory(
        OrderedDict
    )
    _size: int = 0

    def __len__(self) -> int:
        return self._size

    def add(self, workspace: str | None, retry: Retry) -> Waiter | None:
        """Let a request wait; None when the queue is full."""
        waiters = self._waiters_by_workspace.get(workspace)
        waiting = 0 if waiters is None else len(waiters)
        if (
            self._size >= MAX_WAITING_PER_SERVICE
            or waiting >= MAX_WAITING_PER_WORKSPACE
        ):
            return None
        if waiters is None:
            waiters = self._waiters_by_workspace[workspace] = deque()
        waiter = Waiter(workspace, retry)
        waiters.append(waiter)
        self._size += 1
        return waiter

    def cancel(self, waiter: Waiter) -> None:
        """Take a request out of the queue."""
        waiters = self._waiters_by_workspace.get(waiter.workspace)
        if not waiter.cancelled and waiters is not None and waiter in waiters:
            waiters.remove(waiter)
            self._size -= 1
            if not waiters:
                del self._waiters_by_workspace[waiter.workspace]
        waiter.cancelled = True

    def slot_released(self) -> None:
        """Let the next request of the next workspace try again."""
        if not self._size:
            return
        workspace, waiters = next(iter(self._waiters_by_workspace.items()))
        waiter = waiters.popleft()
        self._size -= 1
        if not waiter.retry() and not waiter.cancelled:
            waiters.appendleft(waiter)
            self._size += 1
            return
        waiter.cancelled = True
        self._end_turn(workspace)

    def _end_turn(self, workspace: str | None) -> None:
        waiters = self._waiters_by_workspace.get(workspace)
        if waiters:
            self._waiters_by_workspace.move_to_end(workspace)
        elif waiters is not None:
            del self._waiters_by_workspace[workspace]
