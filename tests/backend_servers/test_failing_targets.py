"""Truthful outcomes and whole answers while targets fail."""

from __future__ import annotations

import pytest

from gentianhitch.backend_servers.pool import MAX_IDLE_S
from gentianhitch.backend_servers.pool import MAX_PROVEN_IDLE_S
from tests.builders_path import PathBench
from tests.builders_path import answer
from tests.builders_path import header_of
from tests.builders_path import order
from tests.builders_path import outcome_of
from tests.builders_path import request
from tests.builders_path import request_id_of
from tests.builders_path import status_of


def fill_budget(bench, requests=12):
    """Serve requests until a retry is in the budget of the service stock."""
    caller, target = bench.sent(request())
    for _ in range(requests):
        target.send(answer())
        caller.send(request())
    target.send(answer())
    target.received()
    caller.close()
    return target


class TestOrders:
    def test_connect_failure_tries_another_target(self):
        bench = PathBench()
        caller = bench.caller()
        caller.send(order())
        bench.refuse()
        target = bench.accept()
        assert target.received().startswith(b"POST /orders")
        target.send(answer(b"ok"))
        assert status_of(caller.received()) == 200
        assert bench.selector.outcomes == ["not_sent", "ok"]

    def test_no_target_connects(self):
        bench = PathBench()
        caller = bench.caller()
        caller.send(order())
        bench.refuse()
        bench.refuse()
        got = caller.received()
        assert (status_of(got), outcome_of(got)) == (503, "not-run")

    @pytest.mark.parametrize("part", [b"", b"HTTP/1.1 20"])
    def test_reset_before_the_head_is_unknown_and_never_retried(self, part):
        bench = PathBench()
        caller, target = bench.sent(order())
        if part:
            target.send(part)
        target.close()
        got = caller.received()
        assert (status_of(got), outcome_of(got)) == (502, "unknown")
        assert bench.reactor.dials == []
        assert bench.selector.outcomes == ["cut"]

    def test_silence_is_unknown_at_the_deadline(self):
        bench = PathBench()
        caller, target = bench.sent(order(Gentianhitch_Deadline_Ms="200"))
        bench.reactor.advance(0.21)
        got = caller.received()
        assert (status_of(got), outcome_of(got)) == (504, "unknown")
        assert target.transport.aborted
        assert bench.reactor.dials == []
        assert bench.selector.outcomes == ["silent"]

    def test_late_answer_goes_to_nobody(self):
        bench = PathBench()
        caller, target = bench.sent(order(Gentianhitch_Deadline_Ms="200"))
        bench.reactor.advance(0.21)
        caller.received()
        caller.send(order())
        target.send(answer(b"late"))
        assert caller.received() == b""
        assert len(bench.reactor.dials) == 1

    def test_shed_with_its_request_id_did_not_run(self):
        bench = PathBench()
        caller, target = bench.sent(order(X_Request_Id="r1"))
        target.send(
            answer(b"", "503 Service Unavailable", Shed="not-run", X_Request_Id="r1")
        )
        got = caller.received()
        assert (status_of(got), outcome_of(got)) == (503, "not-run")
        assert bench.reactor.dials == []

    def test_shed_that_names_no_request_is_unknown(self):
        bench = PathBench()
        caller, target = bench.sent(order())
        target.send(answer(b"", "503 Service Unavailable", Shed="not-run"))
        assert outcome_of(caller.received()) == "unknown"

    def test_own_error_of_the_target_is_passed_on(self):
        bench = PathBench()
        caller, target = bench.sent(order())
        target.send(answer(b"broken", "500 Oops", Gentianhitch_Outcome="not-run"))
        got = caller.received()
        assert (status_of(got), outcome_of(got)) == (500, None)

    def test_order_takes_no_connection_that_was_idle_for_long(self):
        bench = PathBench()
        caller, first = bench.sent(order())
        first.send(answer())
        bench.reactor.advance(MAX_PROVEN_IDLE_S + 0.1)
        caller.send(order())
        assert b"POST" in first.received()
        assert len(bench.reactor.dials) == 1

    def test_caller_gone_cancels(self):
        bench = PathBench()
        caller, target = bench.sent(order())
        caller.protocol.readConnectionLost()
        assert target.transport.aborted
        assert bench.selector.outcomes == ["abandoned"]
        assert set(bench.selector.in_flight_by_name.values()) == {0}


