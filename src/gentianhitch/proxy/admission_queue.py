"""Hold requests for a moment that their workspace's limit admits shortly.

An instance may spend only its part of a workspace's limit between two reports, and a
full window frees admissions one by one. A request that fits after so short a time is
held; any other is refused at once.
"""

from __future__ import annotations

from collections import deque
from typing import Any
from typing import Protocol

import attrs

from gentianhitch.proxy.model import Route
from gentianhitch.proxy.model import Workspace
from gentianhitch.proxy.quotas import Quotas

MIN_TICK_S = 0.005
MAX_HELD_SHARE = 0.125
"""Share of the latency objective, or of a shorter deadline, to wait for the quota."""

MIN_HELD_S = 0.12
"""Longer than the interval of reports in a small fleet: the next one may free some."""


def max_held_s(route: Route, remaining_s: float) -> float:
    """Return for how long a request may be held for its workspace's quota."""
    usual_s = min(route.objective_s, remaining_s)
    return max(MAX_HELD_SHARE * usual_s, min(MIN_HELD_S, remaining_s / 2))


class Admittee(Protocol):
    """Receives the decision on one request, exactly one."""

    def admitted(self) -> None:
        """Handle that the request is counted and may be sent."""
        ...

    def over_rate(self, retry_after_s: float) -> None:
        """Handle that the request is refused."""
        ...


@attrs.frozen(eq=False)
class HeldRequest:
    """One request that waits for its admission, until ``until_s`` at most."""

    admittee: Admittee
    until_s: float


@attrs.define(eq=False)
class _Line:
    """The held requests of one workspace, in the order in which they came."""

    workspace: Workspace
    held: deque[HeldRequest] = attrs.Factory(deque)
    timer: Any = None


class AdmissionQueue:
    """Admit requests, hold them for a moment, or refuse them."""

    def __init__(self, clock: Any, quotas: Quotas) -> None:
        self._clock = clock
        self._quotas = quotas
        self._lines_by_workspace: dict[str, _Line] = {}

    def enter(
        self, workspace: Workspace, admittee: Admittee, max_wait_s: float
    ) -> HeldRequest | None:
        """Decide at once, or return the request that is held for ``max_wait_s``."""
        now = self._clock.seconds()
        line = self._lines_by_workspace.get(workspace.name)
        if line is not None and workspace.is_unlimited:
            # Its limit was lifted: those that wait for it go first.
            line.workspace = workspace
            self._decide(line)
            line = None
        if line is None:
            wait_s = self._quotas.admit(workspace, now)
            if wait_s <= 0:
                admittee.admitted()
                return None
        else:
            line.workspace = workspace
            wait_s = self._quotas.retry_after_s(workspace, now, len(line.held))
        if wait_s > max_wait_s:
            admittee.over_rate(wait_s)
            return None
        if line is None:
            line = self._lines_by_workspace[workspace.name] = _Line(workspace)
        request = HeldRequest(admittee, now + max_wait_s)
        line.held.append(request)
        if line.timer is None:
            self._schedule(line, wait_s, now)
        return request

    def leave(self, request: HeldRequest) -> None:
        """Drop a held request without a decision; its caller has disconnected."""
        for line in tuple(self._lines_by_workspace.values()):
            if request in line.held:
                line.held.remove(request)
                self._drop_if_empty(line)

    def _schedule(self, line: _Line, wait_s: float, now: float) -> None:
        earliest_end_s = min(request.until_s for request in line.held) - now
        delay_s = max(min(wait_s, earliest_end_s), MIN_TICK_S)
        line.timer = self._clock.callLater(delay_s, self._tick, line)

    def _tick(self, line: _Line) -> None:
        line.timer = None
        self._decide(line)

    def _decide(self, line: _Line) -> None:
        """Admit or refuse the held requests that need not wait longer."""
        now = self._clock.seconds()
        wait_s = 0.0
        while line.held:
            wait_s = self._quotas.admit(line.workspace, now)
            if wait_s > 0:
                break
            line.held.popleft().admittee.admitted()
        ended = [request for request in line.held if request.until_s <= now]
        for request in ended:
            # A refusal may close the connection, whose other requests then leave.
            if request in line.held:
                line.held.remove(request)
                request.admittee.over_rate(wait_s)
        if line.held and line.timer is None:
            self._schedule(line, wait_s, now)
        self._drop_if_empty(line)

    def _drop_if_empty(self, line: _Line) -> None:
        if line.held:
            return
        if line.timer is not None:
            line.timer.cancel()
            line.timer = None
        if self._lines_by_workspace.get(line.workspace.name) is line:
            del self._lines_by_workspace[line.workspace.name]
