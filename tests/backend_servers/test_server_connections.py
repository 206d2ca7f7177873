from __future__ import annotations

from typing import Any

import attrs
import pytest
from twisted.internet.error import ConnectionDone
from twisted.internet.error import ConnectionLost
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport
from twisted.python.failure import Failure

from gentianhitch.backend_servers.complete_responses import MAX_BUFFERED_BYTES
from gentianhitch.backend_servers.errors import InvalidResponseError
from gentianhitch.backend_servers.errors import TruncatedResponseError
from gentianhitch.backend_servers.server_connections import MAX_IDLE_S
from gentianhitch.backend_servers.server_connections import ServerConnection
from gentianhitch.backend_servers.server_connections import ServerConnections

KEY = ("s-1", 1)
GOOD = b"HTTP/1.1 200 OK\r\nX-Id: r-1\r\nContent-Length: 2\r\n\r\nok"
OTHER = b"HTTP/1.1 200 OK\r\nX-Id: r-0\r\nContent-Length: 3\r\n\r\nbad"


class Transport(StringTransport):
    """A transport that knows the calls of a TCP connection."""

    aborted = False

    def setTcpNoDelay(self, enabled: bool) -> None:  # noqa: N802
        pass

    def abortConnection(self) -> None:  # noqa: N802
        self.aborted = True


@attrs.define(eq=False)
class Waiter:
    """Keep what a connection tells."""

    connection: ServerConnection | None = None
    answers: list[Any] = attrs.Factory(list)
    errors: list[Any] = attrs.Factory(list)

    def connected(self, connection: ServerConnection) -> None:
        self.connection = connection

    def connect_failed(self, error: Any) -> None:
        self.errors.append(error)

    def response_received(self, answer: Any) -> None:
        self.answers.append(answer)

    def response_failed(self, error: Any) -> None:
        self.errors.append(error)


class Scenario:
    """One connection on which a request waits."""

    def __init__(self) -> None:
        self.clock = Clock()
        self.pool = ServerConnections(None, self.clock, b"X-Id")
        self.waiter = Waiter()
        self.connection = ServerConnection(self.pool, KEY, self.waiter)
        self.transport = Transport()
        self.connection.makeConnection(self.transport)
        self.connection.send(b"r-1", b"GET / HTTP/1.1\r\n\r\n", self.waiter)

    @property
    def is_reusable(self) -> bool:
        return self.pool.servers_with_idle_connections() == {"s-1"}

    def lose(self, reason: Exception) -> None:
        self.connection.connectionLost(Failure(reason))


class TestAnswers:
    @pytest.mark.parametrize("size", [1, 7, 1000])
    def test_reads_an_answer_in_pieces(self, size: int) -> None:
        scenario = Scenario()
        for start in range(0, len(GOOD), size):
            scenario.connection.dataReceived(GOOD[start : start + size])
        assert [answer.body for answer in scenario.waiter.answers] == [b"ok"]
        assert scenario.is_reusable

    def test_waits_past_the_answer_of_another_request(self) -> None:
        scenario = Scenario()
        scenario.connection.dataReceived(OTHER)
        assert scenario.waiter.answers == []
        scenario.connection.dataReceived(GOOD)
        assert [answer.body for answer in scenario.waiter.answers] == [b"ok"]
        assert not scenario.is_reusable

    def test_bytes_after_the_answer_end_the_connection_only(self) -> None:
        scenario = Scenario()
        scenario.connection.dataReceived(GOOD + GOOD)
        assert len(scenario.waiter.answers) == 1
        assert scenario.transport.aborted
        assert not scenario.is_reusable

    def test_garbage_after_the_answer_leaves_it_whole(self) -> None:
        scenario = Scenario()
        scenario.connection.dataReceived(GOOD + b"\x00\x01garbage")
        assert len(scenario.waiter.answers) == 1
        assert not scenario.is_reusable

    def test_garbage_is_no_answer(self) -> None:
        scenario = Scenario()
        scenario.connection.dataReceived(b"\x00\x01garbage\r\n\r\n")
        assert [type(error) for error in scenario.waiter.errors] == [
            InvalidResponseError
        ]

    def test_an_answer_cut_short_is_not_whole(self) -> None:
        scenario = Scenario()
        scenario.connection.dataReceived(GOOD[:-1])
        scenario.lose(ConnectionDone())
        assert [type(error) for error in scenario.waiter.errors] == [
            TruncatedResponseError
        ]

    def test_an_answer_without_length_ends_with_its_connection(self) -> None:
        scenario = Scenario()
        scenario.connection.dataReceived(b"HTTP/1.1 200 OK\r\nX-Id: r-1\r\n\r\nall")
        scenario.lose(ConnectionDone())
        assert [answer.body for answer in scenario.waiter.answers] == [b"all"]

    def test_an_answer_without_length_is_not_whole_after_a_reset(self) -> None:
        scenario = Scenario()
        scenario.connection.dataReceived(b"HTTP/1.1 200 OK\r\nX-Id: r-1\r\n\r\nall")
        scenario.lose(ConnectionLost())
        assert [type(error) for error in scenario.waiter.errors] == [
            TruncatedResponseError
        ]

    def test_an_interim_answer_is_dropped(self) -> None:
        scenario = Scenario()
        scenario.connection.dataReceived(b"HTTP/1.1 100 Continue\r\n\r\n" + GOOD)
        assert [answer.status for answer in scenario.waiter.answers] == [200]

    def test_connection_close_is_respected(self) -> None:
        scenario = Scenario()
        scenario.connection.dataReceived(
            GOOD.replace(b"X-Id", b"Connection: close\r\nX-Id")
        )
        assert len(scenario.waiter.answers) == 1
        assert not scenario.is_reusable


