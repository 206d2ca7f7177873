"""One entry instance on the users' platform: creates and connects its parts."""

from __future__ import annotations

import secrets
from pathlib import Path
from random import Random
from typing import Any

import attrs
from twisted.internet.defer import Deferred

from gentianhitch.addresses import Address
from gentianhitch.arrived import close_port
from gentianhitch.backend_servers.server_connections import ServerConnections
from gentianhitch.buffers import BUFFER_SHARE
from gentianhitch.buffers import MEGABYTE
from gentianhitch.buffers import BufferAccount
from gentianhitch.callers.caller_factory import CallerFactory
from gentianhitch.callers.complete_requests import CallerRequest
from gentianhitch.callers.pipelined_connection import PendingResponse
from gentianhitch.callers.served_exchange import Exchange
from gentianhitch.event_loop import lag_of
from gentianhitch.http_client import make_agent
from gentianhitch.http_client import make_pool
from gentianhitch.instances.datagrams import Datagrams
from gentianhitch.instances.datagrams import FreshnessQuery
from gentianhitch.instances.datagrams import FreshnessReply
from gentianhitch.instances.datagrams import LoadReport
from gentianhitch.instances.datagrams import Message
from gentianhitch.lifecycle import LifecycleActions
from gentianhitch.lifecycle import create_lifecycle
from gentianhitch.metrics import Metrics
from gentianhitch.platform.caller_interface import HEADER_NAMES
from gentianhitch.platform.caller_interface import directory_resource
from gentianhitch.platform.caller_interface import readiness_resource
from gentianhitch.platform.node_settings import NodeSettings
from gentianhitch.platform.store import KeyValueStore
from gentianhitch.platform.store_reader import StoreReader
from gentianhitch.proxy.admission_queue import AdmissionQueue
from gentianhitch.proxy.agreed_bounds import create_budget
from gentianhitch.proxy.agreed_bounds import propagation_bound_s
from gentianhitch.proxy.agreed_bounds import quota_tolerance
from gentianhitch.proxy.balancing import Balancer
from gentianhitch.proxy.changes import ChangeHandler
from gentianhitch.proxy.competition import Competition
from gentianhitch.proxy.configuration_server import ConfigurationServer
from gentianhitch.proxy.directory import Directory
from gentianhitch.proxy.directory import DirectoryResponse
from gentianhitch.proxy.dispatch_context import DispatchContext
from gentianhitch.proxy.events import Events
from gentianhitch.proxy.instance_monitor import InstanceMonitor
from gentianhitch.proxy.internal_resources import configuration_resource
from gentianhitch.proxy.internal_resources import metrics_resource
from gentianhitch.proxy.listeners import Listeners
from gentianhitch.proxy.listeners import bound_address
from gentianhitch.proxy.model import CallerLimits
from gentianhitch.proxy.model import Peer
from gentianhitch.proxy.origin import STORE
from gentianhitch.proxy.own_limits import OwnLimits
from gentianhitch.proxy.own_state import OwnState
from gentianhitch.proxy.quotas import Quotas
from gentianhitch.proxy.refresh import Refresher
from gentianhitch.proxy.registration import Registration
from gentianhitch.proxy.reports import Reports
from gentianhitch.proxy.request_server import RequestServer
from gentianhitch.proxy.server_reach import ServerReach
from gentianhitch.proxy.serving_fleet import ServingFleet
from gentianhitch.proxy.settings_file import SettingsFile
from gentianhitch.proxy.shutdown import drain
from gentianhitch.proxy.sources import RefreshPlan
from gentianhitch.proxy.sources import refresh_interval
from gentianhitch.proxy.store_view import StoreView
from gentianhitch.proxy.traffic_split import TrafficSplits
from gentianhitch.repeating import Repeating

INCARNATION_BITS = 48
PEER_CONNECTIONS = 1
PEER_CONNECT_TIMEOUT_S = 0.5
HOUSEKEEPING_INTERVAL_S = 0.5


