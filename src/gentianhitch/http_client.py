"""Make HTTP clients that connect to IP numbers on the loop's own thread."""

from __future__ import annotations

from typing import Any

from treq.client import HTTPClient
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.endpoints import TCP6ClientEndpoint
from twisted.internet.error import ConnectError
from twisted.internet.error import ConnectingCancelledError
from twisted.internet.interfaces import IStreamClientEndpoint
from twisted.web._newclient import RequestNotSent
from twisted.web.client import URI
from twisted.web.client import Agent
from twisted.web.client import HTTPConnectionPool
from twisted.web.iweb import IAgentEndpointFactory
from zope.interface import implementer

# Raised before any byte of the request was written.
NOT_SENT_ERRORS = (ConnectError, ConnectingCancelledError, RequestNotSent)


@implementer(IAgentEndpointFactory)
class _IpEndpointFactory:
    """Connect without a name resolver, which would use a thread pool."""

    def __init__(self, reactor: Any, connect_timeout_s: float) -> None:
        self._reactor = reactor
        self._connect_timeout_s = connect_timeout_s

    def endpointForURI(self, uri: URI) -> IStreamClientEndpoint:  # noqa: N802
        """Return the endpoint of the IP number in ``uri``."""
        host = uri.host.decode("ascii")
        kind = TCP6ClientEndpoint if ":" in host else TCP4ClientEndpoint
        endpoint: IStreamClientEndpoint = kind(
            self._reactor, host, uri.port, self._connect_timeout_s
        )
        return endpoint


def make_pool(reactor: Any, max_connections: int) -> HTTPConnectionPool:
    """Create a connection pool that never repeats a request by itself."""
    pool = HTTPConnectionPool(reactor)  # type: ignore[no-untyped-call]
    # A repeated DELETE would report a conflict with its own first effect.
    pool.retryAutomatically = False
    pool.maxPersistentPerHost = max_connections
    return pool


def make_client(
    reactor: Any, pool: HTTPConnectionPool, connect_timeout_s: float
) -> HTTPClient:
    """Create a client over ``pool`` for URLs whose hosts are IP numbers."""
    factory = _IpEndpointFactory(reactor, connect_timeout_s)
    agent = Agent.usingEndpointFactory(  # type: ignore[no-untyped-call]
        reactor, factory, pool
    )
    return HTTPClient(agent)
