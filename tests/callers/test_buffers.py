"""Pattern: callers send or ask for much, and leave or read nothing."""

from __future__ import annotations

import pytest

from gentianhitch.buffers import BufferAccount
from gentianhitch.callers.complete_requests import MAX_CHUNKS
from gentianhitch.callers.pipelined_connection import MAX_PIPELINED_BYTES
from tests.allocations import allocated_bytes
from tests.builders_callers import Scenario

LIMIT_BYTES = 2_000_000
PART = b"x" * 50_000
BIG_BODY = ("Content-Length: 1000000",)


def fill(scenario: Scenario, size_bytes: int) -> None:
    """Send a part of the body of a large request."""
    scenario.send(*BIG_BODY)
    for _ in range(size_bytes // len(PART)):
        scenario.connection.dataReceived(PART)


class TestIncompleteRequests:
    def test_a_caller_that_leaves_frees_its_buffers_at_once(self) -> None:
        # Guards against bodies of callers that left, which fill the memory until the
        # garbage collector runs.
        scenarios = [Scenario() for _ in range(4)]
        scenarios[0].send()
        with allocated_bytes() as count:
            for scenario in scenarios[1:]:
                fill(scenario, 900_000)
                scenario.close_by_caller()
            assert count() < 900_000

    def test_chunks_of_two_bytes_take_what_is_counted(self) -> None:
        scenario = Scenario()
        with allocated_bytes() as count:
            scenario.send("Transfer-Encoding: chunked")
            scenario.connection.dataReceived(b"2\r\nok\r\n" * MAX_CHUNKS)
            kept_bytes = count()
        assert kept_bytes < 1.5 * scenario.factory.buffers.used_bytes

    def test_a_body_in_very_many_chunks_is_refused(self) -> None:
        # Guards against callers who take all processor time with chunks of two bytes,
        # so that reads of the store stall and others are refused as not fresh.
        scenario = Scenario()
        scenario.send("Transfer-Encoding: chunked")
        scenario.connection.dataReceived(b"2\r\nok\r\n" * (MAX_CHUNKS + 1))
        assert b" 413 " in scenario.written
        assert b"not-run" in scenario.written

    def test_the_largest_is_refused_when_the_buffers_are_full(self) -> None:
        # Guards against exhausted memory; the refused request has not run.
        buffers = BufferAccount(LIMIT_BYTES)
        largest, *others = [Scenario(buffers=buffers) for _ in range(4)]
        fill(largest, 700_000)
        for scenario in others:
            fill(scenario, 450_000)
        assert b" 503 " in largest.written
        assert b"not-run" in largest.written
        assert [scenario.written for scenario in others] == [b""] * 3
        assert buffers.used_bytes <= LIMIT_BYTES

    def test_small_requests_are_served_while_the_buffers_are_full(self) -> None:
        buffers = BufferAccount(LIMIT_BYTES)
        for _ in range(4):
            scenario = Scenario(buffers=buffers)
            scenario.send(*BIG_BODY, body=b"x" * 1_000_000)
            assert len(scenario.served) == 1
        fill(refused := Scenario(buffers=buffers), 100_000)
        assert b" 503 " in refused.written
        small = Scenario(buffers=buffers)
        small.send()
        assert len(small.served) == 1


class TestPendingRequests:
    def test_reading_pauses_while_their_bodies_are_large(self) -> None:
        scenario = Scenario()
        scenario.send(*BIG_BODY, body=b"x" * MAX_PIPELINED_BYTES)
        assert scenario.transport.producerState == "producing"
        scenario.send()
        assert scenario.transport.producerState == "paused"
        scenario.served[0].response.send(b"done")
        assert scenario.transport.producerState == "producing"


class TestResponses:
    @pytest.mark.parametrize("size_bytes", [300_000, 900_000])
    def test_the_slowest_reader_is_cut_when_the_buffers_are_full(
        self, size_bytes: int
    ) -> None:
        # Guards against exhausted memory when callers ask for much and read nothing.
        buffers = BufferAccount(LIMIT_BYTES)
        scenarios = [Scenario(buffers=buffers) for _ in range(20)]
        for scenario in scenarios:
            scenario.send()
            scenario.send()
            scenario.served[1].response.send(b"x" * size_bytes)
            assert buffers.used_bytes <= LIMIT_BYTES
        cut = sum(scenario.transport.aborted for scenario in scenarios)
        assert cut == len(scenarios) - LIMIT_BYTES // size_bytes
