from __future__ import annotations

from typing import Any

import pytest
from twisted.internet.defer import Deferred
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET
from twisted.web.server import Site

from gentianhitch.http_client import MAX_CALL_S
from gentianhitch.http_client import Answer
from gentianhitch.http_client import Progress
from gentianhitch.http_client import StalledError
from gentianhitch.http_client import call
from gentianhitch.http_client import make_agent
from gentianhitch.http_client import make_pool
from tests.simulated_network import Network
from tests.simulated_network import Reactor

STALL_S = 0.5


class SlowBodyResource(Resource):
    """Send ``count`` bytes, one per interval, then finish or stall."""

    isLeaf = True  # noqa: N815

    def __init__(self, reactor: Reactor, interval_s: float, count: int) -> None:
        super().__init__()
        self._reactor = reactor
        self._interval_s = interval_s
        self._remaining = count
        self.is_stalled = False

    def render_GET(self, request: Any) -> int:  # noqa: N802
        self._reactor.callLater(self._interval_s, self._send, request)
        return NOT_DONE_YET

    def _send(self, request: Any) -> None:
        if self._remaining:
            self._remaining -= 1
            request.write(b"x")
            self._reactor.callLater(self._interval_s, self._send, request)
        elif not self.is_stalled:
            request.finish()


class Scenario:
    """Client and slow server on the simulated network."""

    def __init__(self, interval_s: float, count: int) -> None:
        self.network = Network()
        server = self.network.add_host("10.0.0.2", 1e6)
        self.resource = SlowBodyResource(server, interval_s, count)
        server.listenTCP(80, Site(self.resource, reactor=server))
        self.client = self.network.add_host("10.0.0.1", 1e6)
        self.progress = Progress()

    def call(self, wait_s: float) -> Answer:
        agent = make_agent(self.client, make_pool(self.client, 1), 0.5)
        pending = Deferred.fromCoroutine(
            call(
                self.client,
                STALL_S,
                agent,
                "GET",
                "http://10.0.0.2:80/",
                progress=self.progress,
            )
        )
        results: list[Any] = []
        pending.addBoth(results.append)
        self.network.advance(wait_s)
        assert results, "the call has not finished"
        if not isinstance(results[0], Answer):
            results[0].raiseException()
        return results[0]


class TestCall:
    # Guards against a fixed timeout, which discards large responses on slow links.
    def test_slow_response_is_read_while_it_progresses(self) -> None:
        scenario = Scenario(0.3, 12)
        assert scenario.call(5.0).body == b"x" * 12

    # Guards against calls that wait forever on a connection that stopped sending.
    def test_stalled_body_ends_the_call(self) -> None:
        scenario = Scenario(0.3, 3)
        scenario.resource.is_stalled = True
        with pytest.raises(StalledError, match="3 bytes"):
            scenario.call(0.9 + 2 * STALL_S + 0.1)

    def test_missing_response_ends_the_call(self) -> None:
        with pytest.raises(StalledError, match="0 bytes"):
            Scenario(60.0, 1).call(STALL_S + 0.1)

    # Guards against a server that keeps sending and never ends the response.
    def test_endless_response_ends_the_call(self) -> None:
        with pytest.raises(StalledError):
            Scenario(0.1, 100_000).call(MAX_CALL_S + STALL_S + 0.1)
