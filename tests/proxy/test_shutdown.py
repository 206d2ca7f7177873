"""Pattern: a planned stop of an instance whose callers go on sending."""

from __future__ import annotations

from typing import Any

import attrs
from twisted.internet.defer import Deferred
from twisted.internet.defer import succeed

from gentianhitch.proxy.shutdown import KILL_MARGIN_S
from gentianhitch.proxy.shutdown import LAST_DELIVERY_S
from gentianhitch.proxy.shutdown import STOP_LISTENING_AFTER_S
from gentianhitch.proxy.shutdown import drain
from tests.builders_callers import GET
from tests.builders_callers import Scenario

GRACE_S = 6.0
POST = b"POST /orders/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n"


@attrs.define(slots=False)
class NoPort:
    is_listening: bool = True

    def stop_listening(self) -> None:
        self.is_listening = False


class NoRegistration:
    async def leave(self) -> None:
        await succeed(None)


class Stop:
    """Drain the connections of a scenario and record when requests are refused."""

    def __init__(self, scenario: Scenario, late_s: float = 0.0) -> None:
        self.scenario = scenario
        self.port = NoPort()
        self.refused_s = float("inf")
        self.errors: list[str] = []
        self.ended_s: float | None = None
        clock = scenario.clock
        self.began_s = clock.seconds()
        ended = Deferred.fromCoroutine(
            drain(
                clock,
                scenario.factory,
                lambda: self.port.stop_listening(),
                NoRegistration(),  # type: ignore[arg-type]
                self._refuse_after,
                lambda failure: self.errors.append(failure.type.__name__),
                began_s=self.began_s - late_s,
                grace_s=GRACE_S,
            )
        )
        ended.addCallback(self._end)

    def _refuse_after(self, at_s: float) -> None:
        self.refused_s = at_s - self.began_s

    def _end(self, result: Any) -> None:
        self.ended_s = self.scenario.clock.seconds() - self.began_s

    def advance(self, seconds: float) -> None:
        for _ in range(round(seconds / 0.1)):
            self.scenario.clock.advance(0.1)


class TestLateRequests:
    # Guards against requests that are sent to a server late in the grace and cut at its
    # end, among them orders: their bodies arrived slowly.
    def test_are_refused_once_the_listener_is_closed(self) -> None:
        scenario = Scenario()
        stop = Stop(scenario)
        scenario.connection.dataReceived(POST)
        stop.advance(STOP_LISTENING_AFTER_S + 0.1)
        assert abs(stop.refused_s - STOP_LISTENING_AFTER_S) < 0.11
        assert not stop.port.is_listening
        assert stop.ended_s is None

    def test_are_served_before(self) -> None:
        scenario = Scenario()
        stop = Stop(scenario)
        stop.advance(1.9)
        scenario.connection.dataReceived(GET)
        assert len(scenario.served) == 1
        assert stop.refused_s > 1.9


class TestEnd:
    def test_comes_with_the_last_response(self) -> None:
        scenario = Scenario()
        scenario.connection.dataReceived(GET)
        stop = Stop(scenario)
        stop.advance(4.0)
        assert stop.ended_s is None
        scenario.served[0].response.send(b"answer")
        scenario.close_by_caller()
        stop.advance(0.2)
        assert stop.ended_s is not None

    def test_comes_before_the_process_is_killed(self) -> None:
        scenario = Scenario()
        scenario.connection.dataReceived(GET)
        stop = Stop(scenario)
        stop.advance(GRACE_S - KILL_MARGIN_S + 0.1)
        assert stop.ended_s is not None
        assert scenario.written == b"given up;"

    # Guards against a final response that is cut: the process ended while the response
    # lay in the kernel, and its close with unread bytes reset the connection.
    def test_waits_until_the_final_responses_are_delivered(self) -> None:
        scenario = Scenario()
        scenario.connection.dataReceived(GET)
        undelivered = [9]
        scenario.connection._count_undelivered = lambda: undelivered[0]
        stop = Stop(scenario)
        stop.advance(GRACE_S - KILL_MARGIN_S)
        scenario.clock.advance(LAST_DELIVERY_S / 2)
        assert scenario.written == b"given up;"
        assert stop.ended_s is None
        stop.advance(LAST_DELIVERY_S + 0.1)
        assert stop.ended_s is not None

    # Guards against a process that is killed since its exit begins too late: the time
    # for final responses was spent on a caller that had paused before.
    def test_waits_no_longer_for_a_caller_that_has_paused(self) -> None:
        scenario = Scenario()
        scenario.connection.dataReceived(GET)
        scenario.served[0].response.send(b"answer")
        scenario.connection._count_undelivered = lambda: 9
        stop = Stop(scenario)
        stop.advance(GRACE_S - KILL_MARGIN_S - 0.1)
        assert stop.ended_s is None
        scenario.clock.advance(0.1 + LAST_DELIVERY_S / 2)
        assert stop.ended_s is not None

    def test_refuses_incomplete_requests(self) -> None:
        scenario = Scenario()
        stop = Stop(scenario)
        scenario.connection.dataReceived(POST)
        stop.advance(GRACE_S - KILL_MARGIN_S + 0.1)
        assert scenario.written.startswith(b"HTTP/1.1 503")

    # Guards against requests without an answer: a drain that was late by a lag ended
    # without the final responses, or in the iteration that had written them.
    def test_answers_if_the_grace_is_over(self) -> None:
        scenario = Scenario()
        scenario.connection.dataReceived(GET)
        stop = Stop(scenario)
        scenario.clock.pump([2.0, GRACE_S - KILL_MARGIN_S - 1.9, 0.01, 0.2])
        assert stop.ended_s is not None
        assert scenario.written == b"given up;"

    def test_has_time_for_the_delivery_after_a_lag(self) -> None:
        scenario = Scenario()
        scenario.connection.dataReceived(GET)
        scenario.connection._count_undelivered = lambda: 9
        stop = Stop(scenario)
        stop.advance(GRACE_S - KILL_MARGIN_S - 0.1)
        scenario.clock.advance(0.25)
        assert scenario.written == b"given up;"
        assert stop.ended_s is None

    # Guards against requests that are cut: an error in a step ended the process.
    def test_comes_after_the_last_response_whatever_step_fails(self) -> None:
        scenario = Scenario()
        scenario.connection.dataReceived(GET)
        stop = Stop(scenario)
        stop.port.stop_listening = _fail  # type: ignore[method-assign]
        stop.advance(4.0)
        assert stop.ended_s is None
        scenario.served[0].response.send(b"answer")
        scenario.close_by_caller()
        stop.advance(0.2)
        assert stop.ended_s is not None


# Guards against requests that are passed on late in the grace and cut at its end, and
# against processes that are killed: the lags of a drain's steps added up.
class TestLateStart:
    def test_leaves_the_times_of_the_steps(self) -> None:
        scenario = Scenario()
        scenario.connection.dataReceived(GET)
        stop = Stop(scenario, late_s=1.0)
        assert stop.refused_s == STOP_LISTENING_AFTER_S - 1.0
        stop.advance(STOP_LISTENING_AFTER_S - 0.9)
        assert not stop.port.is_listening
        stop.advance(GRACE_S - KILL_MARGIN_S - STOP_LISTENING_AFTER_S + 0.1)
        assert scenario.written == b"given up;"


def _fail() -> None:
    raise ZeroDivisionError
