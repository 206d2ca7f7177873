"""A paused process, a full fleet and a planned stop."""

from __future__ import annotations

from gentianhitch.callers.connection import IDLE_TIMEOUT_S
from gentianhitch.callers.connection import LEAVING_IDLE_S
from tests.builders_path import FakeSelector
from tests.builders_path import PathBench
from tests.builders_path import answer
from tests.builders_path import build_targets
from tests.builders_path import header_of
from tests.builders_path import order
from tests.builders_path import outcome_of
from tests.builders_path import request
from tests.builders_path import status_of


class TestPause:
    def test_order_is_not_written_once_freshness_is_lost(self):
        bench = PathBench()
        caller = bench.caller()
        caller.send(order())
        bench.agreement.fresh = False
        target = bench.accept()
        assert target.received() == b""
        got = caller.received()
        assert (status_of(got), outcome_of(got)) == (503, "not-run")
        assert bench.selector.outcomes == ["not_sent"]

    def test_order_is_not_written_after_its_deadline(self):
        bench = PathBench()
        caller = bench.caller()
        caller.send(order())
        # A paused process finds the connection before it finds its timer.
        bench.reactor.rightNow += 60
        target = bench.accept()
        assert target.received() == b""
        got = caller.received()
        assert (status_of(got), outcome_of(got)) == (504, "not-run")

    def test_timer_that_fires_after_the_deadline_refuses(self):
        # The next timer was set to a time already past, which reactors refuse.
        bench = PathBench()
        caller, _ = bench.sent(request())
        bench.reactor.advance(60)
        got = caller.received()
        assert (status_of(got), outcome_of(got)) == (504, "unknown")


class TestQueue:
    def build(self):
        return PathBench(FakeSelector(build_targets(count=1, slots=1)))

    def test_request_waits_for_a_slot(self):
        bench = self.build()
        first, target = bench.sent(request())
        second = bench.caller()
        second.send(request(path="/stock/2"))
        assert bench.reactor.dials == []
        target.received()
        target.send(answer(b"one"))
        assert b"/stock/2" in target.received()
        target.send(answer(b"two"))
        assert second.received().endswith(b"two")

    def test_waiting_request_gives_up_truthfully(self):
        bench = self.build()
        bench.sent(order())
        second = bench.caller()
        second.send(order(Gentianhitch_Deadline_Ms="100"))
        bench.reactor.advance(0.1)
        got = second.received()
        assert (status_of(got), outcome_of(got)) == (503, "not-run")

    def test_caller_that_leaves_the_queue_is_not_served(self):
        bench = self.build()
        first, target = bench.sent(request())
        second = bench.caller()
        second.send(request(path="/stock/2"))
        second.close()
        target.received()
        target.send(answer(b"one"))
        assert target.received() == b""
        assert set(bench.selector.in_flight_by_name.values()) == {0}


class TestLeaving:
    def test_answers_end_connections_and_nothing_is_cut(self):
        bench = PathBench()
        caller, target = bench.sent(request())
        done = []
        bench.path.begin_leaving()
        bench.path.when_idle().addCallback(done.append)
        assert done == []
        target.send(answer(b"whole"))
        got = caller.received()
        assert header_of(got, "Connection") == "close"
        assert got.endswith(b"whole")
        assert caller.transport.disconnecting
        assert not caller.transport.aborted
        assert len(done) == 1

    def test_idle_connections_close_soon_and_late_requests_are_served(self):
        bench = PathBench()
        idle, late = bench.caller(), bench.caller()
        bench.path.begin_leaving()
        late.send(request())
        bench.accept().send(answer(b"served"))
        assert late.received().endswith(b"served")
        bench.reactor.pump([0.5] * int(2 * LEAVING_IDLE_S + 2))
        assert idle.transport.disconnecting

    def test_idle_fleet_is_idle_at_once(self):
        bench = PathBench()
        done = []
        bench.path.when_idle().addCallback(done.append)
        assert len(done) == 1


class TestSilentCallers:
    def test_idle_connection_is_closed_in_the_end(self):
        bench = PathBench()
        caller = bench.caller()
        bench.reactor.pump([0.5] * int(2 * IDLE_TIMEOUT_S + 2))
        assert caller.transport.disconnecting
        assert caller.received() == b""

    def test_head_that_never_ends_times_out(self):
        bench = PathBench()
        caller = bench.caller()
        caller.send(b"GET /stock/1 HTTP/1.1\r\n")
        bench.reactor.pump([0.5] * 22)
        got = caller.received()
        assert (status_of(got), outcome_of(got)) == (408, "not-run")

    def test_stalled_answer_breaks(self):
        bench = PathBench()
        caller, target = bench.sent(request())
        target.send(answer(b"hello")[:-1])
        bench.reactor.pump([0.5] * 62)
        assert caller.transport.aborted
        assert target.transport.aborted
        assert bench.selector.outcomes == ["silent"]