class TestReads:
    def test_cut_before_the_head_is_retried_elsewhere(self):
        bench = PathBench()
        target = fill_budget(bench)
        caller = bench.caller()
        caller.send(request())
        assert target.received()
        target.close()
        bench.accept().send(answer(b"second"))
        assert caller.received().endswith(b"second")

    def test_without_budget_there_is_no_retry(self):
        bench = PathBench()
        caller, target = bench.sent(request())
        target.close()
        assert outcome_of(caller.received()) == "unknown"
        assert bench.reactor.dials == []

    def test_error_answer_is_retried_and_else_passed_on(self):
        bench = PathBench()
        target = fill_budget(bench)
        caller = bench.caller()
        caller.send(request())
        target.send(answer(b"bad", "500 Oops"))
        other = bench.accept()
        assert other.received()
        other.send(answer(b"worse", "502 Oops"))
        assert caller.received().endswith(b"worse")

    def test_silent_target_leaves_time_for_another(self):
        bench = PathBench()
        target = fill_budget(bench)
        caller = bench.caller()
        caller.send(request())
        target.received()
        bench.reactor.advance(0.6)
        assert target.transport.aborted
        bench.accept().send(answer(b"in time"))
        assert caller.received().endswith(b"in time")


BROKEN_ANSWERS = {
    "crossed": answer(X_Request_Id="other"),
    "overlong": answer() + b"x",
    "overlong by an answer": answer() + answer(),
    "no end": b"HTTP/1.1 200 OK\r\n\r\nhello",
    "two lengths": answer(content_length="5"),
    "two other lengths": answer(content_length="6"),
    "length and chunks": answer(Transfer_Encoding="chunked"),
    "garbage": b"hello\r\n\r\n",
    "endless head": b"HTTP/1.1 200 OK\r\nA: " + b"x" * 70_000,
    "switch": b"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n",
    "other coding": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nhello",
}


