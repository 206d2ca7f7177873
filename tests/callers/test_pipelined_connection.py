from __future__ import annotations

import pytest
from twisted.internet.error import ConnectionDone
from twisted.internet.error import ConnectionLost
from twisted.python.failure import Failure

from gentianhitch.callers.connection_ends import EndReason
from gentianhitch.callers.pipelined_connection import FIRST_REQUEST_S
from gentianhitch.callers.pipelined_connection import LINGER_S
from gentianhitch.callers.pipelined_connection import MAX_PIPELINED_REQUESTS
from gentianhitch.proxy.model import CallerLimits
from tests.builders_callers import GET
from tests.builders_callers import Scenario


class TestRequests:
    def test_reserved_and_hop_by_hop_headers_are_not_forwarded(self) -> None:
        scenario = Scenario()
        scenario.send(
            "X-Gentianhitch-Request-Id: r-1",
            "X-Gentianhitch-Request-Deadline: 2500",
            "X-Gentianhitch-Tenant-Name: forged",
            "X-Gentianhitch-Expected-Instance: forged",
            "Authorization: Bearer key-1",
            "Connection: X-Hop",
            "X-Hop: 1",
            "X-Other: 2",
        )
        request = scenario.served[0].request
        assert (request.host, request.path) == ("shop.example", "/stock/1")
        assert request.target == b"/stock/1?x=%2F"
        assert (request.key, request.remaining_s) == ("key-1", 2.5)
        assert {name.lower() for name, _ in request.headers} == {
            b"host",
            b"x-gentianhitch-request-id",
            b"x-other",
        }

    def test_reads_a_chunked_body(self) -> None:
        scenario = Scenario()
        scenario.send(
            "Transfer-Encoding: chunked", body=b"2\r\nab\r\n1\r\nc\r\n0\r\n\r\n"
        )
        assert scenario.served[0].request.body == b"abc"

    def test_sends_continue_for_a_delayed_body(self) -> None:
        scenario = Scenario()
        scenario.send("Content-Length: 2", "Expect: 100-continue")
        assert scenario.written.startswith(b"HTTP/1.1 100")
        scenario.connection.dataReceived(b"ab")
        assert scenario.served[0].request.body == b"ab"

    @pytest.mark.parametrize(
        ("data", "status"),
        [
            (b"\x16\x03\x01 nonsense\r\n\r\n", b"400"),
            (b"GET / HTTP/1.1\r\nHost: h\r\nX: " + b"x" * 20_000 + b"\r\n\r\n", b"431"),
            (
                b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 99\r\n\r\n" + b"x" * 99,
                b"413",
            ),
            (
                b"GET / HTTP/1.1\r\nHost: h\r\n"
                b"X-Gentianhitch-Request-Deadline: soon\r\n\r\n",
                b"400",
            ),
        ],
    )
    def test_refuses_bad_input_and_closes(self, data: bytes, status: bytes) -> None:
        scenario = Scenario(CallerLimits(max_body_bytes=50))
        scenario.connection.dataReceived(data)
        assert scenario.written.startswith(b"HTTP/1.1 " + status)
        assert scenario.transport.half_closed
        assert scenario.served == []


class TestPipelining:
    def test_responses_keep_the_order_of_the_requests(self) -> None:
        scenario = Scenario()
        scenario.send()
        scenario.send()
        scenario.served[1].response.send(b"second")
        assert scenario.written == b""
        scenario.served[0].response.send(b"first")
        assert scenario.written == b"firstsecond"

    def test_requests_behind_one_that_closes_are_not_served(self) -> None:
        scenario = Scenario()
        scenario.send("Connection: close")
        scenario.send()
        (first,) = scenario.served
        first.response.send(b"first")
        assert scenario.transport.half_closed
        first.response.send(b"late")
        assert scenario.written == b"first"

    def test_a_disconnect_cancels_all_requests(self) -> None:
        scenario = Scenario()
        scenario.send()
        scenario.connection.connectionLost()
        assert scenario.served[0].is_cancelled


CLOSE = b"GET /stock/1 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
OLD = b"GET /stock/1 HTTP/1.0\r\nHost: h\r\n\r\n"
LONG_HEAD = b"GET / HTTP/1.1\r\nHost: h\r\nX: " + b"x" * 20_000 + b"\r\n\r\n"
LONG_BODY = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 99\r\n\r\n" + b"x" * 99


