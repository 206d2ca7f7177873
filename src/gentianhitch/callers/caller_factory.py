"""Accept callers' connections and check their timeouts."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet.interfaces import IAddress
from twisted.internet.protocol import Factory
from twisted.python.failure import Failure

from gentianhitch.buffers import BufferAccount
from gentianhitch.callers.complete_requests import BodyCheck
from gentianhitch.callers.complete_requests import HeaderNames
from gentianhitch.callers.complete_requests import accept_body
from gentianhitch.callers.connection_ends import EndedConnection
from gentianhitch.callers.connection_ends import EndReason
from gentianhitch.callers.pipelined_connection import PipelinedConnection
from gentianhitch.callers.pipelined_connection import Serve
from gentianhitch.proxy.model import CallerLimits
from gentianhitch.repeating import Repeating

CHECK_INTERVAL_S = 0.5


class CallerFactory(Factory):
    """Accepts callers' connections and checks their timeouts.

    ``on_end`` is called with each connection that has ended, and ``on_idle`` once, when
    no request is being read or served and all responses have been delivered.
    ``is_exiting`` tells that connections end since the process does.
    """

    noisy = False

    def __init__(
        self,
        clock: Any,
        names: HeaderNames,
        limits: Callable[[], CallerLimits],
        serve: Serve,
        buffers: BufferAccount,
        on_end: Callable[[EndedConnection], None],
        on_error: Callable[[Failure], None],
    ) -> None:
        self._clock = clock
        self.buffers = buffers
        self.names = names
        self.limits = limits
        self.serve = serve
        self.check_body: BodyCheck = accept_body
        self.on_end = on_end
        self._on_error = on_error
        self.connections: set[PipelinedConnection] = set()
        self.is_leaving = False
        self.is_exiting = False
        self._closes_idle = False
        self.on_idle: Callable[[], None] | None = None
        self._checks = Repeating(
            clock, CHECK_INTERVAL_S, self._check_timeouts, on_error
        )

    def seconds(self) -> float:
        """Return the time of the clock in seconds."""
        now: float = self._clock.seconds()
        return now

    def doStart(self) -> None:  # noqa: N802
        """Start the periodic timeout checks."""
        super().doStart()  # type: ignore[no-untyped-call]
        self._checks.start(now=False)

    def buildProtocol(self, addr: IAddress | None) -> PipelinedConnection:  # noqa: N802
        """Return the protocol for a new connection."""
        return PipelinedConnection(self)

    @property
    def is_busy(self) -> bool:
        """Return whether any connection is busy."""
        return any(connection.is_busy for connection in self.connections)

    @property
    def is_serving(self) -> bool:
        """Return whether a request is being read or served on any connection."""
        return any(connection.is_serving for connection in self.connections)

    def close_idle(self) -> None:
        """Close connections without a request, now and whenever they become idle.

        New ones have some time for their first request.
        """
        self._closes_idle = True
        self._for_each(PipelinedConnection.close_if_idle)

    def notify_if_idle(self) -> None:
        """Call ``on_idle`` if no connection is busy."""
        if self.on_idle is not None and not self.is_busy:
            self.stop_waiting()

    def respond_now(self) -> None:
        """End all requests now: their responses say whether they may have run."""
        self._for_each(PipelinedConnection.respond_now)

    def stop_waiting(self) -> None:
        """Call ``on_idle`` although connections are busy."""
        on_idle, self.on_idle = self.on_idle, None
        if on_idle is not None:
            on_idle()

    def close(self) -> None:
        """Close every connection at once."""
        self._checks.stop()
        for connection in tuple(self.connections):
            connection.reset(EndReason.EXIT)

    def _check_timeouts(self) -> None:
        now = self.seconds()
        self._for_each(lambda connection: connection.check(now))
        if self._closes_idle:
            self._for_each(PipelinedConnection.close_if_idle)
        self.notify_if_idle()

    def _for_each(self, step: Callable[[PipelinedConnection], None]) -> None:
        """Run a step for each connection; reset those in which it fails."""
        for connection in tuple(self.connections):
            try:
                step(connection)
            except Exception:
                self._on_error(Failure())
                connection.reset(EndReason.ERROR)