class ProxyInstance:
    """Creates all parts of one instance and starts and stops them in order."""

    def __init__(
        self,
        reactor: Any,
        settings: NodeSettings,
        settings_path: Path,
        events: Events,
    ) -> None:
        self._reactor = reactor
        self._settings = settings
        self._settings_file = SettingsFile(settings_path, events, self._apply_settings)
        self._events = events
        self._random = Random(settings.name)
        self.metrics = Metrics()
        self._monitor = InstanceMonitor(
            self.metrics, events, lag_of(reactor), self._gauges
        )
        self.store_view = StoreView(settings.heartbeat_s)
        self._competition = Competition(settings.expects_pressure)
        self._incarnation = secrets.randbits(INCARNATION_BITS)
        self._callers_port: Any = None
        self._last_reply_s = float("-inf")
        self._stop_requested_s = float("inf")
        self.state = "starting"
        self.lifecycle = create_lifecycle(
            LifecycleActions(self._record_state, self._leave, self._exit)
        )
        self._build_parts()

    def _build_parts(self) -> None:
        settings, clock, events = self._settings, self._reactor, self._events
        self._datagrams = Datagrams(self._receive, self.metrics.count)
        self._store = KeyValueStore(
            self._reactor, settings.store, lambda era: self._observe_era(era, STORE)
        )
        self._balancer = Balancer(
            settings.name,
            settings.failure_domain,
            self._random,
            settings.bounds.floor_share,
            self._competition,
        )
        self._quotas = Quotas(
            settings.name,
            quota_tolerance(settings.bounds),
            settings.bounds.revocation_s,
        )
        self._buffers = BufferAccount(
            BUFFER_SHARE * settings.memory_mb * MEGABYTE, self.metrics.count
        )
        self._connections = ServerConnections(
            self._reactor, clock, HEADER_NAMES.request_id, self._buffers
        )
        self._reach = ServerReach(
            clock, self._balancer, self._connections, self._monitor.record_belief
        )
        self._own = OwnState(
            settings.name,
            clock,
            self._reach,
            events,
            OwnLimits(settings.link_mbps, settings.expects_pressure),
        )
        self._fleet = ServingFleet(
            settings.name, self.store_view, clock.seconds, self._own.full_instances
        )
        splits = TrafficSplits()
        self._changes = ChangeHandler(
            clock,
            self.store_view,
            self._fleet,
            self._balancer,
            self._connections,
            self._quotas,
            splits,
            events,
            self.metrics,
            self._competition,
        )
        self._changes.set_warmup_bounds(settings.bounds.warmup)
        self._configuration_server = ConfigurationServer(
            clock,
            settings.link_mbps,
            lambda: self.store_view.configuration_age_s(clock.seconds()),
            self.metrics.count,
        )
        self._refresher = Refresher(
            clock,
            StoreReader(self._store),
            self._datagrams,
            self.store_view,
            RefreshPlan(
                settings.name,
                settings.failure_domain,
                settings.link_mbps,
                refresh_interval(propagation_bound_s(settings.bounds)),
            ),
            self._configuration_server,
            make_agent(
                self._reactor,
                make_pool(self._reactor, PEER_CONNECTIONS),
                PEER_CONNECT_TIMEOUT_S,
            ),
            events,
            self._changes.listing_changed,
            self._changes.configuration_changed,
            self._own.full_instances,
            self._observe_era,
        )
        self._registration = Registration(
            clock, self._store, events, self._fleet.is_near_serving
        )
        self._reports = Reports(
            clock,
            settings.name,
            settings.failure_domain,
            self._incarnation,
            self._datagrams,
            self._balancer,
            self._quotas,
            lambda: self._fleet.report_receivers(self._reports.busy_senders()),
            events.failure,
            lambda server, sender: events.state(
                "server_leaving", server=server, source=sender
            ),
            self._own.fullness,
            self._own.full_instances,
        )
        self._directory = Directory(
            self.store_view, self._fleet, self._has_recent_reply
        )
        self._server = RequestServer(
            clock,
            self.store_view,
            self._quotas,
            AdmissionQueue(clock, self._quotas),
            DispatchContext(
                clock,
                self._balancer,
                self._connections,
                HEADER_NAMES,
                lambda: create_budget(self._settings.bounds),
                lambda: self._fleet.slack_share(self._quotas.sharers),
                self._competition.has_unlike_priorities,
                self._reach,
                self._own.limits,
            ),
            splits,
            events,
            settings.bounds.revocation_s,
            self._monitor.record_finished,
            self._random,
        )
        self._callers = CallerFactory(
            clock,
            HEADER_NAMES,
            self._caller_limits,
            self._serve,
            self._buffers,
            self._monitor.record_end,
            events.failure,
        )
        self._connections.own_queue_s = self._own.queue_s
        self._callers.check_body = self._server.bodies.check
        self._housekeeping = Repeating(
            clock, HOUSEKEEPING_INTERVAL_S, self._run_housekeeping, events.failure
        )

    def start(self) -> None:
        """Open all listeners, start refreshing the store view and register."""
        settings, listeners = self._settings, Listeners(self._reactor)
        self._callers_port = listeners.listen(settings.callers, self._callers)
        readiness = listeners.serve_http(
            settings.readiness, readiness_resource(self.is_ready)
        )
        directory = listeners.serve_http(
            settings.directory, directory_resource(self._resolve)
        )
        configurations = listeners.serve_http(
            settings.internal,
            configuration_resource(self._configuration_server.respond),
        )
        metrics = listeners.serve_http(
            settings.metrics, metrics_resource(self._monitor.render)
        )
        datagrams = listeners.receive_datagrams(settings.internal, self._datagrams)
        callers = bound_address(self._callers_port)
        self._events.state(
            "listening",
            callers=callers,
            readiness=readiness,
            directory=directory,
            metrics=metrics,
        )
        self._refresher.start()
        self._registration.start(
            Peer(
                settings.name,
                self._incarnation,
                settings.failure_domain,
                callers,
                configurations,
                datagrams,
                settings.capacity,
                settings.link_mbps,
            )
        )
        self._reports.start()
        self._housekeeping.start(now=False)
        self.lifecycle.started()

    # Queries from outside.

    def is_ready(self) -> bool:
        """Return whether the instance serves callers."""
        return self.state == "serving" and self.store_view.configuration is not None

    def _resolve(self, failure_domain: str) -> DirectoryResponse | None:
        return self._directory.resolve(failure_domain, self._reactor.seconds())

    def _gauges(self) -> dict[str, float]:
        now = self._reactor.seconds()
        return {
            "store_calls": self._store.calls,
            "store_era": self.store_view.era or 0,
            "server_connections_opened": self._connections.opened,
            "configuration_age_seconds": self.store_view.configuration_age_s(now),
            "listing_age_seconds": self.store_view.listing_age_s(now),
            "servers_known_to_leave": self._balancer.notices.count_leaving(),
            "servers_asking_to_wait": self._balancer.notices.count_waiting(now),
            "evacuated_domains": len(self.store_view.evacuated_domains),
            "servers_cold": self._balancer.count_cold(now),
            "servers_evacuated": self._balancer.count_evacuated(),
            "services_spilling": len(self._balancer.spilling_services()),
            **self._changes.gauges(),
            "buffered_bytes": self._buffers.used_bytes,
            **self._own.gauges(),
        }

    def _receive(self, message: Message, sender: Address) -> None:
        if isinstance(message, FreshnessQuery):
            self._reply(message, sender)
        elif isinstance(message, FreshnessReply):
            self._last_reply_s = self._reactor.seconds()
            self._refresher.handle_reply(message)
        elif isinstance(message, LoadReport):
            self._reports.receive(message)

    def _reply(self, ask: FreshnessQuery, to: Address) -> None:
        reply = self._refresher.build_reply(ask)
        if reply is not None:
            self._datagrams.send(reply, to)

    # Callbacks of the parts.

    def _serve(self, request: CallerRequest, response: PendingResponse) -> Exchange:
        return self._server.serve(request, response)

    def _caller_limits(self) -> CallerLimits:
        configuration = self.store_view.configuration
        return CallerLimits() if configuration is None else configuration.limits

    def _has_recent_reply(self, now: float) -> bool:
        return now - self._last_reply_s < HOUSEKEEPING_INTERVAL_S * 4

    def _observe_era(self, era: int, source: str) -> None:
        """Take an era that the store or another instance named."""
        previous = self.store_view.era
        if self.store_view.observe_era(era, self._reactor.seconds()):
            self.metrics.count("store_returns")
            configuration = self.store_view.configuration
            self._events.state(
                "store_returned",
                era=era,
                previous_era=previous,
                source=source,
                version=None if configuration is None else configuration.version,
            )
            self._registration.register_again(era)

    def _run_housekeeping(self) -> None:
        now = self._reactor.seconds()
        self._connections.close_idle(now)
        self._connections.update_silence_limits(now)
        self._changes.update(now)
        self._changes.log_service_use(now)
        self._changes.log_spill()
        self._changes.log_declining_servers(now)
        self._settings_file.reload_if_changed()
        self._own.update(self._monitor.record_lag(), self.store_view.peers_by_name)

    def reload(self) -> None:
        """Read the settings file again; addresses stay as they are."""
        self._settings_file.reload()

    def _apply_settings(self, settings: NodeSettings) -> None:
        self._settings = attrs.evolve(self._settings, bounds=settings.bounds)
        self._competition.expects_pressure = settings.expects_pressure
        self._own.limits.expects_pressure = settings.expects_pressure
        self._server.revocation_s = settings.bounds.revocation_s
        self._quotas.tolerance = quota_tolerance(settings.bounds)
        self._balancer.floor_share = settings.bounds.floor_share
        self._changes.set_warmup_bounds(settings.bounds.warmup)

    # Shutdown.

    def stop(self, requested_s: float) -> None:
        """Start the graceful shutdown that was requested at ``requested_s``."""
        self._stop_requested_s = min(self._stop_requested_s, requested_s)
        self.lifecycle.stop_requested()

    def _record_state(self, state: str) -> None:
        if not state.startswith("still"):
            self.state = state
        self._events.state("lifecycle", state=state)

    def _leave(self) -> None:
        leaving = Deferred.fromCoroutine(
            drain(
                self._reactor,
                self._callers,
                lambda: close_port(self._callers_port),
                self._registration,
                self._refuse_after,
                self._events.failure,
                began_s=self._stop_requested_s,
                grace_s=self._settings.bounds.shutdown_grace_s,
            )
        )
        leaving.addErrback(self._events.failure)
        leaving.addBoth(lambda _: self.lifecycle.drained())

    def _refuse_after(self, at_s: float) -> None:
        self._server.refuses_after_s = at_s

    def _exit(self) -> None:
        self._callers.is_exiting = True
        for part in (self._refresher, self._registration, self._reports):
            part.stop()
        self._reactor.callLater(0, self._reactor.stop)
