"""Pattern: callers that go on sending bodies of requests that can't be served.

The refusal must reach the caller, and the rest of the body must not cross the link.
"""

from __future__ import annotations

import select
import socket
import time
from typing import Any

import attrs
import pytest
from twisted.internet.threads import deferToThreadPool

from gentianhitch.buffers import BufferAccount
from gentianhitch.callers.caller_factory import CallerFactory
from gentianhitch.callers.complete_requests import GROWTH_FACTOR
from gentianhitch.callers.complete_requests import LARGE_BODY_BYTES
from gentianhitch.callers.complete_requests import CallerRequest
from gentianhitch.callers.pipelined_connection import BODY_LINGER_S
from gentianhitch.callers.pipelined_connection import PendingResponse
from gentianhitch.callers.refusals import Cause
from gentianhitch.callers.refusals import Refusal
from gentianhitch.callers.refusals import encode_refusal
from gentianhitch.platform.caller_interface import HEADER_NAMES
from gentianhitch.proxy.model import CallerLimits
from tests.builders_callers import Scenario
from tests.reactors import run_scenario

LARGE = 60_000
REFUSAL = Refusal(Cause.LINK_FULL, retry_after_s=0.7)


@attrs.define
class Checks:
    """Record what is checked; refuse bodies of ``refuses_from`` bytes or more."""

    refuses_from: int = 0
    calls: list[tuple[int, int]] = attrs.Factory(list)
    requests: list[CallerRequest] = attrs.Factory(list)

    def check(self, request: CallerRequest, size: int, added: int) -> Refusal | None:
        self.calls.append((size, added))
        self.requests.append(request)
        return REFUSAL if size >= self.refuses_from else None


def make_scenario(refuses_from: int = 0) -> tuple[Scenario, Checks]:
    scenario, checks = Scenario(), Checks(refuses_from)
    scenario.factory.check_body = checks.check
    scenario.connection = scenario.factory.buildProtocol(None)
    scenario.connection.makeConnection(scenario.transport)
    return scenario, checks


def send_head(scenario: Scenario, *lines: str) -> None:
    scenario.send("X-Gentianhitch-Request-Id: r-1", *lines)


