"""Check whether a request may be served, before anything is sent."""

from __future__ import annotations

import attrs

from gentianhitch.callers.refusals import Cause
from gentianhitch.callers.refusals import Refusal
from gentianhitch.callers.requests import RequestHead
from gentianhitch.decisions.interfaces import AgreedStates
from gentianhitch.decisions.routing import MatchedRoute
from gentianhitch.decisions.routing import Routing
from gentianhitch.settings import LimitSettings


@attrs.frozen
class AdmittedRequest:
    """A request that may run: for whom, on which route and until when."""

    matched: MatchedRoute
    workspace: str | None
    deadline: float


@attrs.define
class Admission:
    """Check requests against what the fleet has agreed on."""

    _agreement: AgreedStates
    _limits: LimitSettings
    _routing: Routing = attrs.Factory(Routing)

    def check(self, head: RequestHead, now: float) -> AdmittedRequest | Refusal:
        """Return for whom the request may run, or why it may not."""
        if not self._agreement.is_fresh(now):
            return Refusal(Cause.NOT_FRESH)
        self._routing.update(self._agreement.active(now))
        matched = self._routing.match(head.method, head.path)
        if matched is None:
            return Refusal(Cause.UNKNOWN_ROUTE)
        workspace = None
        if not matched.open:
            workspace = self._workspace(head)
            if workspace is None:
                return Refusal(Cause.UNAUTHORISED)
        if head.content_length > self._limits.max_body_bytes:
            return Refusal(Cause.LARGE_BODY)
        allowed_ms = matched.service.deadline_ms
        if head.deadline_ms is not None:
            if head.deadline_ms <= 0:
                return Refusal(Cause.DEADLINE, detail="the deadline is already past")
            allowed_ms = min(allowed_ms, head.deadline_ms)
        return AdmittedRequest(matched, workspace, now + allowed_ms / 1000)

    def _workspace(self, head: RequestHead) -> str | None:
        return None if not head.key else self._routing.authorise(head.key)
