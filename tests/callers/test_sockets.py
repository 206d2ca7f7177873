"""Requests over real sockets on the loopback interface."""

from __future__ import annotations

import hashlib
import random
import resource
import socket
from pathlib import Path

import attrs
from httptools import HttpRequestParser
from klein import Klein
from twisted.internet.defer import Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.endpoints import connectProtocol
from twisted.internet.interfaces import IPushProducer
from twisted.internet.protocol import Factory
from twisted.internet.protocol import Protocol
from twisted.internet.task import Clock
from zope.interface import implementer

from gentianhitch.addresses import Address
from gentianhitch.callers.connection import IDLE_TIMEOUT_S
from gentianhitch.callers.connection import REQUEST_TIMEOUT_S
from gentianhitch.callers.request_path import RequestPath
from gentianhitch.decisions.interfaces import AgreedState
from gentianhitch.decisions.targets.slots import QueuedSlots
from tests.builders_closes import KernelCaller
from tests.builders_path import FakeAgreement
from tests.builders_path import FakeLimiter
from tests.builders_path import FakeSelector
from tests.builders_path import build_document
from tests.builders_path import build_targets
from tests.builders_path import make_order
from tests.builders_path import make_request
from tests.builders_path import make_response
from tests.reactors import connect_caller
from tests.reactors import run_scenario
from tests.reactors import sleep


class EchoTarget(Protocol):
    def dataReceived(self, data):  # noqa: N802
        self.transport.write(make_response(b"from the target"))