class TestHead:
    def test_a_large_body_is_refused_before_it_is_read(self) -> None:
        scenario, checks = make_scenario()
        send_head(scenario, f"Content-Length: {LARGE}")
        assert checks.calls == [(LARGE, LARGE)]
        (served,) = scenario.served
        assert served.request.refusal == REFUSAL
        assert served.request.request_id == b"r-1"
        assert served.response.will_close
        served.response.send(b"refused")
        assert scenario.written == b"refused"
        assert scenario.transport.half_closed
        assert scenario.transport.producerState == "paused"

    def test_what_the_caller_sends_then_is_dropped(self) -> None:
        scenario, checks = make_scenario()
        send_head(scenario, f"Content-Length: {LARGE}")
        scenario.connection.dataReceived(b"x" * LARGE)
        scenario.served[0].response.send(b"refused")
        scenario.connection.dataReceived(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
        assert len(scenario.served) == len(checks.calls) == 1
        assert scenario.written == b"refused"
        assert scenario.errors == []

    def test_the_connection_is_given_up_soon_after_the_delivery(self) -> None:
        scenario, _ = make_scenario()
        send_head(scenario, f"Content-Length: {LARGE}")
        scenario.served[0].response.send(b"refused")
        now = scenario.clock.seconds()
        scenario.connection.check(now + BODY_LINGER_S)
        assert not scenario.transport.aborted
        scenario.connection.check(now + BODY_LINGER_S + 0.1)
        assert scenario.transport.aborted

    def test_a_small_body_is_read(self) -> None:
        scenario, checks = make_scenario()
        send_head(scenario, f"Content-Length: {LARGE_BODY_BYTES}")
        scenario.connection.dataReceived(b"x" * LARGE_BODY_BYTES)
        assert checks.calls == []
        assert scenario.served[0].request.counted_bytes == 0
        assert not scenario.transport.half_closed

    def test_an_accepted_body_is_read_and_was_counted(self) -> None:
        scenario, _ = make_scenario(refuses_from=LARGE + 1)
        send_head(scenario, f"Content-Length: {LARGE}")
        scenario.connection.dataReceived(b"x" * LARGE)
        (served,) = scenario.served
        assert served.request.refusal is None
        assert served.request.counted_bytes == len(served.request.body) == LARGE

    def test_no_body_is_asked_for(self) -> None:
        # Guards against a 100 that asks for a body which is then not read.
        scenario, _ = make_scenario()
        send_head(scenario, f"Content-Length: {LARGE}", "Expect: 100-continue")
        assert scenario.written == b""
        scenario.served[0].response.send(b"refused")
        assert scenario.written == b"refused"

    def test_earlier_requests_are_answered_first(self) -> None:
        scenario, _ = make_scenario()
        scenario.send()
        send_head(scenario, f"Content-Length: {LARGE}")
        first, refused = scenario.served
        refused.response.send(b"refused")
        assert scenario.written == b""
        assert scenario.transport.producerState == "producing"
        first.response.send(b"first")
        assert scenario.written == b"firstrefused"
        assert scenario.transport.producerState == "paused"

    def test_an_offer_to_upgrade_is_checked_once(self) -> None:
        scenario, checks = make_scenario(refuses_from=LARGE + 1)
        offer = ("Connection: upgrade", "Upgrade: h2c")
        send_head(scenario, f"Content-Length: {LARGE}", *offer)
        scenario.connection.dataReceived(b"x" * LARGE)
        assert checks.calls == [(LARGE, LARGE)]
        assert len(scenario.served) == 1


class TestGrowth:
    """Bodies without a declared length."""

    def send_chunks(self, scenario: Scenario, size: int) -> None:
        for _ in range(size // 1_000):
            scenario.connection.dataReceived(b"3e8\r\n" + b"x" * 1_000 + b"\r\n")

    def test_is_checked_as_it_grows(self) -> None:
        scenario, checks = make_scenario(refuses_from=10**9)
        send_head(scenario, "Transfer-Encoding: chunked")
        self.send_chunks(scenario, LARGE)
        sizes = [size for size, _ in checks.calls]
        assert LARGE_BODY_BYTES < sizes[0] <= LARGE_BODY_BYTES + 1_000
        assert all(
            after > GROWTH_FACTOR * before
            for before, after in zip(sizes, sizes[1:], strict=False)
        )
        assert sum(added for _, added in checks.calls) == sizes[-1]
        scenario.connection.dataReceived(b"0\r\n\r\n")
        assert scenario.served[0].request.counted_bytes == sizes[-1]

    def test_is_refused_once_it_is_too_large(self) -> None:
        scenario, checks = make_scenario(refuses_from=30_000)
        send_head(scenario, "Transfer-Encoding: chunked")
        self.send_chunks(scenario, LARGE)
        assert checks.calls[-1][0] < LARGE
        (served,) = scenario.served
        assert served.request.refusal == REFUSAL
        assert served.request.body == b""
        served.response.send(b"refused")
        assert scenario.transport.producerState == "paused"


class RefusedExchange:
    """Refuse a request as the server does."""

    def __init__(self, request: CallerRequest, response: PendingResponse) -> None:
        assert request.refusal is not None
        response.send(
            encode_refusal(
                request.refusal, request_id=b"r-1", close=True, to_head_request=False
            )
        )

    def caller_disconnected(self, detail: str = "") -> None:
        pass

    def respond_now(self) -> None:
        pass


def send_all_then_read(port: int, size: int) -> bytes:
    """Write the request without looking at what comes, pause, and read to the end."""
    with socket.create_connection(("127.0.0.1", port), timeout=5) as caller:
        caller.sendall(make_head(size) + b"x" * size)
        time.sleep(1.5)
        return read_to_end(caller)


def read_while_sending(port: int, size: int) -> bytes:
    """Go on sending until the response has come, as far as the connection takes it."""
    received = b""
    with socket.create_connection(("127.0.0.1", port), timeout=5) as caller:
        caller.sendall(make_head(size))
        caller.setblocking(False)
        left = size
        while b"\r\n\r\n" not in received:
            readable, writable, _ = select.select([caller], [caller], [], 5)
            if readable:
                received += caller.recv(65_536)
            elif writable and left:
                left -= caller.send(b"x" * min(left, 65_536))
        caller.setblocking(True)
        return received + read_to_end(caller)


def make_head(size: int) -> bytes:
    return b"POST /put/1 HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n" % size


def read_to_end(caller: socket.socket) -> bytes:
    received = b""
    try:
        while data := caller.recv(65_536):
            received += data
    except ConnectionResetError:
        pass
    return received


class TestOverSockets:
    # Guards against a reset that overtakes the refusal: the caller then doesn't know
    # that its request has not run.
    @pytest.mark.parametrize(
        ("call", "size"),
        [(send_all_then_read, LARGE), (read_while_sending, 20_000_000)],
        ids=["reads late", "goes on sending"],
    )
    def test_the_refusal_reaches_the_caller(self, call: Any, size: int) -> None:
        failures: list[Any] = []

        async def scenario(reactor: Any) -> bytes:
            factory = CallerFactory(
                reactor,
                HEADER_NAMES,
                CallerLimits,
                RefusedExchange,
                BufferAccount(),
                lambda end: None,
                failures.append,
            )
            factory.check_body = Checks().check
            listening = reactor.listenTCP(0, factory, interface="127.0.0.1")
            port = listening.getHost().port
            received: bytes = await deferToThreadPool(
                reactor, reactor.getThreadPool(), call, port, size
            )
            return received

        received = run_scenario(scenario)
        assert received.startswith(b"HTTP/1.1 503 ")
        assert b"Gentianhitch-Outcome: not-run" in received
        assert b"Retry-After: 0.7" in received
        assert received.endswith(b"}")
        assert failures == []
