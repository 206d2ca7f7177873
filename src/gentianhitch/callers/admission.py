"""Check whether a request may be served, before anything is sent."""

from __future__ import annotations

import attrs

from gentianhitch.callers.refusals import Cause
from gentianhitch.callers.refusals import Refusal
from gentianhitch.callers.requests import RequestHead
from gentianhitch.decisions.interfaces import AgreedStates
from gentianhitch.decisions.routing import MatchedRoute
from gentianhitch.decisions.routing import RoutingTable
from gentianhitch.settings import LimitSettings


@attrs.frozen
class AdmittedRequest:
    """A request that passed admission, with its route, workspace and deadline.

    ``workspace`` is None on open routes. ``deadline`` is a time of the local clock.
    """

    matched: MatchedRoute
    workspace: str | None
    deadline: float


@attrs.define
class Admission:
    """Checks requests against the document and keys that the fleet has agreed on."""

    _agreement: AgreedStates
    _limits: LimitSettings
    _routing: RoutingTable = attrs.Factory(RoutingTable)

    def check(self, head: RequestHead, now: float) -> AdmittedRequest | Refusal:
        """Check freshness, route, API key, body size and deadline, in this order."""
        if not self._agreement.is_fresh(now):
            return Refusal(Cause.NOT_FRESH)
        self._routing.update(self._agreement.active(now))
        matched = self._routing.match(head.method, head.path)
        if matched is None:
            return Refusal(Cause.UNKNOWN_ROUTE)
        workspace = None
        if not matched.open:
            workspace = self._authenticate(head)
            if workspace is None:
                return Refusal(Cause.UNAUTHORISED)
        if head.content_length > self._limits.max_body_bytes:
            return Refusal(Cause.LARGE_BODY)
        timeout_ms = matched.service.deadline_ms
        if head.deadline_ms is not None:
            if head.deadline_ms <= 0:
                return Refusal(Cause.DEADLINE, detail="the deadline is already past")
            timeout_ms = min(timeout_ms, head.deadline_ms)
        return AdmittedRequest(matched, workspace, now + timeout_ms / 1000)

    def _authenticate(self, head: RequestHead) -> str | None:
        return None if not head.api_key else self._routing.authorise(head.api_key)
