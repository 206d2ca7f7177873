"""Decide at the head of a request whether its body is worth reading.

A body that can't be served takes the link from others, and holds its caller until it
has crossed. Only instances with slow links refuse it before it is read.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from random import Random
from typing import Any
from typing import Protocol

import attrs
from twisted.python.failure import Failure

from gentianhitch.callers.complete_requests import CallerRequest
from gentianhitch.callers.refusals import Cause
from gentianhitch.callers.refusals import Refusal
from gentianhitch.proxy.admission_queue import max_held_s
from gentianhitch.proxy.dispatch_context import DispatchContext
from gentianhitch.proxy.events import Events
from gentianhitch.proxy.model import Route
from gentianhitch.proxy.model import Workspace
from gentianhitch.proxy.model import effective_priority
from gentianhitch.proxy.own_limits import MAX_QUEUE_S
from gentianhitch.proxy.own_limits import OwnLimits
from gentianhitch.proxy.quotas import Quotas
from gentianhitch.proxy.traffic_split import TrafficSplits

MIN_RETRY_AFTER_S = 0.3
MAX_RETRY_AFTER_S = 3.0
"""Callers wait for up to a third of their remaining time, mostly a few seconds."""

RETRY_SPREAD = 0.5
"""Longest addition to a Retry-After, as a share: callers come back one by one."""

MAX_READING_S = 6.0
"""A body that takes longer is not waited for; its caller has probably given up."""


class Allowed(Protocol):
    """The route and workspace of a request that may be served."""

    @property
    def route(self) -> Route:
        """The route that matches."""
        ...

    @property
    def workspace(self) -> Workspace | None:
        """The workspace; None on a public route."""
        ...


@attrs.define(eq=False)
class BodyChecks:
    """Check large bodies before they are read, and count those that are being read.

    ``check_head`` returns what a request is allowed, or its refusal.
    """

    _clock: Any
    _check_head: Callable[[CallerRequest, float], Allowed | Refusal]
    _quotas: Quotas
    _dispatch: DispatchContext
    _splits: TrafficSplits
    _events: Events
    _random: Random
    _reading_until_s: dict[str, deque[float]] = attrs.Factory(dict)

    @property
    def _limits(self) -> OwnLimits:
        return self._dispatch.limits

    def check(self, request: CallerRequest, size: int, added: int) -> Refusal | None:
        """Return why a body of ``size`` bytes or more is not read; None to read it.

        ``added`` bytes of it are new: less than all for a body without a declared
        length, of which the first part was read.
        """
        if not self._limits.is_active:
            return None
        try:
            return self._check(request, size, added)
        except Exception:
            # The request itself is answered when it is complete.
            self._events.failure(Failure())
            return None

    def _check(self, request: CallerRequest, size: int, added: int) -> Refusal | None:
        now: float = self._clock.seconds()
        allowed = self._check_head(request, now)
        if isinstance(allowed, Refusal):
            return allowed
        route, workspace = allowed.route, allowed.workspace
        refusal = self._check_link(request, route, size, now)
        is_new = size == added
        if refusal is None and is_new and workspace is not None:
            refusal = self._check_quota(route, workspace, request, now)
        if refusal is None and not self._may_connect(route, workspace):
            refusal = self._refuse(MIN_RETRY_AFTER_S, "connects to servers fail")
        if refusal is not None:
            self._limits.refuse(added, now)
        else:
            self._limits.receive(added, now)
            if is_new and workspace is not None:
                self._begin_reading(workspace.name, size, now)
        return refusal

    def _may_connect(self, route: Route, workspace: Workspace | None) -> bool:
        """Return whether the request could be sent, as far as the own link goes."""
        if not self._dispatch.reach.is_suspected():
            return True
        priority = effective_priority(route, workspace)
        service = self._splits.choose(route)
        return self._dispatch.may_connect(service, route, priority)

    def end_reading(self, workspace: Workspace) -> None:
        """Count one body less of those of a workspace that are being read."""
        reading = self._reading_until_s.get(workspace.name)
        if reading:
            reading.popleft()

    def _check_link(
        self, request: CallerRequest, route: Route, size: int, now: float
    ) -> Refusal | None:
        """Refuse a body that can't cross the link in and out within its objective.

        Nor is it read while connects to servers would time out behind other bodies.
        """
        queue_s = self._limits.crossing_s(0, now)
        if queue_s > MAX_QUEUE_S:
            detail = f"the link is busy for {queue_s:.2f} s"
            return self._refuse(queue_s - MAX_QUEUE_S, detail)
        deadline_s = request.remaining_s
        if route.timeout_s is not None:
            deadline_s = min(deadline_s, route.timeout_s)
        # Alone on the link, a body within the configured size is served though late.
        is_alone = self._limits.is_idle(now)
        left_s = deadline_s if is_alone else min(deadline_s, route.objective_s)
        crossing_s = self._limits.crossing_s(size, now)
        if crossing_s <= left_s:
            return None
        detail = f"{size} bytes cross the link in {crossing_s:.2f} of {left_s:g} s"
        return self._refuse(crossing_s - left_s, detail)

    def _check_quota(
        self, route: Route, workspace: Workspace, request: CallerRequest, now: float
    ) -> Refusal | None:
        """Refuse a body whose workspace has no quota left when it has been read."""
        reading = self._reading(workspace.name, now)
        wait_s = self._quotas.room_in_s(workspace, now, len(reading))
        if wait_s <= max_held_s(route, request.remaining_s):
            return None
        return Refusal(
            Cause.OVER_RATE,
            detail=self._quotas.describe(workspace, now),
            retry_after_s=round(wait_s, 3),
        )

    def _refuse(self, wait_s: float, detail: str) -> Refusal:
        wait_s = min(max(wait_s, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S)
        wait_s *= 1.0 + RETRY_SPREAD * self._random.random()
        return Refusal(Cause.LINK_FULL, detail=detail, retry_after_s=round(wait_s, 3))

    def _begin_reading(self, workspace: str, size: int, now: float) -> None:
        until_s = now + min(self._limits.crossing_s(size, now), MAX_READING_S)
        self._reading(workspace, now).append(until_s)

    def _reading(self, workspace: str, now: float) -> deque[float]:
        """Return until when the bodies of a workspace are probably being read."""
        reading = self._reading_until_s.setdefault(workspace, deque())
        while reading and reading[0] <= now:
            reading.popleft()
        return reading
