from __future__ import annotations

import socket
import time
from typing import Any

from twisted.internet.abstract import FileDescriptor
from twisted.internet.defer import Deferred
from twisted.internet.protocol import Factory
from twisted.internet.protocol import Protocol

from gentianhitch.event_loop import LAG_SPANS
from gentianhitch.event_loop import EventLoop
from gentianhitch.event_loop import LoopLag
from tests.reactors import run_scenario
from tests.reactors import sleep

BLOCK_S = 0.3
CALM_S = 0.1
DEADLINE_S = 0.1
LONG = 200_000
"""More bytes than are read at once."""


class Recorder(Protocol):
    """Note what happens, in its order."""

    def __init__(self, happened: list[str]) -> None:
        self._happened = happened
        self._received = 0

    def connectionMade(self) -> None:  # noqa: N802
        self._happened.append("accepted")

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        self._received += len(data)
        if self._received == LONG:
            self._happened.append("received")


class AlwaysReady(FileDescriptor):
    """A socket that can always be written to."""

    def __init__(self, reactor: Any, descriptor: int) -> None:
        super().__init__(reactor)
        self.fileno = lambda: descriptor  # type: ignore[method-assign]

    def doWrite(self) -> None:  # noqa: N802
        pass


async def block_beyond_a_deadline(reactor: Any, *, kept: bool) -> list[str]:
    """Return the order of a deadline and of bytes that arrive amid a block."""
    happened: list[str] = []
    factory = Factory.forProtocol(lambda: Recorder(happened))
    port = reactor.listenTCP(0, factory, interface="127.0.0.1")
    address = ("127.0.0.1", port.getHost().port)
    if kept:
        caller = socket.create_connection(address)
        await sleep(reactor, CALM_S)
    reactor.callLater(DEADLINE_S, happened.append, "deadline")
    if not kept:
        caller = socket.create_connection(address)
    with caller:
        caller.settimeout(1.0)
        caller.sendall(bytes(LONG))
        time.sleep(BLOCK_S)
        await sleep(reactor, CALM_S)
    await port.stopListening()
    return happened


class TestLoopLag:
    def test_each_span_has_its_longest_wait(self) -> None:
        lag = LoopLag()
        for wait_s in (0.1, 0.4, 0.2):
            lag.record(wait_s)
        assert lag.end_span() == 0.4
        assert lag.end_span() == 0.0

    def test_the_longest_wait_is_kept_for_some_spans(self) -> None:
        lag = LoopLag()
        lag.record(0.4)
        assert lag.longest_s == 0.4
        for _ in range(LAG_SPANS):
            lag.end_span()
        assert lag.longest_s == 0.4
        lag.end_span()
        assert lag.longest_s == 0.0


class TestEventLoop:
    def test_a_block_between_timers_is_recorded(self) -> None:
        async def scenario(reactor: Any) -> tuple[float, float]:
            await sleep(reactor, CALM_S)
            calm_s = reactor.lag.end_span()
            time.sleep(BLOCK_S)
            await sleep(reactor, CALM_S)
            return calm_s, reactor.lag.longest_s

        calm_s, blocked_s = run_scenario(scenario, EventLoop)
        assert calm_s < BLOCK_S / 2
        assert blocked_s >= BLOCK_S * 0.99

    def test_calls_from_threads_wake_the_loop(self) -> None:
        async def scenario(reactor: Any) -> float:
            done: Deferred[None] = Deferred()
            began_s = time.monotonic()
            reactor.callInThread(reactor.callFromThread, done.callback, None)
            await done
            return time.monotonic() - began_s

        assert run_scenario(scenario, EventLoop) < 1.0

    def test_a_late_deadline_waits_for_what_has_arrived(self) -> None:
        for kept in (True, False):
            happened = run_scenario(
                lambda reactor, kept=kept: block_beyond_a_deadline(reactor, kept=kept),
                EventLoop,
            )
            assert happened == ["accepted", "received", "deadline"]

    def test_a_socket_that_is_always_ready_does_not_hold_up_timers(self) -> None:
        async def scenario(reactor: Any) -> float:
            ours, theirs = socket.socketpair()
            with ours, theirs:
                ready = AlwaysReady(reactor, ours.fileno())
                reactor.addWriter(ready)
                done: Deferred[None] = Deferred()
                reactor.callLater(DEADLINE_S, done.callback, None)
                time.sleep(BLOCK_S)
                began_s = time.monotonic()
                await done
                reactor.removeWriter(ready)
            return time.monotonic() - began_s

        assert run_scenario(scenario, EventLoop) < BLOCK_S

    def test_late_timers_run_in_the_order_in_which_they_fell_due(self) -> None:
        async def scenario(reactor: Any) -> list[str]:
            ran: list[str] = []
            for number in (3, 1, 2):
                reactor.callLater(number * CALM_S / 3, ran.append, f"timer {number}")
            reactor.callFromThread(ran.append, "thread")
            time.sleep(BLOCK_S)
            await sleep(reactor, CALM_S)
            return ran

        ran = run_scenario(scenario, EventLoop)
        assert ran == ["thread", "timer 1", "timer 2", "timer 3"]
