from __future__ import annotations

import time
from typing import Any

from twisted.internet.defer import Deferred

from gentianhitch.event_loop import LAG_SPANS
from gentianhitch.event_loop import EventLoop
from gentianhitch.event_loop import LoopLag
from tests.reactors import run_scenario
from tests.reactors import sleep

BLOCK_S = 0.3
CALM_S = 0.1


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
