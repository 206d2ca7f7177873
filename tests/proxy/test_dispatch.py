from __future__ import annotations

from random import Random
from typing import Any

import attrs
import pytest
from twisted.internet.task import Clock

from gentianhitch.backend_servers.complete_responses import CompleteResponse
from gentianhitch.backend_servers.errors import ConnectError
from gentianhitch.backend_servers.errors import TruncatedResponseError
from gentianhitch.callers.complete_requests import CallerRequest
from gentianhitch.callers.refusals import Cause
from gentianhitch.platform.caller_interface import HEADER_NAMES
from gentianhitch.proxy.balancing import Balancer
from gentianhitch.proxy.dispatch import Dispatch
from gentianhitch.proxy.dispatch import DispatchContext
from gentianhitch.proxy.model import BackendServer
from gentianhitch.proxy.model import Route
from gentianhitch.proxy.retry_budget import RetryBudget
from tests.builders_proxy import make_route
from tests.builders_proxy import make_server
from tests.builders_proxy import make_workspace


@attrs.define(eq=False)
class FakeConnection:
    """Record what is written to one server."""

    server: str
    waiter: Any
    sent: list[bytes] = attrs.Factory(list)
    closed: bool = False

    def send(self, request_id: bytes, data: bytes, waiter: Any) -> None:
        self.sent.append(data)

    def close(self) -> None:
        self.closed = True


@attrs.define(eq=False)
class FakeConnections:
    """Connect at once, except to servers that are named unreachable."""

    unreachable: set[str] = attrs.Factory(set)
    made: list[FakeConnection] = attrs.Factory(list)
    max_idle_s: list[float] = attrs.Factory(list)

    def acquire(
        self, key: Any, address: Any, waiter: Any, *, max_idle_s: float
    ) -> None:
        self.max_idle_s.append(max_idle_s)
        if key[0] in self.unreachable:
            waiter.connect_failed(ConnectError("refused"))
            return
        connection = FakeConnection(key[0], waiter)
        self.made.append(connection)
        waiter.connected(connection)

    def servers_with_idle_connections(self) -> frozenset[str]:
        return frozenset()


@attrs.define(eq=False)
class Owner:
    """Keep the result of a dispatch."""

    answers: list[tuple[int, str]] = attrs.Factory(list)
    failures: list[tuple[Cause, bool]] = attrs.Factory(list)

    def dispatch_succeeded(
        self, answer: CompleteResponse, server: BackendServer
    ) -> None:
        self.answers.append((answer.status, server.id))

    def dispatch_failed(self, cause: Cause, *, may_have_run: bool) -> None:
        self.failures.append((cause, may_have_run))

    def log_dispatch_event(
        self, event: str, server: BackendServer, detail: str
    ) -> None:
        pass


def make_request(method: bytes = b"GET") -> CallerRequest:
    return CallerRequest(
        method=method,
        target=b"/stock/1",
        host="shop.example",
        headers=[(b"X-Gentianhitch-Request-Id", b"r-1")],
        body=b"",
        keep_alive=True,
        request_id=b"r-1",
        remaining_s=10.0,
        key=None,
        has_length=False,
    )


def make_answer(status: int = 200, *headers: tuple[bytes, bytes]) -> CompleteResponse:
    signed = (b"X-Gentianhitch-Response-Signature", b"sig")
    return CompleteResponse(status, b"", [signed, *headers], b"body", True)


DECLINED = (b"X-Gentianhitch-Not-Executed", b"1")


class Run:
    """One dispatch over servers s-1, s-2 and s-3."""

    def __init__(self, route: Route, unreachable: tuple[str, ...] = ()) -> None:
        self.clock = Clock()
        self.connections = FakeConnections(set(unreachable))
        self.balancer = Balancer("e-1", "a", Random(1))
        servers = [make_server(name) for name in ("s-1", "s-2", "s-3")]
        self.balancer.update(servers, 0.0)
        self.owner = Owner()
        context = DispatchContext(
            self.clock,
            self.balancer,
            self.connections,  # type: ignore[arg-type]
            HEADER_NAMES,
            lambda: RetryBudget(0.2, 56.0, 10.0),
            lambda: 1.0,
        )
        self.dispatch = Dispatch(
            context, make_request(), route, "stock", make_workspace(), 3.0, self.owner
        )
        self.dispatch.start()

    @property
    def writes(self) -> int:
        return sum(len(each.sent) for each in self.connections.made)

    def waiter(self, index: int) -> Any:
        return self.connections.made[index].waiter


