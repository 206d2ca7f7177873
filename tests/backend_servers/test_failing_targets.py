"""Correct outcomes and complete responses while backend servers fail."""

from __future__ import annotations

import pytest

from gentianhitch.backend_servers.pool import MAX_IDLE_S
from gentianhitch.backend_servers.pool import MAX_PROVEN_IDLE_S
from tests.builders_path import PathHarness
from tests.builders_path import header_of
from tests.builders_path import make_order
from tests.builders_path import make_request
from tests.builders_path import make_response
from tests.builders_path import outcome_of
from tests.builders_path import request_id_of
from tests.builders_path import status_of


def fill_budget(harness, requests=12):
    """Serve requests until the retry budget of the service stock allows a retry."""
    caller, target = harness.send_to_target(make_request())
    for _ in range(requests):
        target.send(make_response())
        caller.send(make_request())
    target.send(make_response())
    target.received()
    caller.close()
    return target


class TestOrders:
    def test_connect_failure_is_retried_on_another_target(self):
        harness = PathHarness()
        caller = harness.caller()
        caller.send(make_order())
        harness.refuse()
        target = harness.accept()
        assert target.received().startswith(b"POST /orders")
        target.send(make_response(b"ok"))
        assert status_of(caller.received()) == 200
        assert harness.selector.outcomes == ["not_sent", "ok"]

    def test_order_is_refused_if_no_target_accepts_connections(self):
        harness = PathHarness()
        caller = harness.caller()
        caller.send(make_order())
        harness.refuse()
        harness.refuse()
        got = caller.received()
        assert (status_of(got), outcome_of(got)) == (503, "not-run")

    @pytest.mark.parametrize("part", [b"", b"HTTP/1.1 20"])
    def test_reset_before_the_head_is_unknown_and_never_retried(self, part):
        harness = PathHarness()
        caller, target = harness.send_to_target(make_order())
        if part:
            target.send(part)
        target.close()
        got = caller.received()
        assert (status_of(got), outcome_of(got)) == (502, "unknown")
        assert harness.reactor.connect_attempts == []
        assert harness.selector.outcomes == ["cut"]

    def test_missing_response_is_unknown_at_the_deadline(self):
        harness = PathHarness()
        caller, target = harness.send_to_target(
            make_order(Gentianhitch_Deadline_Ms="200")
        )
        harness.reactor.advance(0.21)
        got = caller.received()
        assert (status_of(got), outcome_of(got)) == (504, "unknown")
        assert target.transport.aborted
        assert harness.reactor.connect_attempts == []
        assert harness.selector.outcomes == ["silent"]

    def test_late_response_is_dropped(self):
        harness = PathHarness()
        caller, target = harness.send_to_target(
            make_order(Gentianhitch_Deadline_Ms="200")
        )
        harness.reactor.advance(0.21)
        caller.received()
        caller.send(make_order())
        target.send(make_response(b"late"))
        assert caller.received() == b""
        assert len(harness.reactor.connect_attempts) == 1

    def test_shed_with_its_request_id_did_not_run(self):
        harness = PathHarness()
        caller, target = harness.send_to_target(make_order(X_Request_Id="r1"))
        target.send(
            make_response(
                b"", "503 Service Unavailable", Shed="not-run", X_Request_Id="r1"
            )
        )
        got = caller.received()
        assert (status_of(got), outcome_of(got)) == (503, "not-run")
        assert harness.reactor.connect_attempts == []

    def test_shed_without_a_request_id_is_unknown(self):
        harness = PathHarness()
        caller, target = harness.send_to_target(make_order())
        target.send(make_response(b"", "503 Service Unavailable", Shed="not-run"))
        assert outcome_of(caller.received()) == "unknown"

    def test_error_response_of_the_target_is_forwarded(self):
        harness = PathHarness()
        caller, target = harness.send_to_target(make_order())
        target.send(
            make_response(b"broken", "500 Oops", Gentianhitch_Outcome="not-run")
        )
        got = caller.received()
        assert (status_of(got), outcome_of(got)) == (500, None)

    def test_order_does_not_reuse_a_long_idle_connection(self):
        harness = PathHarness()
        caller, first = harness.send_to_target(make_order())
        first.send(make_response())
        harness.reactor.advance(MAX_PROVEN_IDLE_S + 0.1)
        caller.send(make_order())
        assert b"POST" in first.received()
        assert len(harness.reactor.connect_attempts) == 1

    def test_caller_disconnect_cancels(self):
        harness = PathHarness()
        caller, target = harness.send_to_target(make_order())
        caller.protocol.readConnectionLost()
        assert target.transport.aborted
        assert harness.selector.outcomes == ["abandoned"]
        assert set(harness.selector.in_flight_by_name.values()) == {0}