class TestReuse:
    def test_an_idle_connection_that_speaks_is_closed(self) -> None:
        scenario = Scenario()
        scenario.connection.dataReceived(GOOD)
        scenario.connection.dataReceived(OTHER)
        assert scenario.transport.aborted
        assert not scenario.is_reusable

    def test_is_given_to_the_next_request(self) -> None:
        scenario = Scenario()
        scenario.connection.dataReceived(GOOD)
        waiter = Waiter()
        scenario.pool.acquire(KEY, None, waiter, max_idle_s=4.0)  # type: ignore[arg-type]
        assert waiter.connection is scenario.connection

    def test_an_announced_idle_time_is_kept_to(self) -> None:
        scenario = Scenario()
        scenario.connection.dataReceived(
            GOOD.replace(b"X-Id", b"Keep-Alive: timeout=2\r\nX-Id")
        )
        scenario.pool.close_idle(1.9)
        assert scenario.transport.aborted

    def test_a_long_idle_connection_is_closed(self) -> None:
        scenario = Scenario()
        scenario.connection.dataReceived(GOOD)
        scenario.pool.close_idle(MAX_IDLE_S + 0.1)
        assert scenario.transport.aborted

    def test_a_server_that_left_keeps_no_connection(self) -> None:
        scenario = Scenario()
        scenario.connection.dataReceived(GOOD)
        scenario.pool.retain(frozenset())
        assert scenario.transport.aborted

    def test_a_long_request_is_not_followed_by_another(self) -> None:
        # Cause: a server answered before it had read the whole body.
        scenario = Scenario()
        scenario.connection.send(b"r-1", b"x" * 100_000, scenario.waiter)
        scenario.connection.dataReceived(GOOD)
        assert not scenario.is_reusable


MEBIBYTE = 1024 * 1024
BODY_WITHOUT_END = b"HTTP/1.1 200 OK\r\nX-Id: r-1\r\n\r\n"


class TestAnswersWithoutEnd:
    # Guards against an instance that runs out of memory when a server's answer has no
    # end, in its head or in its body.
    @pytest.mark.parametrize(
        "piece",
        [b"X-More: yes\r\n" * 400, b"y" * 4096, b"HTTP/1.1 100 Go\r\n\r\n" * 99],
    )
    def test_a_head_without_end_is_given_up(self, piece: bytes) -> None:
        scenario = Scenario()
        if piece.startswith(b"HTTP"):
            scenario.connection.dataReceived(piece)
        else:
            scenario.connection.dataReceived(b"HTTP/1.1 200 OK\r\nX-Long: ")
        for _ in range(MEBIBYTE // len(piece)):
            scenario.connection.dataReceived(piece)
        assert [type(error) for error in scenario.waiter.errors] == [
            InvalidResponseError
        ]
        assert scenario.transport.aborted
        assert scenario.pool.memory.buffered_bytes == 0

    def test_a_body_without_end_is_given_up(self) -> None:
        scenario = Scenario()
        scenario.connection.dataReceived(BODY_WITHOUT_END)
        for _ in range(MAX_BUFFERED_BYTES // MEBIBYTE + 1):
            scenario.connection.dataReceived(b"z" * MEBIBYTE)
        assert [type(error) for error in scenario.waiter.errors] == [
            InvalidResponseError
        ]
        assert scenario.transport.aborted
        assert scenario.pool.memory.buffered_bytes == 0

    def test_several_bodies_without_end_share_one_bound(self) -> None:
        scenario = Scenario()
        waiters = [Waiter() for _ in range(8)]
        for waiter in waiters:
            connection = ServerConnection(scenario.pool, KEY, waiter)
            connection.makeConnection(Transport())
            connection.send(b"r-1", b"GET / HTTP/1.1\r\n\r\n", waiter)
            connection.dataReceived(BODY_WITHOUT_END)
        for _ in range(MAX_BUFFERED_BYTES // MEBIBYTE):
            for waiter in waiters:
                if not waiter.errors:
                    waiter.connection.dataReceived(b"z" * MEBIBYTE)
                assert (
                    scenario.pool.memory.buffered_bytes <= MAX_BUFFERED_BYTES + MEBIBYTE
                )

    def test_a_short_answer_is_read_while_memory_is_short(self) -> None:
        scenario = Scenario()
        scenario.pool.memory.buffered_bytes = 2 * MAX_BUFFERED_BYTES
        scenario.connection.dataReceived(GOOD[:20])
        scenario.connection.dataReceived(GOOD[20:])
        assert [answer.body for answer in scenario.waiter.answers] == [b"ok"]