class TestWholeAnswers:
    @pytest.mark.parametrize("name", BROKEN_ANSWERS)
    def test_broken_answer_never_reaches_the_caller(self, name):
        bench = PathBench()
        caller, target = bench.sent(order())
        target.send(BROKEN_ANSWERS[name])
        got = caller.received()
        assert (status_of(got), outcome_of(got)) == (502, "unknown")
        assert target.transport.aborted
        assert bench.selector.outcomes == ["wrong"]
        assert bench.path.pool.open_by_address() == {"127.0.0.1:2000": 0}

    def test_cut_answer_breaks_the_caller(self):
        bench = PathBench()
        caller, target = bench.sent(request())
        target.send(answer(b"hello")[:-2])
        target.close()
        got = caller.received()
        assert header_of(got, "Content-Length") == "5"
        assert got.endswith(b"hel")
        assert caller.transport.aborted

    @pytest.mark.parametrize(
        "rest", [b"", b"3\r\nab", b"zz\r\n", b"3\r\nabc\r\n0\r\n\r\nsurplus"]
    )
    def test_broken_chunks_break_the_caller(self, rest):
        bench = PathBench()
        caller, target = bench.sent(request())
        target.send(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n")
        if rest:
            target.send(rest)
        target.close()
        assert not caller.received().endswith(b"0\r\n\r\n")
        assert caller.transport.aborted

    def test_chunked_answer_is_whole(self):
        bench = PathBench()
        caller, target = bench.sent(request())
        target.send(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n")
        target.send(b"1\r\n!\r\n0\r\nTrailer: x\r\n\r\n")
        got = caller.received()
        assert got.endswith(b"\r\n\r\n2\r\nhi\r\n1\r\n!\r\n0\r\n\r\n")
        assert not caller.is_closed

    @pytest.mark.parametrize("status", ["204 No Content", "304 Not Modified"])
    def test_answers_without_body(self, status):
        bench = PathBench()
        caller, target = bench.sent(request())
        target.received()
        head = f"HTTP/1.1 {status}\r\nContent-Length: 5\r\n\r\n".encode()
        target.send(head)
        assert status_of(caller.received()) == int(status[:3])
        caller.send(request(X_Request_Id="next"))
        assert request_id_of(target.received()) == "next"
        target.send(answer(b"body"))
        assert caller.received().endswith(b"body")

    def test_answer_to_head_and_then_another(self):
        bench = PathBench()
        caller, target = bench.sent(request("HEAD"))
        target.received()
        target.send(answer(b"hello")[:-5])
        got = caller.received()
        assert header_of(got, "Content-Length") == "5"
        caller.send(request())
        assert target.received().startswith(b"GET")
        target.send(answer(b"body"))
        assert caller.received().endswith(b"body")

    def test_interim_answers_are_dropped(self):
        bench = PathBench()
        caller, target = bench.sent(request())
        target.send(b"HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n" + answer())
        got = caller.received()
        assert status_of(got) == 200
        assert header_of(got, "A") is None

    def test_unasked_bytes_close_an_idle_connection(self):
        bench = PathBench()
        caller, target = bench.sent(request())
        target.send(answer())
        target.send(b"x")
        assert target.transport.aborted
        caller.send(request())
        assert len(bench.reactor.dials) == 1

    def test_connection_of_an_early_answer_is_not_reused(self):
        bench = PathBench()
        caller = bench.caller()
        caller.send(order(b"x" * 70_000, Content_Length="80000"))
        target = bench.accept()
        target.send(answer(b"no", "413 Too Large"))
        assert status_of(caller.received()) == 413
        assert target.transport.aborted
        assert caller.is_closed


class TestConnections:
    def test_idle_connections_age_out(self):
        bench = PathBench()
        caller, target = bench.sent(request())
        target.send(answer())
        bench.reactor.pump([0.5] * int(2 * MAX_IDLE_S + 2))
        assert target.transport.aborted
        assert bench.path.pool.open_by_address() == {"127.0.0.1:1000": 0}

    def test_connections_stay_below_the_slots(self):
        bench = PathBench()
        callers = [bench.caller() for _ in range(12)]
        for caller in callers:
            caller.send(request())
        ports = [dial.port for dial in bench.reactor.dials]
        assert ports == [1000] * 4 + [1001] * 4
        for _ in range(8):
            bench.accept().send(answer())
        assert bench.path.pool.open_by_address() == {
            "127.0.0.1:1000": 4,
            "127.0.0.1:1001": 4,
        }

    def test_slow_reader_pauses_the_target(self):
        bench = PathBench()
        caller, target = bench.sent(request())
        target.send(answer(b"x" * 1000)[:-1])
        assert caller.transport.producer is not None
        caller.transport.producer.pauseProducing()
        assert target.transport.producerState == "paused"
        caller.transport.producer.resumeProducing()
        target.send(b"x")
        assert caller.transport.producer is None

    def test_slow_target_pauses_the_caller(self):
        bench = PathBench()
        caller = bench.caller()
        caller.send(order(b"x" * 70_000, Content_Length="80000"))
        target = bench.accept()
        target.transport.producer.pauseProducing()
        assert caller.transport.producerState == "paused"
        target.transport.producer.resumeProducing()
        caller.send(b"x" * 10_000)
        assert target.received().endswith(b"\r\n\r\n" + b"x" * 80_000)
        assert target.transport.producer is None

    def test_caller_that_cuts_its_upload_cancels(self):
        bench = PathBench()
        caller = bench.caller()
        caller.send(order(b"x" * 70_000, Content_Length="80000"))
        target = bench.accept()
        caller.protocol.readConnectionLost()
        got = caller.received()
        assert (status_of(got), outcome_of(got)) == (400, "unknown")
        assert target.transport.aborted