class TestReads:
    def test_lost_connection_before_the_head_is_retried(self):
        harness = PathHarness()
        target = fill_budget(harness)
        caller = harness.caller()
        caller.send(make_request())
        assert target.received()
        target.close()
        harness.accept().send(make_response(b"second"))
        assert caller.received().endswith(b"second")

    def test_without_budget_there_is_no_retry(self):
        harness = PathHarness()
        caller, target = harness.send_to_target(make_request())
        target.close()
        assert outcome_of(caller.received()) == "unknown"
        assert harness.reactor.connect_attempts == []

    def test_error_response_is_retried_and_the_last_one_forwarded(self):
        harness = PathHarness()
        target = fill_budget(harness)
        caller = harness.caller()
        caller.send(make_request())
        target.send(make_response(b"bad", "500 Oops"))
        other = harness.accept()
        assert other.received()
        other.send(make_response(b"worse", "502 Oops"))
        assert caller.received().endswith(b"worse")

    def test_attempt_without_response_is_retried_before_the_deadline(self):
        harness = PathHarness()
        target = fill_budget(harness)
        caller = harness.caller()
        caller.send(make_request())
        target.received()
        harness.reactor.advance(0.6)
        assert target.transport.aborted
        harness.accept().send(make_response(b"in time"))
        assert caller.received().endswith(b"in time")


INVALID_RESPONSES = {
    "crossed": make_response(X_Request_Id="other"),
    "overlong": make_response() + b"x",
    "overlong by a response": make_response() + make_response(),
    "no end": b"HTTP/1.1 200 OK\r\n\r\nhello",
    "two lengths": make_response(content_length="5"),
    "two other lengths": make_response(content_length="6"),
    "length and chunks": make_response(Transfer_Encoding="chunked"),
    "status 000": make_response(b"no", "000 Broken"),
    "status 000 before another": make_response(b"no", "000 Broken") + make_response(),
    "interim with a body": make_response(b"no", "199 Wait") + make_response(),
    "status 600": make_response(b"no", "600 Broken"),
    "blank in a name": make_response(b"no").replace(b"Content", b"X Y: 1\r\nContent"),
    "control byte in a name": make_response(b"no").replace(
        b"Content-L", b"Content\0-L"
    ),
    "garbage": b"hello\r\n\r\n",
    "endless head": b"HTTP/1.1 200 OK\r\nA: " + b"x" * 70_000,
    "switch": b"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n",
    "other coding": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nhello",
}


