from __future__ import annotations

import pytest

from gentianhitch.backend_servers.errors import TruncatedResponseError
from gentianhitch.callers.refusals import Cause
from tests.builders_dispatch import make_response
from tests.builders_proxy import make_route
from tests.builders_runs import DECLINED
from tests.builders_runs import Run


class TestIdempotent:
    def test_forwards_a_good_response(self) -> None:
        run = Run(make_route())
        run.waiter(0).response_received(make_response())
        assert [status for status, _ in run.owner.responses] == [200]

    def test_retries_at_another_server_after_an_error_response(self) -> None:
        run = Run(make_route())
        run.waiter(0).response_received(make_response(500))
        run.waiter(1).response_received(make_response())
        assert [status for status, _ in run.owner.responses] == [200]
        assert len({each.server for each in run.connections.made}) == 2

    def test_forwards_the_error_response_when_no_attempt_is_left(self) -> None:
        run = Run(make_route(max_attempts=2))
        run.waiter(0).response_received(make_response(500))
        run.waiter(1).response_received(make_response(500))
        assert [status for status, _ in run.owner.responses] == [500]
        assert run.writes == 2

    def test_hedges_a_pending_request_and_forwards_the_first_response(self) -> None:
        run = Run(make_route(objective_s=0.4))
        run.clock.advance(2.5)
        assert run.writes == 2
        run.waiter(1).response_received(make_response())
        assert [status for status, _ in run.owner.responses] == [200]
        assert run.connections.made[0].closed

    def test_an_unusable_response_is_not_forwarded(self) -> None:
        run = Run(make_route())
        run.waiter(0).response_received(
            make_response(200, (b"Content-Encoding", b"gzip"))
        )
        run.waiter(1).response_received(make_response())
        assert len(run.owner.responses) == 1

    def test_an_error_response_waits_for_the_other_attempt(self) -> None:
        # Guards against a hedged request that fails with the first server's 500 while
        # the second server could still respond.
        run = Run(make_route(objective_s=0.4, max_attempts=2))
        run.clock.advance(2.5)
        run.waiter(0).response_received(make_response(500))
        assert run.owner.responses == []
        run.waiter(1).response_received(make_response())
        assert [status for status, _ in run.owner.responses] == [200]


class TestNotIdempotent:
    route = make_route(idempotent=False)

    def test_is_not_sent_again_after_a_truncated_response(self) -> None:
        run = Run(self.route)
        run.waiter(0).response_failed(TruncatedResponseError("cut"))
        run.clock.advance(10)
        assert run.writes == 1
        assert run.owner.failures == [(Cause.TRUNCATED_RESPONSE, True)]

    def test_is_never_hedged(self) -> None:
        run = Run(self.route)
        run.clock.advance(2.9)
        assert run.writes == 1

    def test_is_sent_to_another_server_after_a_decline(self) -> None:
        run = Run(self.route)
        run.waiter(0).response_received(make_response(503, DECLINED))
        assert run.writes == 2
        run.waiter(1).response_received(make_response())
        assert [status for status, _ in run.owner.responses] == [200]

    def test_fails_as_not_run_after_all_attempts_were_declined(self) -> None:
        run = Run(self.route)
        run.waiter(0).response_received(make_response(503, DECLINED))
        run.waiter(1).response_received(make_response(503, DECLINED))
        assert run.owner.failures == [(Cause.SHED, False)]

    def test_a_replaced_server_is_not_tried_again(self) -> None:
        # Guards against requests to an address that another service has taken over: the
        # entry of a stopped server stayed listed for 4.5 s and got 200 requests.
        run = Run(self.route)
        run.waiter(0).response_received(make_response(421))
        replaced = run.connections.made[0].server
        chosen = {run.balancer.choose("stock", make_route(), 1.0) for _ in range(30)}
        assert replaced not in {each.id for each in chosen if each}

    @pytest.mark.parametrize("status", [408, 429, 503])
    def test_a_status_without_the_mark_does_not_say_that_nothing_ran(
        self, status: int
    ) -> None:
        # Guards against an unmarked 503 that is forwarded: callers take it for "not
        # run", and repeat a request that may have run.
        run = Run(self.route)
        run.waiter(0).response_received(make_response(status))
        assert run.writes == 1
        assert run.owner.responses == []
        assert run.owner.failures == [(Cause.INVALID_RESPONSE, True)]

    def test_is_sent_to_another_server_after_a_failed_connect(self) -> None:
        run = Run(self.route, unreachable=("s-1", "s-2"))
        assert run.writes == 1
        assert run.connections.made[0].server == "s-3"

    def test_uses_only_connections_that_were_used_recently(self) -> None:
        assert Run(self.route).connections.max_idle_s[0] < 10


class TestEnds:
    # Guards against reporting a sent request as not run when the instance stops before
    # the response has come.
    def test_a_sent_request_that_is_stopped_may_have_run(self) -> None:
        run = Run(make_route(idempotent=False))
        run.dispatch.fail_now()
        assert run.owner.failures == [(Cause.SILENT, True)]
        run.dispatch.fail_now()
        assert len(run.owner.failures) == 1

    def test_fails_at_the_deadline(self) -> None:
        run = Run(make_route(idempotent=False))
        run.clock.advance(3.0)
        assert run.owner.failures == [(Cause.SILENT, True)]
        assert run.connections.made[0].closed

    def test_cancelling_closes_the_connection_to_the_server(self) -> None:
        run = Run(make_route())
        run.dispatch.cancel()
        assert run.connections.made[0].closed
        assert run.owner.responses == run.owner.failures == []

    def test_fails_as_not_run_without_a_reachable_server(self) -> None:
        run = Run(make_route(), unreachable=("s-1", "s-2", "s-3"))
        assert run.owner.failures == [(Cause.NO_CONNECTION, False)]

    def test_sends_the_remaining_time_and_the_expected_server(self) -> None:
        run = Run(make_route())
        sent = run.connections.made[0].sent[0]
        assert b"X-Gentianhitch-Request-Deadline: 3000\r\n" in sent
        assert b"X-Gentianhitch-Expected-Instance: s-" in sent
        assert b"X-Gentianhitch-Tenant-Name: north\r\n" in sent
        assert sent.count(b"X-Gentianhitch-Request-Id") == 1


class TestSlowConnects:
    # Guards against a request at more servers than its route allows: a hedge was sent
    # beside a retry whose connection was still being opened, and didn't count it.
    @pytest.mark.parametrize("max_attempts", [2, 3])
    def test_attempts_that_connect_count(self, max_attempts: int) -> None:
        run = Run(make_route(max_attempts=max_attempts))
        run.connections.is_slow = True
        run.waiter(0).response_received(make_response(500))
        for _ in range(25):
            run.clock.advance(0.1)
        run.connections.finish_connecting()
        assert run.writes <= max_attempts

    def test_a_declined_one_waits_for_those_that_connect(self) -> None:
        run = Run(make_route(max_attempts=2))
        run.connections.is_slow = True
        for _ in range(20):
            run.clock.advance(0.1)
        run.waiter(0).response_received(make_response(503, DECLINED))
        run.connections.finish_connecting()
        assert run.writes == 2