class TestLastResponse:
    """Pattern: requests on their way behind a response that closes the connection."""

    def end_by(self, cause: str, *, at_once: bool) -> Scenario:
        """Return a connection on which requests ran when ``cause`` ended it."""
        scenario = Scenario(CallerLimits(max_body_bytes=50, head_timeout_s=3.0))
        requests = {
            "stop": [GET, GET, GET],
            "close on the first": [CLOSE, GET, GET],
            "close on the second": [GET, CLOSE, GET],
            "HTTP/1.0": [GET, OLD, GET],
            "malformed": [GET, GET, b"\x16\x03\x01\r\n\r\n", GET],
            "long head": [GET, GET, LONG_HEAD, GET],
            "long body": [GET, GET, LONG_BODY, GET],
            "idle": [GET, GET],
            "unfinished": [GET, GET, b"GET / HTTP/1.1\r\nHost:"],
        }[cause]
        pieces = [b"".join(requests)] if at_once else requests
        for piece in pieces:
            scenario.connection.dataReceived(piece)
        if cause == "stop":
            scenario.factory.is_leaving = True
            scenario.connection.dataReceived(GET)
        return scenario

    # Guards against orders that ran and whose callers, told to send them again, placed
    # them twice: a response closed the connection before others that were under way.
    @pytest.mark.parametrize("at_once", [True, False])
    @pytest.mark.parametrize(
        ("cause", "count"),
        [
            ("stop", 3),
            ("close on the first", 1),
            ("close on the second", 2),
            ("HTTP/1.0", 2),
            ("malformed", 2),
            ("long head", 2),
            ("long body", 2),
            ("idle", 2),
            ("unfinished", 2),
        ],
    )
    def test_is_that_of_the_last_request_served(
        self, cause: str, count: int, at_once: bool
    ) -> None:
        scenario = self.end_by(cause, at_once=at_once)
        assert len(scenario.served) == count
        for served in reversed(scenario.served):
            assert not scenario.transport.half_closed
            number = scenario.served.index(served)
            served.response.send(b"answer %d;" % number)
        scenario.factory.close_idle()
        scenario.connection.check(3.1)
        scenario.connection.check(30.0)
        scenario.connection.dataReceived(GET)
        assert not any(served.is_cancelled for served in scenario.served)
        assert len(scenario.served) == count
        assert scenario.transport.half_closed
        expected = b"".join(b"answer %d;" % number for number in range(count))
        assert scenario.written.startswith(expected)
        refusal = scenario.written.removeprefix(expected)
        assert refusal == b"" or b"\r\nconnection: close\r\n" in refusal.lower()

    @pytest.mark.parametrize("order", [(0, 1, 2), (2, 1, 0), (1, 2, 0)])
    def test_alone_says_that_it_closes(self, order: tuple[int, ...]) -> None:
        scenario = self.end_by("stop", at_once=True)
        said = {}
        for number in order:
            response = scenario.served[number].response
            said[number] = response.will_close
            response.send(b"answer")
        assert said == {0: False, 1: False, 2: True}

    def test_closes_although_it_was_ready_before_the_stop(self) -> None:
        scenario = Scenario()
        scenario.send()
        scenario.send()
        scenario.served[1].response.send(b"second;")
        scenario.factory.is_leaving = True
        scenario.send()
        scenario.served[0].response.send(b"first;")
        assert scenario.written == b"first;second;"
        assert scenario.transport.half_closed

    # Guards against a reset that drops the last answers: reading was paused when the
    # connection closed, and unread requests were left in the kernel.
    def test_reading_goes_on_until_the_end(self) -> None:
        scenario = Scenario()
        scenario.connection.dataReceived(GET * MAX_PIPELINED_REQUESTS)
        assert scenario.transport.producerState == "paused"
        scenario.factory.is_leaving = True
        for served in reversed(scenario.served):
            served.response.send(b"answer")
        assert scenario.transport.half_closed
        assert scenario.transport.producerState == "producing"

    def test_an_idle_connection_takes_one_more_request_in_a_stop(self) -> None:
        scenario = Scenario()
        scenario.factory.is_leaving = True
        scenario.connection.dataReceived(GET + GET)
        (served,) = scenario.served
        served.response.send(b"answer")
        assert scenario.transport.half_closed


