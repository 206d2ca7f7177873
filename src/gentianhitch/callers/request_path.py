"""The request path of an entry instance: serves callers from backend servers."""

from __future__ import annotations

from typing import Any

import attrs
from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IAddress
from twisted.internet.protocol import Factory
from twisted.internet.task import LoopingCall
from twisted.internet.task import deferLater
from twisted.web.pages import notFound
from twisted.web.server import Site

from gentianhitch.arrived import close_port
from gentianhitch.backend_servers.pool import ConnectionPool
from gentianhitch.callers.admission import Admission
from gentianhitch.callers.connection import CallerConnection
from gentianhitch.callers.request_metrics import Count
from gentianhitch.callers.request_metrics import FinishedRequest
from gentianhitch.callers.request_metrics import OnFinished
from gentianhitch.callers.request_metrics import metric_label
from gentianhitch.callers.request_metrics import route_label
from gentianhitch.decisions.idempotency import KeyOwners
from gentianhitch.decisions.idempotency import KeyRecords
from gentianhitch.decisions.idempotency import LocalKeyOwners
from gentianhitch.decisions.interfaces import AgreedStates
from gentianhitch.decisions.interfaces import SlotSource
from gentianhitch.decisions.interfaces import TargetSelector
from gentianhitch.decisions.interfaces import TokenSource
from gentianhitch.decisions.sending import RetryBudget
from gentianhitch.settings import LimitSettings

CHECK_INTERVAL_S = 0.5


def _ignore_count(name: str) -> None:
    """Ignore a counter, if no metrics are configured."""


def _ignore_finished(finished: FinishedRequest) -> None:
    """Ignore a report, if nothing subscribes to finished requests."""


@attrs.define(eq=False)
class PathContext:
    """State and components that the connections and exchanges of one path share."""

    clock: Any
    admission: Admission
    agreement: AgreedStates
    tokens: TokenSource
    selector: TargetSelector
    slots: SlotSource
    pool: ConnectionPool
    limits: LimitSettings
    site: Any
    count: Count
    on_finished: OnFinished
    key_owners: KeyOwners
    key_records: KeyRecords = attrs.Factory(KeyRecords)
    is_leaving: bool = False
    connections: set[CallerConnection] = attrs.Factory(set)
    idle_deferreds: list[Deferred[None]] = attrs.Factory(list)
    _budgets_by_service: dict[str, RetryBudget] = attrs.Factory(dict)

    def seconds(self) -> float:
        """Return the time of the path's clock in seconds."""
        now: float = self.clock.seconds()
        return now

    def budget(self, service: str) -> RetryBudget:
        """Return the retry budget of a service; create it at the first call."""
        budget = self._budgets_by_service.get(service)
        if budget is None:
            budget = self._budgets_by_service[service] = RetryBudget()
        return budget

    def finished(self, finished: FinishedRequest) -> None:
        """Count a finished request and report it to ``on_finished``."""
        if finished.cause is not None:
            self.count(f"refusals.{finished.cause}")
        if finished.route is not None:
            self.count(f"requests.route.{route_label(finished.route)}")
        if finished.workspace is not None:
            self.count(f"requests.workspace.{metric_label(finished.workspace)}")
        self.on_finished(finished)

    def notify_if_idle(self) -> None:
        """Fire the Deferreds of ``when_idle`` if no request is in progress."""
        if not self.idle_deferreds or self.is_busy:
            return
        deferreds, self.idle_deferreds = self.idle_deferreds, []
        for deferred in deferreds:
            deferred.callback(None)

    @property
    def is_busy(self) -> bool:
        """Return whether any request is being read or served."""
        return any(connection.is_busy for connection in self.connections)


def _make_site(reactor: Any, internal: Any) -> Any:
    resource = notFound() if internal is None else internal
    return Site(resource, reactor=reactor)  # type: ignore[no-untyped-call]


LAST_REQUEST_S = 0.2
"""A stop gives new connections so long for their first request."""

LAST_DELIVERY_S = 0.1


class RequestPath(Factory):
    """Protocol factory that serves callers' requests."""

    noisy = False

    def __init__(
        self,
        reactor: Any,
        agreement: AgreedStates,
        tokens: TokenSource,
        selector: TargetSelector,
        slots: SlotSource,
        limits: LimitSettings | None = None,
        *,
        internal: Any = None,
        count: Count = _ignore_count,
        on_finished: OnFinished = _ignore_finished,
        key_owners: KeyOwners | None = None,
        clock: Any = None,
    ) -> None:
        limits = LimitSettings() if limits is None else limits
        clock = reactor if clock is None else clock
        self._reactor = reactor
        self.pool = ConnectionPool(reactor, clock)
        self._context = PathContext(
            clock=clock,
            admission=Admission(agreement, limits),
            agreement=agreement,
            tokens=tokens,
            selector=selector,
            slots=slots,
            pool=self.pool,
            limits=limits,
            site=_make_site(reactor, internal),
            count=count,
            on_finished=on_finished,
            key_owners=LocalKeyOwners() if key_owners is None else key_owners,
        )
        self._check_loop = LoopingCall(self._check_timeouts)
        self._check_loop.clock = clock

    def doStart(self) -> None:  # noqa: N802
        """Start the periodic timeout checks."""
        super().doStart()  # type: ignore[no-untyped-call]
        if not self._check_loop.running:
            self._check_loop.start(CHECK_INTERVAL_S, now=False)

    def buildProtocol(self, addr: IAddress | None) -> CallerConnection:  # noqa: N802
        """Return the protocol for a new connection."""
        return CallerConnection(self._context)

    def begin_leaving(self) -> None:
        """Close connections after their current response, idle ones after 1 s."""
        self._context.is_leaving = True

    async def finish(self, port: Any) -> None:
        """Close the port, serve what has arrived, and give it time to be delivered."""
        close_port(port)
        await deferLater(self._reactor, LAST_REQUEST_S, self._read_arrived)
        await self.when_idle()
        await deferLater(self._reactor, LAST_DELIVERY_S, lambda: None)

    def _read_arrived(self) -> None:
        for connection in tuple(self._context.connections):
            connection.read_arrived()

    def when_idle(self) -> Deferred[None]:
        """Return a Deferred that fires once no request is being read or served."""
        deferred: Deferred[None] = Deferred()
        self._context.idle_deferreds.append(deferred)
        self._context.notify_if_idle()
        return deferred

    def close(self) -> None:
        """Reset every caller's connection and close idle ones to backend servers."""
        if self._check_loop.running:
            self._check_loop.stop()
        for connection in tuple(self._context.connections):
            connection.transport.abortConnection()
        self.pool.close_idle(self._context.seconds(), max_idle_s=0.0)

    def _check_timeouts(self) -> None:
        now = self._context.seconds()
        for connection in tuple(self._context.connections):
            connection.check(now)
        self.pool.close_idle(now)
        self.pool.update_silence_limits(now)
