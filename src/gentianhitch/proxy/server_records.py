"""Records of backend servers: the attempts at them, their load and their evidence."""

from __future__ import annotations

from enum import IntEnum

import attrs

from gentianhitch.proxy.declines import DeclineFilter
from gentianhitch.proxy.gray_filter import GrayFilter
from gentianhitch.proxy.model import BackendServer
from gentianhitch.proxy.warmup import SendWindow
from gentianhitch.proxy.warmup import SharesOfServer

REPORT_LIFETIME_S = 1.0
"""Reports of other instances' running requests expire after this time."""


@attrs.frozen
class RunningRequest:
    """One request at a server that has no response yet.

    ``running_before`` counts the other requests known to run there when it was sent.
    """

    route: str
    started_s: float
    running_before: int = 0


@attrs.frozen
class RemoteRequests:
    """Requests that another instance reported to be running at one server."""

    requests: tuple[RunningRequest, ...]
    received_s: float


@attrs.define
class ServerRecord:
    """The evidence and load of one incarnation of a backend server.

    ``gray_filter`` is fed by the attempts of all instances. ``path_filter`` covers the
    network path from this instance and is fed by its own attempts only. ``affinity`` is
    this instance's preference for the server, 0 to 1; ``turn_s`` is how much later than
    the first of the instances it tries the server when nobody uses it.
    ``last_used_s`` is when any instance last sent it a request. ``declines`` is fed by
    the attempts of all instances. ``cold_until_s`` is
    until when it said to be cold, as of the time at which this instance learned of it;
    ``sends`` are this instance's own, and ``shares`` what it may send while it is cold.
    """

    server: BackendServer
    gray_filter: GrayFilter
    path_filter: GrayFilter
    declines: DeclineFilter = attrs.Factory(DeclineFilter)
    running_by_token: dict[int, RunningRequest] = attrs.Factory(dict)
    remote_by_instance: dict[str, RemoteRequests] = attrs.Factory(dict)
    warm_at_s: float = 0.0
    last_used_s: float = 0.0
    last_failed_s: float = float("-inf")
    is_replaced: bool = False
    affinity: float = 0.0
    turn_s: float = 0.0
    cold_until_s: float = float("-inf")
    sends: SendWindow = attrs.Factory(SendWindow)
    shares: SharesOfServer = attrs.Factory(SharesOfServer)

    def remote_requests(self, now: float) -> list[RunningRequest]:
        """Return the running requests of other instances whose reports are valid."""
        return [
            request
            for remote in self.remote_by_instance.values()
            if now - remote.received_s < REPORT_LIFETIME_S
            for request in remote.requests
        ]

    def count_running(self, now: float) -> int:
        """Return how many requests of all instances are known to be running."""
        return len(self.running_by_token) + sum(
            len(remote.requests)
            for remote in self.remote_by_instance.values()
            if now - remote.received_s < REPORT_LIFETIME_S
        )


class AttemptResult(IntEnum):
    """How an attempt ended.

    ERROR is a complete error response that the server itself sent. DECLINED is evidence
    for :class:`DeclineFilter` only. REJECTED was not executed either, but because of
    the request or its address. Reports don't carry the last two as samples, which older
    versions would take for good responses or not read at all.
    """

    GOOD = 0
    FAILED = 1
    CANCELLED = 2
    DECLINED = 3
    ERROR = 4
    REJECTED = 5


@attrs.frozen
class Observation:
    """The result of one attempt, and the time from its send to its end."""

    server: tuple[str, int]
    route: str
    latency_s: float
    result: AttemptResult


FAILURES = frozenset({AttemptResult.FAILED, AttemptResult.ERROR})