class TestTimeouts:
    def test_an_unfinished_request_times_out(self) -> None:
        scenario = Scenario()
        scenario.connection.dataReceived(b"GET / HTTP/1.1\r\nHost:")
        scenario.connection.check(10.0)
        assert scenario.written.startswith(b"HTTP/1.1 408")

    def test_an_idle_connection_is_closed_after_the_limit(self) -> None:
        scenario = Scenario(CallerLimits(idle_timeout_s=5.0))
        scenario.connection.check(5.0)
        assert not scenario.transport.half_closed
        scenario.connection.check(6.5)
        assert scenario.transport.half_closed

    def test_a_closing_connection_is_reset_after_the_linger_time(self) -> None:
        scenario = Scenario()
        scenario.clock.advance(FIRST_REQUEST_S)
        scenario.connection.close_if_idle()
        assert not scenario.transport.aborted
        scenario.connection.check(FIRST_REQUEST_S + LINGER_S + 0.1)
        assert scenario.transport.aborted


class TestPlannedStop:
    def test_connections_close_after_their_responses(self) -> None:
        scenario = Scenario()
        scenario.factory.is_leaving = True
        scenario.send()
        assert scenario.served[0].response.will_close

    def test_busy_connections_are_left_open(self) -> None:
        scenario = Scenario()
        scenario.send()
        scenario.factory.close_idle()
        assert not scenario.transport.half_closed

    def test_on_idle_is_called_after_the_last_response(self) -> None:
        scenario = Scenario()
        scenario.send()
        notifications: list[bool] = []
        scenario.factory.on_idle = lambda: notifications.append(True)
        scenario.factory.is_leaving = True
        scenario.served[0].response.send(b"done")
        assert notifications == [True]

    # Guards against the loss of a ready response when the instance stops while an
    # earlier request of the same connection still has no response.
    def test_responses_after_a_hanging_request_are_sent_before_the_end(self) -> None:
        scenario = Scenario()
        notifications: list[bool] = []
        scenario.send()
        scenario.send()
        scenario.factory.is_leaving = True
        scenario.served[1].response.send(b"ready")
        scenario.factory.on_idle = lambda: notifications.append(True)
        assert scenario.transport.value() == b""
        scenario.factory.respond_now()
        assert scenario.transport.value() == b"given up;ready"
        assert notifications == [True]


class TestEnds:
    @pytest.mark.parametrize(
        ("failure", "reason"),
        [
            (ConnectionDone(), EndReason.CALLER_CLOSED),
            (ConnectionLost(), EndReason.CONNECTION_LOST),
        ],
    )
    def test_of_the_caller_are_told_from_lost_connections(
        self, failure: Exception, reason: EndReason
    ) -> None:
        scenario = Scenario()
        scenario.connection.connectionLost(Failure(failure))
        assert [end.reason for end in scenario.ends] == [reason]

    def test_name_the_requests_whose_responses_were_not_delivered(self) -> None:
        scenario = Scenario()
        scenario.send("X-Gentianhitch-Request-Id: r-1")
        scenario.served[0].response.send(b"answer")
        scenario.connection.connectionLost(Failure(ConnectionLost()))
        assert scenario.ends[0].undelivered_requests == (b"r-1",)

    def test_by_the_caller_leave_nothing_undelivered(self) -> None:
        scenario = Scenario()
        scenario.factory.is_leaving = True
        scenario.send("X-Gentianhitch-Request-Id: r-1")
        scenario.served[0].response.send(b"answer")
        scenario.connection.connectionLost(Failure(ConnectionDone()))
        assert [end.reason for end in scenario.ends] == [EndReason.LAST_RESPONSE]
        assert scenario.ends[0].undelivered_requests == ()

    def test_of_idle_connections_have_no_undelivered_request(self) -> None:
        scenario = Scenario(CallerLimits(idle_timeout_s=1.0))
        scenario.send("X-Gentianhitch-Request-Id: r-1")
        scenario.served[0].response.send(b"answer")
        scenario.factory.doStart()
        scenario.clock.pump([0.5] * 6)
        scenario.connection.connectionLost(Failure(ConnectionDone()))
        assert [end.reason for end in scenario.ends] == [EndReason.IDLE]
        assert scenario.ends[0].undelivered_requests == ()

    def test_in_an_exit_are_not_the_callers(self) -> None:
        scenario = Scenario()
        scenario.factory.is_exiting = True
        scenario.connection.connectionLost(Failure(ConnectionLost()))
        assert scenario.ends[0].reason is EndReason.EXIT
