"""Requests over real sockets on the loopback network."""

from __future__ import annotations

import attrs
from klein import Klein
from twisted.internet.protocol import Factory
from twisted.internet.protocol import Protocol

from gentianhitch.addresses import Address
from gentianhitch.callers.request_path import RequestPath
from tests.builders_path import FakeAgreement
from tests.builders_path import FakeLimiter
from tests.builders_path import FakeSelector
from tests.builders_path import answer
from tests.builders_path import build_targets
from tests.builders_path import request
from tests.reactors import connect_caller
from tests.reactors import run_scenario


class EchoTarget(Protocol):
    def dataReceived(self, data):  # noqa: N802
        self.transport.write(answer(b"from the target"))


def listen(reactor, internal=None, target=EchoTarget):
    """Start a target and a request path before it; return the path and its port."""
    listening = reactor.listenTCP(0, Factory.forProtocol(target), interface="127.0.0.1")
    address = Address("127.0.0.1", listening.getHost().port)
    targets = tuple(attrs.evolve(each, address=address) for each in build_targets())
    path = RequestPath(
        reactor,
        FakeAgreement(),
        FakeLimiter(),
        FakeSelector(targets),
        internal=internal,
    )
    port = reactor.listenTCP(0, path, interface="127.0.0.1")
    return path, port.getHost().port


class TestOverSockets:
    def test_system_and_service_paths_share_a_connection(self):
        app = Klein()

        @app.route("/.gentianhitch/echo", methods=["POST"])
        def echo(request):
            key = request.getHeader("Authorization")
            return request.content.read() + key.encode()

        async def scenario(reactor):
            path, port = listen(reactor, app.resource())
            caller = await connect_caller(reactor, port)
            answers = []
            for data in (
                request("POST", "/.gentianhitch/echo", b"hello "),
                request(),
                request("POST", "/.gentianhitch/echo", b"again "),
                request("GET", "/.gentianhitch/nothing"),
            ):
                caller.transport.write(data)
                answers.append(await caller.answer())
            path.close()
            return answers

        answers = run_scenario(scenario)
        assert [each.status for each in answers] == [200, 200, 200, 404]
        assert answers[0].body == b"hello Bearer key-of-nord"
        assert answers[1].body == b"from the target"
        assert answers[2].body == b"again Bearer key-of-nord"
