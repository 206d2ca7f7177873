"""Tell servers that can't be reached from an own link that is full or cut.

While the own link is suspected, requests use open connections only. Those that find
none are refused at once, and one connect at a time without a request probes the link.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import attrs

from gentianhitch.backend_servers.complete_responses import CompleteResponse
from gentianhitch.backend_servers.errors import BackendServerError
from gentianhitch.backend_servers.errors import ConnectError
from gentianhitch.backend_servers.errors import NotOpenedError
from gentianhitch.backend_servers.server_connections import ServerConnection
from gentianhitch.backend_servers.server_connections import ServerConnections
from gentianhitch.proxy.balancing import Balancer
from gentianhitch.proxy.model import BackendServer
from gentianhitch.proxy.own_link import PROBE_INTERVAL_S
from gentianhitch.proxy.own_link import ROUND_TRIP_S
from gentianhitch.proxy.own_link import LinkBelief
from gentianhitch.proxy.own_link import OwnLink

OnBelief = Callable[[LinkBelief], None]


def _ignore(belief: LinkBelief) -> None:
    pass


@attrs.define(eq=False)
class ServerReach:
    """Record which servers answer, and restrict the choice while few do.

    ``on_belief`` is called when the own link becomes suspected or trusted.
    """

    _clock: Any
    _balancer: Balancer
    _connections: ServerConnections
    on_belief: OnBelief = _ignore
    link: OwnLink = attrs.Factory(OwnLink)
    _was_suspected: bool = False

    def is_suspected(self) -> bool:
        """Return whether the own link is probably full or cut."""
        is_suspected = self.link.is_suspected(self._clock.seconds())
        self._report_belief()
        return is_suspected

    def record_connect(self, server: BackendServer) -> None:
        """Record that a connect was answered in time."""
        self._record_answer(server, is_connect=True)

    def record_response(self, server: BackendServer, delay_s: float) -> None:
        """Record a response that came ``delay_s`` later than usual."""
        if delay_s <= ROUND_TRIP_S:
            self._record_answer(server, is_connect=False)

    def _record_answer(self, server: BackendServer, *, is_connect: bool) -> None:
        now = self._clock.seconds()
        self.link.record_answer(
            server.id, server.failure_domain, now, is_connect=is_connect
        )
        self._report_belief()

    def record_failure(self, server: BackendServer, error: ConnectError) -> None:
        """Record a failed connect, evidence about the path if the own link is sound.

        Other instances may still reach the server.
        """
        now = self._clock.seconds()
        if isinstance(error, NotOpenedError):
            return
        if error.is_refusal:
            self.record_connect(server)
            self._balancer.record_unreachable(server, now)
            return
        self.link.failure_domains = len(self._balancer.failure_domains)
        self.link.record_timeout(server.id, server.failure_domain, now)
        if not self.link.is_suspected(now):
            self._balancer.record_unreachable(server, now)
        self._report_belief()

    def excluded(
        self, service: str, connected: frozenset[str], avoided: frozenset[str]
    ) -> frozenset[str]:
        """Return the ids of the servers of ``service`` that are not tried now.

        ``connected`` names those to which an open connection is idle, ``avoided`` the
        failure domains in which no other server is tried for the request.
        """
        if self.is_suspected():
            servers = self._balancer.servers_of(service)
            return frozenset(server.id for server in servers) - connected
        silent = avoided | self.link.silent_domains(self._clock.seconds())
        if not silent:
            return frozenset()
        return frozenset(
            server.id
            for server in self._balancer.servers_of(service)
            if server.failure_domain in silent and server.id not in connected
        )

    def probe(self, server: BackendServer | None) -> None:
        """Open a connection to ``server`` without a request, if a probe is due."""
        if server is not None and self.link.try_probe(self._clock.seconds()):
            probe = _Probe(self, self._connections, server)
            self._connections.open(server.key, server.address, probe)

    def probe_again(self, server: BackendServer) -> None:
        """Probe the link once more soon, if it is still suspected."""
        if self.is_suspected():
            self._clock.callLater(PROBE_INTERVAL_S, self._probe_if_suspected, server)

    def _probe_if_suspected(self, server: BackendServer) -> None:
        if self.is_suspected():
            self.probe(server)

    def _report_belief(self) -> None:
        belief = self.link.belief(self._clock.seconds())
        if belief.is_suspected != self._was_suspected:
            self._was_suspected = belief.is_suspected
            if belief.is_suspected:
                # The first of these connects were taken for evidence.
                servers = self.link.timed_out_servers(self._clock.seconds())
                self._balancer.forget_paths(servers, self._clock.seconds())
            self.on_belief(belief)


@attrs.define(eq=False)
class _Probe:
    """Waits for a connection that is opened without a request."""

    _reach: ServerReach
    _connections: ServerConnections
    _server: BackendServer

    def connected(self, connection: ServerConnection) -> None:
        """Keep the connection for requests."""
        self._connections.put_idle(self._server.key, connection)
        self._reach.record_connect(self._server)
        self._reach.probe_again(self._server)

    def connect_failed(self, error: ConnectError) -> None:
        """Record the failure."""
        self._reach.record_failure(self._server, error)

    def response_received(self, response: CompleteResponse) -> None:
        """Do nothing: no request was sent."""

    def response_failed(self, error: BackendServerError) -> None:
        """Do nothing: no request was sent."""
