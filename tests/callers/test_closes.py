"""Pattern: callers send just before a connection or the listener is closed."""

from __future__ import annotations

from typing import Any

from gentianhitch.arrived import close_port
from gentianhitch.callers.pipelined_connection import FIRST_REQUEST_S
from gentianhitch.proxy.model import CallerLimits
from tests.builders_callers import Scenario
from tests.builders_callers import Transport
from tests.builders_closes import GET
from tests.builders_closes import AnsweredRequest
from tests.builders_closes import Entry
from tests.reactors import run_scenario

CALLERS = 40


# Guards against requests that end without an answer although they had arrived: a close
# looked only at what had been read, not at what the kernel had received.
class TestWhatHasArrived:
    def test_is_served_when_a_planned_stop_closes_idle_connections(self) -> None:
        async def scenario(reactor: Any) -> list[str]:
            entry = Entry(reactor)
            callers = [await entry.connect_kept() for _ in range(3)]
            for caller in callers:
                caller.send()
            entry.factory.is_leaving = True
            entry.factory.close_idle()
            return [await caller.outcome() for caller in callers]

        assert run_scenario(scenario) == ["200"] * 3

    def test_is_served_when_the_idle_limit_has_passed(self) -> None:
        async def scenario(reactor: Any) -> str:
            entry = Entry(reactor, CallerLimits(idle_timeout_s=5.0))
            caller = await entry.connect_kept()
            caller.send()
            entry.clock.advance(60.0)
            return await caller.outcome()

        assert run_scenario(scenario) == "200"

    def test_is_served_when_a_request_took_too_long(self) -> None:
        async def scenario(reactor: Any) -> list[str]:
            entry = Entry(reactor, CallerLimits(head_timeout_s=3.0))
            caller = entry.connect()
            caller.send(GET[:20])
            before = await caller.outcome()
            caller.send(GET[20:])
            entry.clock.advance(60.0)
            return [before, await caller.outcome()]

        assert run_scenario(scenario) == ["open", "200"]

    def test_is_served_when_the_port_closes(self) -> None:
        async def scenario(reactor: Any) -> list[str]:
            entry = Entry(reactor)
            callers = [entry.connect() for _ in range(CALLERS)]
            for caller in callers:
                caller.send()
            entry.factory.is_leaving = True
            close_port(entry.port)
            entry.factory.close_idle()
            return [await caller.outcome() for caller in callers]

        assert run_scenario(scenario) == ["200"] * CALLERS


# Guards against requests that end without an answer: the end of an idle connection went
# out in a later iteration, and what arrived until then was dropped.
class TestIdleConnections:
    def test_end_in_the_iteration_that_closes_them(self) -> None:
        async def scenario(reactor: Any) -> bytes:
            entry = Entry(reactor)
            caller = await entry.connect_kept()
            entry.clock.advance(FIRST_REQUEST_S)
            entry.factory.close_idle()
            return caller.connection.recv(1)

        assert run_scenario(scenario) == b""


class TestNewConnections:
    def test_are_given_time_for_their_first_request(self) -> None:
        async def scenario(reactor: Any) -> list[str]:
            entry = Entry(reactor)
            caller = entry.connect()
            before = await caller.outcome()
            entry.factory.is_leaving = True
            entry.factory.close_idle()
            caller.send()
            return [before, await caller.outcome()]

        assert run_scenario(scenario) == ["open", "200"]

    def test_are_closed_if_none_comes(self) -> None:
        async def scenario(reactor: Any) -> str:
            entry = Entry(reactor)
            caller = entry.connect()
            await caller.outcome()
            entry.factory.close_idle()
            entry.clock.advance(1.0)
            return await caller.outcome()

        assert run_scenario(scenario) == "closed"

    def test_keep_a_stop_waiting_that_long(self) -> None:
        async def scenario(reactor: Any) -> list[bool]:
            entry = Entry(reactor)
            caller = entry.connect()
            await caller.outcome()
            entry.factory.close_idle()
            waits = [entry.factory.is_busy]
            entry.clock.advance(1.0)
            return [*waits, entry.factory.is_busy]

        assert run_scenario(scenario) == [True, False]


# Guards against buffers without a limit: a check read on after reading was paused.
class TestPausing:
    def test_ends_the_reading_of_what_has_arrived(self) -> None:
        async def scenario(reactor: Any) -> int:
            entry = Entry(reactor, CallerLimits(idle_timeout_s=5.0))
            entry.factory.serve = lambda request, response: AnsweredRequest()
            caller = entry.connect()
            await caller.outcome()
            caller.send(GET * 20_000)
            entry.clock.advance(60.0)
            (connection,) = entry.factory.connections
            return len(connection._pending_responses)

        # One read holds at most 64 KiB.
        assert run_scenario(scenario) <= 65536 // len(GET) + 1


class TestErrors:
    # Guards against time-outs that end for good: an error in one connection's check
    # stopped the checks of all.
    def test_in_a_check_leave_the_checks_of_others(self) -> None:
        scenario = Scenario(CallerLimits(idle_timeout_s=1.0))
        broken = scenario.factory.buildProtocol(None)
        broken.makeConnection(Transport())
        broken.check = _fail  # type: ignore[method-assign]
        scenario.factory.doStart()
        scenario.clock.pump([0.5] * 8)
        assert scenario.transport.half_closed
        assert scenario.errors[0] == "ZeroDivisionError"
        assert broken.transport.aborted


def _fail(*args: Any) -> None:
    raise ZeroDivisionError