class TestIdempotent:
    def test_passes_a_good_answer_on(self) -> None:
        run = Run(make_route())
        run.waiter(0).response_received(make_answer())
        assert [status for status, _ in run.owner.answers] == [200]

    def test_repeats_after_an_error_at_another_server(self) -> None:
        run = Run(make_route())
        run.waiter(0).response_received(make_answer(500))
        run.waiter(1).response_received(make_answer())
        assert [status for status, _ in run.owner.answers] == [200]
        assert len({each.server for each in run.connections.made}) == 2

    def test_passes_the_error_on_when_no_attempt_is_left(self) -> None:
        run = Run(make_route(max_attempts=2))
        run.waiter(0).response_received(make_answer(500))
        run.waiter(1).response_received(make_answer(500))
        assert [status for status, _ in run.owner.answers] == [500]
        assert run.writes == 2

    def test_hedges_an_unanswered_request_and_takes_the_first_answer(self) -> None:
        run = Run(make_route(objective_s=0.4))
        run.clock.advance(2.5)
        assert run.writes == 2
        run.waiter(1).response_received(make_answer())
        assert [status for status, _ in run.owner.answers] == [200]
        assert run.connections.made[0].closed

    def test_a_spoiled_answer_is_not_passed_on(self) -> None:
        run = Run(make_route())
        run.waiter(0).response_received(
            make_answer(200, (b"Content-Encoding", b"gzip"))
        )
        run.waiter(1).response_received(make_answer())
        assert len(run.owner.answers) == 1

    def test_an_error_waits_for_the_other_attempt(self) -> None:
        # Cause: a hedged request ended with the first server's 500.
        run = Run(make_route(objective_s=0.4, max_attempts=2))
        run.clock.advance(2.5)
        run.waiter(0).response_received(make_answer(500))
        assert run.owner.answers == []
        run.waiter(1).response_received(make_answer())
        assert [status for status, _ in run.owner.answers] == [200]


class TestNotIdempotent:
    route = make_route(idempotent=False)

    def test_is_never_written_twice_after_a_cut(self) -> None:
        run = Run(self.route)
        run.waiter(0).response_failed(TruncatedResponseError("cut"))
        run.clock.advance(10)
        assert run.writes == 1
        assert run.owner.failures == [(Cause.TRUNCATED_RESPONSE, True)]

    def test_is_never_hedged(self) -> None:
        run = Run(self.route)
        run.clock.advance(2.9)
        assert run.writes == 1

    def test_goes_elsewhere_after_its_server_declined(self) -> None:
        run = Run(self.route)
        run.waiter(0).response_received(make_answer(503, DECLINED))
        assert run.writes == 2
        run.waiter(1).response_received(make_answer())
        assert [status for status, _ in run.owner.answers] == [200]

    def test_a_refusal_after_declines_is_known_not_to_have_run(self) -> None:
        run = Run(self.route)
        run.waiter(0).response_received(make_answer(503, DECLINED))
        run.waiter(1).response_received(make_answer(503, DECLINED))
        assert run.owner.failures == [(Cause.SHED, False)]

    def test_a_replaced_server_is_not_tried_again(self) -> None:
        # Cause: an entry outlived its server by 4.5 s and drew two hundred requests
        # to the address, which another service had by then.
        run = Run(self.route)
        run.waiter(0).response_received(make_answer(421))
        gone = run.connections.made[0].server
        chosen = {run.balancer.choose("stock", make_route(), 1.0) for _ in range(30)}
        assert gone not in {each.id for each in chosen if each}

    @pytest.mark.parametrize("status", [408, 429, 503])
    def test_a_status_without_the_mark_does_not_say_that_nothing_ran(
        self, status: int
    ) -> None:
        # Cause: an unmarked 503 was passed on, which callers take for "not run".
        run = Run(self.route)
        run.waiter(0).response_received(make_answer(status))
        assert run.writes == 1
        assert run.owner.answers == []
        assert run.owner.failures == [(Cause.INVALID_RESPONSE, True)]

    def test_goes_elsewhere_when_nothing_was_written(self) -> None:
        run = Run(self.route, unreachable=("s-1", "s-2"))
        assert run.writes == 1
        assert run.connections.made[0].server == "s-3"

    def test_uses_only_connections_that_were_used_lately(self) -> None:
        assert Run(self.route).connections.max_idle_s[0] < 10


class TestEnds:
    # Guards against a request of unknown outcome that is told not to have run, when an
    # instance ends before the answer has come.
    def test_one_that_was_sent_and_is_given_up_may_have_run(self) -> None:
        run = Run(make_route(idempotent=False))
        run.dispatch.give_up()
        assert run.owner.failures == [(Cause.SILENT, True)]
        run.dispatch.give_up()
        assert len(run.owner.failures) == 1

    def test_ends_at_the_deadline(self) -> None:
        run = Run(make_route(idempotent=False))
        run.clock.advance(3.0)
        assert run.owner.failures == [(Cause.SILENT, True)]
        assert run.connections.made[0].closed

    def test_a_cancelled_request_is_dropped_at_the_server(self) -> None:
        run = Run(make_route())
        run.dispatch.cancel()
        assert run.connections.made[0].closed
        assert run.owner.answers == run.owner.failures == []

    def test_no_server_is_a_refusal_that_did_not_run(self) -> None:
        run = Run(make_route(), unreachable=("s-1", "s-2", "s-3"))
        assert run.owner.failures == [(Cause.NO_CONNECTION, False)]

    def test_the_server_is_told_what_is_left(self) -> None:
        run = Run(make_route())
        sent = run.connections.made[0].sent[0]
        assert b"X-Gentianhitch-Request-Deadline: 3000\r\n" in sent
        assert b"X-Gentianhitch-Expected-Instance: s-" in sent
        assert b"X-Gentianhitch-Tenant-Name: north\r\n" in sent
        assert sent.count(b"X-Gentianhitch-Request-Id") == 1
