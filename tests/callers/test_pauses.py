"""Process pauses, full backend servers, a planned stop and silent callers."""

from __future__ import annotations

from gentianhitch.callers.connection import IDLE_TIMEOUT_S
from gentianhitch.callers.connection import LEAVING_IDLE_S
from tests.builders_path import FakeSelector
from tests.builders_path import PathHarness
from tests.builders_path import build_targets
from tests.builders_path import header_of
from tests.builders_path import make_order
from tests.builders_path import make_request
from tests.builders_path import make_response
from tests.builders_path import outcome_of
from tests.builders_path import status_of


class TestProcessPause:
    def test_order_is_not_written_once_freshness_is_lost(self):
        harness = PathHarness()
        caller = harness.caller()
        caller.send(make_order())
        harness.agreement.fresh = False
        target = harness.accept()
        assert target.received() == b""
        got = caller.received()
        assert (status_of(got), outcome_of(got)) == (503, "not-run")
        assert harness.selector.outcomes == ["not_sent"]

    def test_order_is_not_written_after_its_deadline(self):
        harness = PathHarness()
        caller = harness.caller()
        caller.send(make_order())
        # After a pause, the connection event is handled before the expired timer.
        harness.reactor.rightNow += 60
        target = harness.accept()
        assert target.received() == b""
        got = caller.received()
        assert (status_of(got), outcome_of(got)) == (504, "not-run")

    def test_timer_that_fires_after_the_deadline_refuses(self):
        # A second timer was set to a negative delay, which reactors refuse.
        harness = PathHarness()
        caller, _ = harness.send_to_target(make_request())
        harness.reactor.advance(60)
        got = caller.received()
        assert (status_of(got), outcome_of(got)) == (504, "unknown")


class TestQueue:
    def make_harness(self):
        return PathHarness(FakeSelector(build_targets(count=1, slots=1)))

    def test_request_waits_for_a_slot(self):
        harness = self.make_harness()
        first, target = harness.send_to_target(make_request())
        second = harness.caller()
        second.send(make_request(path="/stock/2"))
        assert harness.reactor.connect_attempts == []
        target.received()
        target.send(make_response(b"one"))
        assert b"/stock/2" in target.received()
        target.send(make_response(b"two"))
        assert second.received().endswith(b"two")

    def test_queued_request_is_refused_as_not_run_at_its_deadline(self):
        harness = self.make_harness()
        harness.send_to_target(make_order())
        second = harness.caller()
        second.send(make_order(Gentianhitch_Deadline_Ms="100"))
        harness.reactor.advance(0.1)
        got = second.received()
        assert (status_of(got), outcome_of(got)) == (503, "not-run")

    def test_request_of_a_disconnected_caller_leaves_the_queue(self):
        harness = self.make_harness()
        first, target = harness.send_to_target(make_request())
        second = harness.caller()
        second.send(make_request(path="/stock/2"))
        second.close()
        target.received()
        target.send(make_response(b"one"))
        assert target.received() == b""
        assert set(harness.selector.in_flight_by_name.values()) == {0}


class TestPlannedStop:
    def test_connections_close_after_complete_responses(self):
        harness = PathHarness()
        caller, target = harness.send_to_target(make_request())
        done = []
        harness.path.begin_leaving()
        harness.path.when_idle().addCallback(done.append)
        assert done == []
        target.send(make_response(b"whole"))
        got = caller.received()
        assert header_of(got, "Connection") == "close"
        assert got.endswith(b"whole")
        assert caller.transport.disconnecting
        assert not caller.transport.aborted
        assert len(done) == 1

    def test_idle_connections_close_and_late_requests_are_served(self):
        harness = PathHarness()
        idle, late = harness.caller(), harness.caller()
        harness.path.begin_leaving()
        late.send(make_request())
        harness.accept().send(make_response(b"served"))
        assert late.received().endswith(b"served")
        harness.reactor.pump([0.5] * int(2 * LEAVING_IDLE_S + 2))
        assert idle.transport.disconnecting

    def test_when_idle_fires_at_once_without_requests(self):
        harness = PathHarness()
        done = []
        harness.path.when_idle().addCallback(done.append)
        assert len(done) == 1


class TestSilentCallers:
    def test_idle_connection_is_closed_after_a_timeout(self):
        harness = PathHarness()
        caller = harness.caller()
        harness.reactor.pump([0.5] * int(2 * IDLE_TIMEOUT_S + 2))
        assert caller.transport.disconnecting
        assert caller.received() == b""

    def test_incomplete_head_times_out(self):
        harness = PathHarness()
        caller = harness.caller()
        caller.send(b"GET /stock/1 HTTP/1.1\r\n")
        harness.reactor.pump([0.5] * 22)
        got = caller.received()
        assert (status_of(got), outcome_of(got)) == (408, "not-run")

    def test_stalled_response_is_aborted(self):
        harness = PathHarness()
        caller, target = harness.send_to_target(make_request())
        target.send(make_response(b"hello")[:-1])
        harness.reactor.pump([0.5] * 62)
        assert caller.transport.aborted
        assert target.transport.aborted
        assert harness.selector.outcomes == ["silent"]
