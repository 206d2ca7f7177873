from __future__ import annotations

from random import Random
from typing import Any

import pytest
import treq
from treq.client import HTTPClient
from twisted.internet import reactor
from twisted.internet.defer import Deferred
from twisted.web.client import ResponseFailed
from twisted.web.client import ResponseNeverReceived

from gentianhitch.http_client import make_pool
from gentianhitch.treq_client import make_client
from standins import serving
from standins.backend_server import BackendServer
from standins.backend_server import ServerFactory
from standins.backend_server_faults import Faults
from tests.running import run_on_reactor

SILENCE_S = 0.2


class Served:
    """One stand-in backend server and a client of it."""

    def __init__(self, **options: Any) -> None:
        self.server = BackendServer("b-1", 6, 330, 1.0, 0.0, Random(1))
        for name, value in options.items():
            setattr(self.server, name, value)
        factory = ServerFactory(self.server)
        port = reactor.listenTCP(0, factory, interface=serving.LOOPBACK)
        self.url = f"http://{serving.LOOPBACK}:{port.getHost().port}"
        self.http: HTTPClient = make_client(reactor, make_pool(reactor, 8), 1.0)

    async def get(self, path: str, **headers: str) -> tuple[int, bytes]:
        named = {name.replace("_", "-"): value for name, value in headers.items()}
        response = await self.http.get(self.url + path, headers=named)
        return response.code, await treq.content(response)

    @property
    def states(self) -> list[str]:
        return [ran.state for ran in self.server.record]


async def silent(served: Served) -> bool:
    asked = Deferred.fromCoroutine(served.get("/stock"))
    asked.addTimeout(SILENCE_S, reactor)
    try:
        await asked
    except ResponseNeverReceived:
        return True
    return False


class TestBackendServer:
    def test_records_what_ran(self) -> None:
        async def scenario() -> None:
            served = Served()
            status, body = await served.get("/stock?bytes=200000", X_Request_Id="r1")
            assert (status, len(body)) == (200, 200_000)
            (ran,) = served.server.record
            assert (ran.request_id, ran.state) == ("r1", "answered")
            assert ran.headers["x-request-id"] == "r1"

        run_on_reactor(scenario())

    def test_full_slots_and_past_deadlines_are_shed_without_running(self) -> None:
        async def scenario() -> None:
            assert (await Served(slots=0).get("/stock"))[0] == 503
            served = Served()
            assert (await served.get("/stock", Gentianhitch_Deadline_Ms="0"))[0] == 503
            assert served.states == []

        run_on_reactor(scenario())

    def test_work_stops_at_the_deadline_and_when_the_caller_leaves(self) -> None:
        async def scenario() -> None:
            served = Served(service_ms=60_000.0)
            status, _ = await served.get("/stock", Gentianhitch_Deadline_Ms="50")
            assert status == 504
            assert await silent(served)
            await served.get("/load")
            assert served.states == ["expired", "cancelled"]
            assert served.server.running == 0

        run_on_reactor(scenario())

    def test_cut_answer_breaks(self) -> None:
        async def scenario() -> None:
            with pytest.raises(ResponseFailed):
                await Served(faults=Faults(cut_share=1.0)).get("/stock")

        run_on_reactor(scenario())

    def test_cut_off_connections_are_silent_and_new_ones_work(self) -> None:
        async def scenario() -> None:
            served = Served()
            await served.get("/stock")
            for channel in served.server.channels:
                channel.cut_off = True
            assert await silent(served)
            assert (await served.get("/stock"))[0] == 200
            assert served.states == ["answered", "answered"]

        run_on_reactor(scenario())