def listen(
    reactor,
    internal=None,
    target=EchoTarget,
    *,
    agreement=None,
    window_bytes=None,
    **options,
):
    """Start a target and a request path to it; return the path and its port."""
    listening = reactor.listenTCP(0, Factory.forProtocol(target), interface="127.0.0.1")
    if window_bytes is not None:
        receive_buffer = (socket.SOL_SOCKET, socket.SO_RCVBUF, window_bytes)
        listening.socket.setsockopt(*receive_buffer)
    address = Address("127.0.0.1", listening.getHost().port)
    targets = tuple(
        attrs.evolve(target, address=address) for target in build_targets(slots=64)
    )
    selector = FakeSelector(targets)
    path = RequestPath(
        reactor,
        agreement or FakeAgreement(),
        FakeLimiter(),
        selector,
        QueuedSlots(selector, reactor),
        internal=internal,
        **options,
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
            responses = []
            for data in (
                make_request("POST", "/.gentianhitch/echo", b"hello "),
                make_request(),
                make_request("POST", "/.gentianhitch/echo", b"again "),
                make_request("GET", "/.gentianhitch/nothing"),
            ):
                caller.transport.write(data)
                responses.append(await caller.answer())
            path.close()
            return responses

        responses = run_scenario(scenario)
        assert [response.status for response in responses] == [200, 200, 200, 404]
        assert responses[0].body == b"hello Bearer key-of-nord"
        assert responses[1].body == b"from the target"
        assert responses[2].body == b"again Bearer key-of-nord"


PAUSE_S = 4.0
DEADLINE_MS = 9000
GIGABYTE = 1024**3
BLOCK = bytes(64 * 1024)
MAX_GROWTH_BYTES = 64 * 1024 * 1024


def resident_bytes():
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * resource.getpagesize()


@implementer(IPushProducer)
class LargeTarget(Protocol):
    """Sends a gigabyte with backpressure."""

    def dataReceived(self, data):  # noqa: N802
        self.remaining_bytes = GIGABYTE
        self.transport.write(
            b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % GIGABYTE
        )
        self.transport.registerProducer(self, True)
        self.resumeProducing()

    def resumeProducing(self):  # noqa: N802
        self.paused = False
        while self.remaining_bytes and not self.paused:
            self.remaining_bytes -= len(BLOCK)
            self.transport.write(BLOCK)
        if not self.remaining_bytes:
            self.transport.unregisterProducer()

    def pauseProducing(self):  # noqa: N802
        self.paused = True

    def stopProducing(self):  # noqa: N802
        self.paused = True


class PausingTarget(Protocol):
    """Reads nothing for ``PAUSE_S``, then the whole request, and responds."""

    def connectionMade(self):  # noqa: N802
        self.parser = HttpRequestParser(self)
        self.transport.pauseProducing()
        resume = self.transport.resumeProducing
        self.transport.reactor.callLater(PAUSE_S, resume)

    def dataReceived(self, data):  # noqa: N802
        self.parser.feed_data(data)

    def on_message_complete(self):
        self.transport.write(make_response(b"read"))


# Guards against requests that fail while a target pauses before it reads a body: the
# kernel reset connections whose window had been closed for 3 s.
class TestPausingTarget:
    def test_gets_the_whole_request(self):
        async def scenario(reactor):
            document = build_document(deadline_ms=DEADLINE_MS)
            path, port = listen(
                reactor,
                target=PausingTarget,
                agreement=FakeAgreement((AgreedState(1, {}, document),)),
                window_bytes=16_384,
            )
            caller = await connect_caller(reactor, port)
            caller.transport.write(make_order(bytes(4_000_000)))
            response = await caller.answer()
            path.close()
            return response

        assert run_scenario(scenario).body == b"read"


class SlowReader(Protocol):
    """Counts bytes and pauses reading for 0.1 s after each eighth."""

    def __init__(self, reactor):
        self.reactor = reactor
        self.count = 0
        self.peak_bytes = 0
        self.pauses = 0
        self.done = Deferred()

    def dataReceived(self, data):  # noqa: N802
        before = self.count // (GIGABYTE // 8)
        self.count += len(data)
        if self.count // (GIGABYTE // 8) > before:
            self.peak_bytes = max(self.peak_bytes, resident_bytes())
            self.pauses += 1
            self.transport.pauseProducing()
            self.reactor.callLater(0.1, self.resume)
        if self.count >= GIGABYTE:
            self.done.callback(None)

    def resume(self):
        self.peak_bytes = max(self.peak_bytes, resident_bytes())
        if self.transport.connected:
            self.transport.resumeProducing()


class TestStreaming:
    def test_gigabyte_response_needs_bounded_memory(self):
        async def scenario(reactor):
            path, port = listen(reactor, target=LargeTarget)
            endpoint = TCP4ClientEndpoint(reactor, "127.0.0.1", port)
            reader = await connectProtocol(endpoint, SlowReader(reactor))
            idle_bytes = resident_bytes()
            reader.transport.write(make_request())
            await reader.done
            path.close()
            return reader, idle_bytes

        reader, idle_bytes = run_scenario(scenario)
        assert reader.pauses >= 8
        assert reader.peak_bytes - idle_bytes < MAX_GROWTH_BYTES

    def test_large_upload_arrives_complete(self):
        body = random.Random(1).randbytes(5_000_000)
        digests = []

        class UploadTarget(Protocol):
            def connectionMade(self):  # noqa: N802
                self.parser = HttpRequestParser(self)
                self.digest = hashlib.sha256()

            def dataReceived(self, data):  # noqa: N802
                self.parser.feed_data(data)

            def on_body(self, data):
                self.digest.update(data)

            def on_message_complete(self):
                digests.append(self.digest.hexdigest())
                self.digest = hashlib.sha256()
                self.transport.write(make_response(b"stored"))

        async def scenario(reactor):
            path, port = listen(reactor, target=UploadTarget)
            caller = await connect_caller(reactor, port)
            caller.transport.write(make_order(body))
            first = await caller.answer()
            head = make_request("POST", "/orders", Transfer_Encoding="chunked")
            parts = [body[at : at + 50_000] for at in range(0, len(body), 50_000)]
            chunks = [b"%x\r\n%b\r\n" % (len(part), part) for part in parts]
            caller.transport.write(head + b"".join(chunks) + b"0\r\n\r\n")
            second = await caller.answer()
            path.close()
            return first, second

        responses = run_scenario(scenario)
        assert [response.body for response in responses] == [b"stored", b"stored"]
        assert digests == [hashlib.sha256(body).hexdigest()] * 2

    def test_refusal_reaches_a_caller_that_still_sends(self):
        async def scenario(reactor):
            path, port = listen(reactor)
            caller = await connect_caller(reactor, port)
            caller.transport.write(make_order(b"x" * 1000, Content_Length="9000000"))
            caller.transport.write(b"x" * 8_000_000)
            got = await caller.answer()
            path.close()
            return got

        got = run_scenario(scenario)
        assert got.status == 413
        assert got.headers_by_name["gentianhitch-outcome"] == "not-run"

    def test_caller_disconnect_cancels_at_the_target(self):
        lost = []

        class SilentTarget(Protocol):
            def dataReceived(self, data):  # noqa: N802
                lost.append(Deferred())

            def connectionLost(self, reason=None):  # noqa: N802
                lost[0].callback(True)

        async def scenario(reactor):
            path, port = listen(reactor, target=SilentTarget)
            caller = await connect_caller(reactor, port)
            caller.transport.write(make_order())
            while not lost:
                await sleep(reactor, 0.005)
            caller.transport.loseConnection()
            cancelled = await lost[0]
            path.close()
            return cancelled

        assert run_scenario(scenario) is True


# Guards against requests that end without an answer although they had arrived: a
# time-out or the close of the port looked only at what had been read.
class TestWhatHasArrived:
    def test_is_served_when_the_idle_limit_has_passed(self):
        async def scenario(reactor):
            clock = Clock()
            path, port = listen(reactor, clock=clock)
            caller = KernelCaller.connect(reactor, port)
            caller.send(make_request())
            first = await caller.outcome()
            caller.send(make_request())
            clock.advance(IDLE_TIMEOUT_S + 1.0)
            second = await caller.outcome()
            path.close()
            return [first, second]

        assert run_scenario(scenario) == ["200", "200"]

    def test_is_served_when_a_request_took_too_long(self):
        async def scenario(reactor):
            clock = Clock()
            path, port = listen(reactor, clock=clock)
            caller = KernelCaller.connect(reactor, port)
            request = make_request()
            caller.send(request[:20])
            first = await caller.outcome()
            caller.send(request[20:])
            clock.advance(REQUEST_TIMEOUT_S + 1.0)
            second = await caller.outcome()
            path.close()
            return [first, second]

        assert run_scenario(scenario) == ["open", "200"]

    def test_is_served_when_the_instance_stops(self):
        async def scenario(reactor):
            path, _ = listen(reactor)
            port = reactor.listenTCP(0, path, interface="127.0.0.1")
            path.begin_leaving()
            address = port.getHost().port
            callers = [KernelCaller.connect(reactor, address) for _ in range(10)]
            for caller in callers[:5]:
                caller.send(make_request())
            finished = Deferred.fromCoroutine(path.finish(port))
            for caller in callers[5:]:
                caller.send(make_request())
            await finished
            path.close()
            return [await caller.outcome() for caller in callers]

        assert run_scenario(scenario) == ["200"] * 10
