"""Assemble one entry instance and run its startup and shutdown."""

from __future__ import annotations

import os
import time
from collections import Counter
from collections.abc import Callable
from random import Random
from typing import Any

import attrs
from klein import Klein
from loguru import logger
from twisted.internet.defer import Deferred
from twisted.internet.task import LoopingCall
from twisted.internet.task import deferLater

from gentianhitch.addresses import Address
from gentianhitch.backend_servers.probing import Prober
from gentianhitch.backend_servers.probing import fetch_with
from gentianhitch.callers.directory import MAX_AGE_S
from gentianhitch.callers.directory import PATH as DIRECTORY_PATH
from gentianhitch.callers.directory import Directory
from gentianhitch.callers.late_bound_factory import LateBoundFactory
from gentianhitch.callers.request_metrics import FinishedRequest
from gentianhitch.callers.request_path import RequestPath
from gentianhitch.clock import MonotonicClock
from gentianhitch.decisions.interfaces import AgreedState
from gentianhitch.decisions.limits.driver import LimitsDriver
from gentianhitch.decisions.limits.limiter import LocalLimiter
from gentianhitch.decisions.pins import FleetKeyOwners
from gentianhitch.decisions.targets.driver import TargetsDriver
from gentianhitch.errors import ExitCode
from gentianhitch.errors import UsageError
from gentianhitch.http_client import make_pool
from gentianhitch.instances.fleet import Fleet
from gentianhitch.instances.identity import InstanceId
from gentianhitch.instances.identity import Member
from gentianhitch.instances.zeromq import ZeroMqTransport
from gentianhitch.lifecycle import LifecycleActions
from gentianhitch.lifecycle import create_lifecycle
from gentianhitch.metrics import Metrics
from gentianhitch.operators.answers import InstanceReport
from gentianhitch.operators.document_codec import decode_document
from gentianhitch.operators.resource import OperatorsResource
from gentianhitch.platform.client import HttpPlatform
from gentianhitch.platform.interface import Platform
from gentianhitch.settings import Settings
from gentianhitch.treq_client import make_client

OPERATORS_PATH = "/.gentianhitch/operators/"
DIRECTORY_EXPIRY_MARGIN_S = 1.0
PROBE_CONNECT_TIMEOUT_S = 1.0
PROBE_MAX_CONNECTIONS = 1
KEY_OWNERS_INTERVAL_S = 1.0
SUPERSEDED_CHECK_S = 1.0


class ListenError(UsageError):
    """Listening on an address from the settings failed."""


@attrs.frozen
class Ready:
    """Startup message of an instance, printed as JSON on standard output."""

    instance: str
    incarnation: int
    callers: Address
    peers: Address
    pid: int


