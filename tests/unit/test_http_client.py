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


class Trickle(Resource):
    """Send ``count`` bytes, one at an interval, and then finish or fall silent."""

    isLeaf = True  # noqa: N815

    def __init__(self, reactor: Reactor, interval_s: float, count: int) -> None:
        super().__init__()
        self._reactor = reactor
        self._interval_s = interval_s
        self._left = count
        self.is_silent = False

    def render_GET(self, request: Any) -> int:  # noqa: N802
        self._reactor.callLater(self._interval_s, self._send, request)
        return NOT_DONE_YET

    def _send(self, request: Any) -> None:
        if self._left:
            self._left -= 1
            request.write(b"x")
            self._reactor.callLater(self._interval_s, self._send, request)
        elif not self.is_silent:
            request.finish()


class Scenario:
    """A client and a slow server on the simulated network."""

    def __init__(self, interval_s: float, count: int) -> None:
        self.network = Network()
        server = self.network.add_host("10.0.0.2", 1e6)
        self.resource = Trickle(server, interval_s, count)
        server.listenTCP(80, Site(self.resource, reactor=server))
        self.client = self.network.add_host("10.0.0.1", 1e6)
        self.progress = Progress()

    def call(self, wait_s: float) -> Answer:
        agent = make_agent(self.client, make_pool(self.client, 1), 0.5)
        calling = Deferred.fromCoroutine(
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
        calling.addBoth(results.append)
        self.network.advance(wait_s)
        assert results, "the call still waits"
        if not isinstance(results[0], Answer):
            results[0].raiseException()
        return results[0]


class TestCall:
    # Guards against large answers on slow links that are thrown away at a fixed time.
    def test_a_long_answer_is_read_while_bytes_come(self) -> None:
        scenario = Scenario(0.3, 12)
        assert scenario.call(5.0).body == b"x" * 12

    # Guards against connections that go silent for good.
    def test_silence_ends_the_call(self) -> None:
        scenario = Scenario(0.3, 3)
        scenario.resource.is_silent = True
        with pytest.raises(StalledError, match="3 bytes"):
            scenario.call(0.9 + 2 * STALL_S + 0.1)

    def test_no_answer_at_all_ends_the_call(self) -> None:
        with pytest.raises(StalledError, match="0 bytes"):
            Scenario(60.0, 1).call(STALL_S + 0.1)

    # Guards against an answer that comes without end.
    def test_an_endless_answer_ends_the_call(self) -> None:
        with pytest.raises(StalledError):
            Scenario(0.1, 100_000).call(MAX_CALL_S + STALL_S + 0.1)
