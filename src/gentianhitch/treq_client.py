"""treq clients for servers at IP addresses, without a resolver thread."""

from __future__ import annotations

from typing import Any

from treq.client import HTTPClient
from twisted.web.client import HTTPConnectionPool

from gentianhitch.http_client import make_agent


def make_client(
    reactor: Any, pool: HTTPConnectionPool, connect_timeout_s: float
) -> HTTPClient:
    """Create a client over ``pool`` for URLs whose hosts are IP addresses."""
    return HTTPClient(make_agent(reactor, pool, connect_timeout_s))