class EntryInstance:
    """Own the components of one instance and start and stop them in order."""

    def __init__(
        self, reactor: Any, settings: Settings, platform: Platform | None = None
    ) -> None:
        self._reactor = reactor
        self.platform: Platform = platform or HttpPlatform(
            reactor, settings.platform, settings.instance
        )
        self._settings = settings
        self.clock = MonotonicClock(reactor)
        self.metrics = Metrics(settings.statsd)
        self._random = Random()
        self._id = InstanceId(settings.instance, time.time_ns() // 1_000_000)
        self._loops: list[LoopingCall] = []
        self.exit_code = ExitCode.OK
        self.lifecycle = create_lifecycle(
            LifecycleActions(self._record_state, self._leave, self._exit)
        )
        self.state = "starting"

    def start(self) -> Ready:
        """Open all listeners and start the traffic to peers and the platform.

        Raise ListenError if the address for callers cannot be bound.
        """
        settings = self._settings
        now = self.clock.seconds()
        self.transport = ZeroMqTransport(
            self._reactor,
            self._id,
            settings.environment,
            settings.peers,
            self.metrics.count,
        )
        callers = self._listen()
        self.member = Member(
            self._id, settings.failure_domain, callers, self.transport.address
        )
        self.fleet = Fleet(
            self.member,
            settings.environment,
            self.transport,
            self.platform,
            self.clock,
            decode_document,
            self._random,
            settings.seeds,
        )
        self._build_decisions(now)
        self._build_request_path()
        self._start_components()
        self.lifecycle.started()
        return Ready(
            settings.instance,
            self._id.incarnation,
            callers,
            self.transport.address,
            os.getpid(),
        )

    def _listen(self) -> Address:
        configured = self._settings.callers
        self._caller_factory = LateBoundFactory()
        try:
            self._port = self._reactor.listenTCP(
                configured.port,
                self._caller_factory,
                interface=configured.host,
                backlog=1024,
            )
        except Exception as error:
            raise ListenError(f"cannot listen on {configured}: {error}") from error
        bound = self._port.getHost()
        return Address(bound.host, bound.port)

    def _build_decisions(self, now: float) -> None:
        self.limiter = LocalLimiter(
            self._id, self.member.peers, self.fleet, self.transport, now
        )
        self.limits = LimitsDriver(
            self.limiter, self.transport, self.clock, self.clock.seconds
        )
        self.targets = TargetsDriver(
            self.fleet,
            self._id,
            self.member.failure_domain,
            self.transport,
            self.clock,
            self._random,
        )
        self.prober = Prober(
            fetch_with(
                make_client(
                    self._reactor,
                    make_pool(self._reactor, PROBE_MAX_CONNECTIONS),
                    PROBE_CONNECT_TIMEOUT_S,
                )
            ),
            self.targets.detector.probed_targets,
            self.targets.availability,
            self.clock,
        )
        self.key_owners = FleetKeyOwners(self._id, self.fleet)

    def _build_request_path(self) -> None:
        self.path = RequestPath(
            self._reactor,
            self.fleet,
            self.limits,
            self.targets.pool,
            self.targets.slots,
            self._settings.limits,
            internal=self._internal_resource(),
            count=self.metrics.count,
            on_finished=self._record_finished,
            key_owners=self.key_owners,
            clock=self.clock,
        )
        self._caller_factory.set_factory(self.path)

    def _internal_resource(self) -> Any:
        app = Klein()
        directory = Directory(
            self._newest_agreed_state,
            lambda: self.fleet.live_members(self.clock.seconds()),
            self.metrics.count,
        )
        operators = OperatorsResource(
            self.platform,
            self._settings.environment,
            self._settings.operator_key_hashes,
            lambda: self.fleet.freshness.in_force,
            self._report,
        )

        @app.route(DIRECTORY_PATH)  # type: ignore[untyped-decorator]
        def serve_directory(request: Any) -> Any:
            return directory.serve(request)

        @app.route(OPERATORS_PATH, branch=True)  # type: ignore[untyped-decorator]
        def serve_operators(request: Any) -> Any:
            return operators.resource()

        return app.resource()

    def _report(self) -> InstanceReport:
        now = self.clock.seconds()
        state = self._newest_agreed_state()
        counts = Counter(self.metrics.counts_by_name)
        counts.update(self.fleet.counts_by_name)
        counts.update(self.targets.detector.counts)
        counts.update(self.limiter.counters.by_name())
        return InstanceReport(
            instance=self._id.name,
            incarnation=self._id.incarnation,
            state=self.state,
            fresh=self.fleet.is_fresh(now),
            sequence=state.sequence if state else 0,
            members=tuple(sorted(self.fleet.members)),
            live=tuple(m.id.name for m in self.fleet.live_members(now)),
            counts_by_name=dict(sorted(counts.items())),
            histograms=tuple(self.metrics.summaries()),
        )

    def _newest_agreed_state(self) -> AgreedState | None:
        states = self.fleet.active(self.clock.seconds())
        return states[-1] if states else None

    def _start_components(self) -> None:
        self.fleet.on_change(self._on_fleet_change)
        self.fleet.start()
        self.limits.start()
        self.targets.start()
        self.prober.start()
        self._repeat(
            KEY_OWNERS_INTERVAL_S, lambda: self.key_owners.observe(self.clock.seconds())
        )
        self._repeat(SUPERSEDED_CHECK_S, self._check_superseded)

    def _repeat(self, interval_s: float, call: Callable[[], None]) -> None:
        loop = LoopingCall(call)
        loop.clock = self.clock
        loop.start(interval_s, now=False).addErrback(_log_failure)
        self._loops.append(loop)

    def _check_superseded(self) -> None:
        if self.fleet.is_superseded and self.state == "serving":
            logger.warning(
                "a later incarnation of this instance is running; shutting down"
            )
            self.lifecycle.stop_requested()

    def _on_fleet_change(self) -> None:
        self.key_owners.observe(self.clock.seconds())

    def _record_finished(self, finished: FinishedRequest) -> None:
        measure = f"refused {finished.cause}" if finished.cause else "total"
        self.metrics.time(measure, finished.workspace, finished.duration_s)

    def _record_state(self, state: str) -> None:
        if not state.startswith("still"):
            self.state = state
        self.metrics.count(f"state.{self.state}")
        logger.info("state: {}", state)

    def _leave(self) -> None:
        draining = Deferred.fromCoroutine(self._drain())
        draining.addErrback(_log_failure)
        draining.addBoth(lambda _: self.lifecycle.drained())

    async def _drain(self) -> None:
        """Withdraw from the directory, finish open requests, transfer limits, close.

        Callers cache directory responses for MAX_AGE_S, so requests continue to
        arrive for that long after the withdrawal.
        """
        self.fleet.begin_leaving()
        await deferLater(
            self._reactor, MAX_AGE_S + DIRECTORY_EXPIRY_MARGIN_S, lambda: None
        )
        self.path.begin_leaving()
        await self.path.when_idle()
        await self.limits.begin_leaving()
        await self.path.finish(self._port)

    def _exit(self) -> None:
        self.close()
        self._reactor.callLater(0, self._reactor.stop)

    def close(self) -> None:
        """Close all listeners and connections and stop all timers."""
        for loop in self._loops:
            loop.stop()
        self._loops.clear()
        if hasattr(self, "path"):
            self.path.close()
            self.prober.stop()
            self.targets.stop()
            self.limits.stop()
            self.fleet.stop()
            self.transport.close()
            self._port.stopListening()


def _log_failure(failure: Any) -> None:
    logger.error("{}: {}", failure.type.__name__, failure.getErrorMessage())