class TestCompleteResponses:
    @pytest.mark.parametrize("name", INVALID_RESPONSES)
    def test_invalid_response_is_not_forwarded(self, name):
        harness = PathHarness()
        caller, target = harness.send_to_target(make_order())
        target.send(INVALID_RESPONSES[name])
        got = caller.received()
        assert (status_of(got), outcome_of(got)) == (502, "unknown")
        assert target.transport.aborted
        assert harness.selector.outcomes == ["wrong"]
        assert harness.path.pool.open_by_address() == {"127.0.0.1:2000": 0}

    def test_truncated_response_resets_the_caller(self):
        harness = PathHarness()
        caller, target = harness.send_to_target(make_request())
        target.send(make_response(b"hello")[:-2])
        target.close()
        got = caller.received()
        assert header_of(got, "Content-Length") == "5"
        assert got.endswith(b"hel")
        assert caller.transport.aborted

    @pytest.mark.parametrize(
        "remaining", [b"", b"3\r\nab", b"zz\r\n", b"3\r\nabc\r\n0\r\n\r\nsurplus"]
    )
    def test_invalid_chunks_reset_the_caller(self, remaining):
        harness = PathHarness()
        caller, target = harness.send_to_target(make_request())
        target.send(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n")
        if remaining:
            target.send(remaining)
        target.close()
        assert not caller.received().endswith(b"0\r\n\r\n")
        assert caller.transport.aborted

    def test_chunked_response_is_complete(self):
        harness = PathHarness()
        caller, target = harness.send_to_target(make_request())
        target.send(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n")
        target.send(b"1\r\n!\r\n0\r\nTrailer: x\r\n\r\n")
        got = caller.received()
        assert got.endswith(b"\r\n\r\n2\r\nhi\r\n1\r\n!\r\n0\r\n\r\n")
        assert not caller.is_closed

    @pytest.mark.parametrize("status", ["204 No Content", "304 Not Modified"])
    def test_responses_without_body(self, status):
        harness = PathHarness()
        caller, target = harness.send_to_target(make_request())
        target.received()
        head = f"HTTP/1.1 {status}\r\nContent-Length: 5\r\n\r\n".encode()
        target.send(head)
        assert status_of(caller.received()) == int(status[:3])
        caller.send(make_request(X_Request_Id="next"))
        assert request_id_of(target.received()) == "next"
        target.send(make_response(b"body"))
        assert caller.received().endswith(b"body")

    def test_connection_is_reused_after_a_head_request(self):
        harness = PathHarness()
        caller, target = harness.send_to_target(make_request("HEAD"))
        target.received()
        target.send(make_response(b"hello")[:-5])
        got = caller.received()
        assert header_of(got, "Content-Length") == "5"
        caller.send(make_request())
        assert target.received().startswith(b"GET")
        target.send(make_response(b"body"))
        assert caller.received().endswith(b"body")

    def test_interim_responses_are_dropped(self):
        harness = PathHarness()
        caller, target = harness.send_to_target(make_request())
        target.send(b"HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n" + make_response())
        got = caller.received()
        assert status_of(got) == 200
        assert header_of(got, "A") is None

    def test_unexpected_bytes_close_an_idle_connection(self):
        harness = PathHarness()
        caller, target = harness.send_to_target(make_request())
        target.send(make_response())
        target.send(b"x")
        assert target.transport.aborted
        caller.send(make_request())
        assert len(harness.reactor.connect_attempts) == 1

    def test_connection_of_an_early_response_is_not_reused(self):
        harness = PathHarness()
        caller = harness.caller()
        caller.send(make_order(b"x" * 70_000, Content_Length="80000"))
        target = harness.accept()
        target.send(make_response(b"no", "413 Too Large"))
        assert status_of(caller.received()) == 413
        assert target.transport.aborted
        assert caller.is_closed


class TestConnections:
    def test_idle_connections_are_closed_after_a_timeout(self):
        harness = PathHarness()
        caller, target = harness.send_to_target(make_request())
        target.send(make_response())
        harness.reactor.pump([0.5] * int(2 * MAX_IDLE_S + 2))
        assert target.transport.aborted
        assert harness.path.pool.open_by_address() == {"127.0.0.1:1000": 0}

    def test_open_connections_do_not_exceed_the_slots(self):
        harness = PathHarness()
        callers = [harness.caller() for _ in range(12)]
        for caller in callers:
            caller.send(make_request())
        ports = [attempt.port for attempt in harness.reactor.connect_attempts]
        assert ports == [1000] * 4 + [1001] * 4
        for _ in range(8):
            harness.accept().send(make_response())
        assert harness.path.pool.open_by_address() == {
            "127.0.0.1:1000": 4,
            "127.0.0.1:1001": 4,
        }

    def test_slow_caller_pauses_reading_from_the_target(self):
        harness = PathHarness()
        caller, target = harness.send_to_target(make_request())
        target.send(make_response(b"x" * 1000)[:-1])
        assert caller.transport.producer is not None
        caller.transport.producer.pauseProducing()
        assert target.transport.producerState == "paused"
        caller.transport.producer.resumeProducing()
        target.send(b"x")
        assert caller.transport.producer is None

    def test_slow_target_pauses_reading_from_the_caller(self):
        harness = PathHarness()
        caller = harness.caller()
        caller.send(make_order(b"x" * 70_000, Content_Length="80000"))
        target = harness.accept()
        target.transport.producer.pauseProducing()
        assert caller.transport.producerState == "paused"
        target.transport.producer.resumeProducing()
        caller.send(b"x" * 10_000)
        assert target.received().endswith(b"\r\n\r\n" + b"x" * 80_000)
        assert target.transport.producer is None

    def test_truncated_upload_cancels_the_request(self):
        harness = PathHarness()
        caller = harness.caller()
        caller.send(make_order(b"x" * 70_000, Content_Length="80000"))
        target = harness.accept()
        caller.protocol.readConnectionLost()
        got = caller.received()
        assert (status_of(got), outcome_of(got)) == (400, "unknown")
        assert target.transport.aborted
