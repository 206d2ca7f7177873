from __future__ import annotations

import socket
from typing import Any

import attrs
import pytest
from twisted.internet.error import ConnectionDone
from twisted.internet.error import ConnectionLost
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport
from twisted.python.failure import Failure

from gentianhitch.addresses import Address
from gentianhitch.backend_servers.errors import InvalidResponseError
from gentianhitch.backend_servers.errors import TruncatedResponseError
from gentianhitch.backend_servers.server_connections import MAX_IDLE_S
from gentianhitch.backend_servers.server_connections import ServerConnection
from gentianhitch.backend_servers.server_connections import ServerConnections
from gentianhitch.buffers import BufferAccount
from tests.allocations import allocated_bytes
from tests.reactors import run_scenario
from tests.reactors import sleep

KEY = ("s-1", 1)
OWN_RESPONSE = b"HTTP/1.1 200 OK\r\nX-Id: r-1\r\nContent-Length: 2\r\n\r\nok"
OTHER_RESPONSE = b"HTTP/1.1 200 OK\r\nX-Id: r-0\r\nContent-Length: 3\r\n\r\nbad"


class Transport(StringTransport):
    """In-memory transport with the methods of a TCP connection."""

    aborted = False

    def setTcpNoDelay(self, enabled: bool) -> None:  # noqa: N802
        pass

    def abortConnection(self) -> None:  # noqa: N802
        self.aborted = True


@attrs.define(eq=False)
class Waiter:
    """Records the events of a connection."""

    connection: ServerConnection | None = None
    responses: list[Any] = attrs.Factory(list)
    errors: list[Any] = attrs.Factory(list)

    def connected(self, connection: ServerConnection) -> None:
        self.connection = connection

    def connect_failed(self, error: Any) -> None:
        self.errors.append(error)

    def response_received(self, response: Any) -> None:
        self.responses.append(response)

    def response_failed(self, error: Any) -> None:
        self.errors.append(error)


class Scenario:
    """One connection with a pending request."""

    def __init__(self) -> None:
        self.clock = Clock()
        self.buffers = BufferAccount(MAX_BUFFERED_BYTES)
        self.pool = ServerConnections(None, self.clock, b"X-Id", self.buffers)
        self.waiter = Waiter()
        self.transport = Transport()
        self.connection = self.connect(self.waiter, self.transport)

    def connect(
        self, waiter: Waiter, transport: Transport | None = None
    ) -> ServerConnection:
        """Return a further connection, with a pending request."""
        connection = ServerConnection(self.pool, KEY, waiter)
        connection.makeConnection(transport or Transport())
        connection.send(b"r-1", b"GET / HTTP/1.1\r\n\r\n", waiter)
        return connection

    def assert_dropped(self) -> None:
        """Check that the connection was reset with an error, and nothing is kept."""
        errors = [type(error) for error in self.waiter.errors]
        assert errors == [InvalidResponseError]
        assert self.transport.aborted
        assert self.buffers.used_bytes == 0

    @property
    def is_reusable(self) -> bool:
        return self.pool.servers_with_idle_connections() == {"s-1"}

    def lose_connection(self, reason: Exception) -> None:
        self.connection.connectionLost(Failure(reason))


class TestResponses:
    @pytest.mark.parametrize("size", [1, 7, 1000])
    def test_reads_a_response_in_parts(self, size: int) -> None:
        scenario = Scenario()
        for start in range(0, len(OWN_RESPONSE), size):
            scenario.connection.dataReceived(OWN_RESPONSE[start : start + size])
        assert [response.body for response in scenario.waiter.responses] == [b"ok"]
        assert scenario.is_reusable

    def test_drops_the_response_to_another_request(self) -> None:
        scenario = Scenario()
        scenario.connection.dataReceived(OTHER_RESPONSE)
        assert scenario.waiter.responses == []
        scenario.connection.dataReceived(OWN_RESPONSE)
        assert [response.body for response in scenario.waiter.responses] == [b"ok"]
        assert not scenario.is_reusable

    @pytest.mark.parametrize("status", [b"503 Busy", b"429 Slow", b"421 No", b"200 OK"])
    def test_drops_a_repeated_response_without_an_id(self, status: bytes) -> None:
        scenario = Scenario()
        scenario.connection.dataReceived(OWN_RESPONSE)
        scenario.connection.send(b"r-2", b"GET / HTTP/1.1\r\n\r\n", scenario.waiter)
        scenario.connection.dataReceived(
            b"HTTP/1.1 %b\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n" % status
        )
        assert len(scenario.waiter.responses) == 1
        scenario.connection.dataReceived(OWN_RESPONSE.replace(b"r-1", b"r-2"))
        assert [response.status for response in scenario.waiter.responses] == [200, 200]
        assert not scenario.is_reusable

    def test_a_second_response_closes_the_connection_only(self) -> None:
        scenario = Scenario()
        scenario.connection.dataReceived(OWN_RESPONSE + OWN_RESPONSE)
        assert len(scenario.waiter.responses) == 1
        assert scenario.transport.aborted
        assert not scenario.is_reusable

    def test_garbage_after_a_response_does_not_invalidate_it(self) -> None:
        scenario = Scenario()
        scenario.connection.dataReceived(OWN_RESPONSE + b"\x00\x01garbage")
        assert len(scenario.waiter.responses) == 1
        assert not scenario.is_reusable

    def test_garbage_is_an_invalid_response(self) -> None:
        scenario = Scenario()
        scenario.connection.dataReceived(b"\x00\x01garbage\r\n\r\n")
        assert [type(error) for error in scenario.waiter.errors] == [
            InvalidResponseError
        ]

    def test_a_truncated_response_fails(self) -> None:
        scenario = Scenario()
        scenario.connection.dataReceived(OWN_RESPONSE[:-1])
        scenario.lose_connection(ConnectionDone())
        assert [type(error) for error in scenario.waiter.errors] == [
            TruncatedResponseError
        ]

    def test_a_response_without_length_ends_with_its_connection(self) -> None:
        scenario = Scenario()
        scenario.connection.dataReceived(b"HTTP/1.1 200 OK\r\nX-Id: r-1\r\n\r\nall")
        scenario.lose_connection(ConnectionDone())
        assert [response.body for response in scenario.waiter.responses] == [b"all"]

    def test_a_response_without_length_fails_after_a_reset(self) -> None:
        scenario = Scenario()
        scenario.connection.dataReceived(b"HTTP/1.1 200 OK\r\nX-Id: r-1\r\n\r\nall")
        scenario.lose_connection(ConnectionLost())
        assert [type(error) for error in scenario.waiter.errors] == [
            TruncatedResponseError
        ]

    def test_an_interim_response_is_dropped(self) -> None:
        scenario = Scenario()
        scenario.connection.dataReceived(
            b"HTTP/1.1 100 Continue\r\n\r\n" + OWN_RESPONSE
        )
        assert [response.status for response in scenario.waiter.responses] == [200]

    def test_connection_close_prevents_reuse(self) -> None:
        scenario = Scenario()
        scenario.connection.dataReceived(
            OWN_RESPONSE.replace(b"X-Id", b"Connection: close\r\nX-Id")
        )
        assert len(scenario.waiter.responses) == 1
        assert not scenario.is_reusable


HEAD = b"HTTP/1.1 200 OK\r\nX-Id: r-1\r\nX-Signature: 3e1b.07\r\n"
RESPONSE_WITH_LENGTH = HEAD + b"Content-Length: 10\r\n\r\n0123456789"
RESPONSE_IN_CHUNKS = (
    HEAD + b"Transfer-Encoding: chunked\r\n\r\n6\r\n012345\r\n4\r\n6789\r\n0\r\n\r\n"
)
RESPONSE_WITHOUT_LENGTH = HEAD + b"\r\n"


class TestCutResponses:
    """A response that ends at any byte before its last one fails the request."""

    @pytest.mark.parametrize("reason", [ConnectionDone(), ConnectionLost()])
    @pytest.mark.parametrize(
        "response",
        [RESPONSE_WITH_LENGTH, RESPONSE_IN_CHUNKS, RESPONSE_WITHOUT_LENGTH],
        ids=["length", "chunks", "until-close"],
    )
    def test_a_response_cut_at_any_byte_fails(
        self, response: bytes, reason: Exception
    ) -> None:
        for size in range(len(response)):
            scenario = Scenario()
            scenario.connection.dataReceived(response[:size])
            scenario.lose_connection(reason)
            assert scenario.waiter.responses == [], response[:size]
            assert len(scenario.waiter.errors) == 1, response[:size]

    def test_a_cut_head_after_an_interim_response_fails(self) -> None:
        interim = b"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"
        for size in range(len(RESPONSE_WITHOUT_LENGTH)):
            scenario = Scenario()
            scenario.connection.dataReceived(interim + RESPONSE_WITHOUT_LENGTH[:size])
            scenario.lose_connection(ConnectionDone())
            assert scenario.waiter.responses == []

    def test_a_cut_head_after_a_dropped_response_fails(self) -> None:
        for size in range(len(RESPONSE_WITHOUT_LENGTH)):
            scenario = Scenario()
            scenario.connection.dataReceived(
                OTHER_RESPONSE + RESPONSE_WITHOUT_LENGTH[:size]
            )
            scenario.lose_connection(ConnectionDone())
            assert scenario.waiter.responses == []


class TestReuse:
    def test_unexpected_bytes_close_an_idle_connection(self) -> None:
        scenario = Scenario()
        scenario.connection.dataReceived(OWN_RESPONSE)
        scenario.connection.dataReceived(OTHER_RESPONSE)
        assert scenario.transport.aborted
        assert not scenario.is_reusable

    def test_idle_connection_is_reused(self) -> None:
        scenario = Scenario()
        scenario.connection.dataReceived(OWN_RESPONSE)
        waiter = Waiter()
        scenario.pool.acquire(KEY, None, waiter, max_idle_s=4.0)  # type: ignore[arg-type]
        assert waiter.connection is scenario.connection

    def test_an_announced_idle_timeout_is_respected(self) -> None:
        scenario = Scenario()
        scenario.connection.dataReceived(
            OWN_RESPONSE.replace(b"X-Id", b"Keep-Alive: timeout=2\r\nX-Id")
        )
        scenario.pool.close_idle(1.9)
        assert scenario.transport.aborted

    def test_a_long_idle_connection_is_closed(self) -> None:
        scenario = Scenario()
        scenario.connection.dataReceived(OWN_RESPONSE)
        scenario.pool.close_idle(MAX_IDLE_S + 0.1)
        assert scenario.transport.aborted

    def test_connections_to_removed_servers_are_closed(self) -> None:
        scenario = Scenario()
        scenario.connection.dataReceived(OWN_RESPONSE)
        scenario.pool.retain(frozenset())
        assert scenario.transport.aborted

    def test_the_connection_of_a_long_request_is_not_reused(self) -> None:
        # A server may respond before it has read the complete body; the remaining body
        # would then be parsed as the next request.
        scenario = Scenario()
        scenario.connection.send(b"r-1", b"x" * 100_000, scenario.waiter)
        scenario.connection.dataReceived(OWN_RESPONSE)
        assert not scenario.is_reusable


MEBIBYTE = 1024 * 1024
MAX_BUFFERED_BYTES = 32 * MEBIBYTE
SHORT_HEAD = b"HTTP/1.1 200 OK\r\nX-Id: r-1\r\n"
BODY_WITHOUT_END = SHORT_HEAD + b"\r\n"
CHUNKED = SHORT_HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
LONG_RESPONSE = (
    SHORT_HEAD + b"Content-Length: %d\r\n\r\n" % (4 * MEBIBYTE) + b"z" * 4 * MEBIBYTE
)


class TestUnboundedResponses:
    # Guards against exhausted memory when a server sends a head or a body without end.
    @pytest.mark.parametrize(
        "part",
        [b"X-More: yes\r\n" * 400, b"y" * 4096, b"HTTP/1.1 100 Go\r\n\r\n" * 99],
    )
    def test_a_head_without_end_is_dropped(self, part: bytes) -> None:
        scenario = Scenario()
        if part.startswith(b"HTTP"):
            scenario.connection.dataReceived(part)
        else:
            scenario.connection.dataReceived(b"HTTP/1.1 200 OK\r\nX-Long: ")
        for _ in range(MEBIBYTE // len(part)):
            scenario.connection.dataReceived(part)
        scenario.assert_dropped()

    def test_a_body_without_end_is_dropped(self) -> None:
        scenario = Scenario()
        scenario.connection.dataReceived(BODY_WITHOUT_END)
        for _ in range(MAX_BUFFERED_BYTES // MEBIBYTE + 1):
            scenario.connection.dataReceived(b"z" * MEBIBYTE)
        scenario.assert_dropped()

    def test_trailers_without_end_are_dropped(self) -> None:
        scenario = Scenario()
        scenario.connection.dataReceived(CHUNKED + b"2\r\nok\r\n0\r\n")
        for _ in range(MEBIBYTE // 1300):
            scenario.connection.dataReceived(b"X-More: yes\r\n" * 100)
        scenario.assert_dropped()

    def test_responses_to_other_requests_without_end_are_dropped(self) -> None:
        # Guards against a request that waits for its deadline meanwhile.
        scenario = Scenario()
        for _ in range(100):
            scenario.connection.dataReceived(OTHER_RESPONSE)
        scenario.assert_dropped()

    def test_bodies_without_end_share_one_memory_bound(self) -> None:
        scenario = Scenario()
        waiters = [Waiter() for _ in range(8)]
        for waiter in waiters:
            scenario.connect(waiter).dataReceived(BODY_WITHOUT_END)
        for _ in range(MAX_BUFFERED_BYTES // MEBIBYTE):
            for waiter in waiters:
                if not waiter.errors:
                    waiter.connection.dataReceived(b"z" * MEBIBYTE)
                assert scenario.pool.buffers.used_bytes <= MAX_BUFFERED_BYTES

    def test_the_largest_response_is_dropped_first(self) -> None:
        # Guards against responses of other servers that are dropped for a faulty one.
        scenario = Scenario()
        faulty = Waiter()
        scenario.connect(faulty).dataReceived(BODY_WITHOUT_END)
        while scenario.buffers.used_bytes < MAX_BUFFERED_BYTES - 2 * MEBIBYTE:
            faulty.connection.dataReceived(b"z" * MEBIBYTE)
        scenario.connection.dataReceived(LONG_RESPONSE[:-1])
        assert faulty.errors
        scenario.connection.dataReceived(LONG_RESPONSE[-1:])
        assert [len(each.body) for each in scenario.waiter.responses] == [4 * MEBIBYTE]

    def test_a_short_response_is_read_while_memory_is_full(self) -> None:
        scenario = Scenario()
        for _ in range(64):
            scenario.connect(Waiter()).dataReceived(BODY_WITHOUT_END + b"z" * MEBIBYTE)
        scenario.connection.dataReceived(OWN_RESPONSE[:20])
        scenario.connection.dataReceived(OWN_RESPONSE[20:])
        assert [response.body for response in scenario.waiter.responses] == [b"ok"]

    @pytest.mark.parametrize("is_closed_by_server", [True, False])
    def test_the_end_of_a_connection_frees_its_buffers_at_once(
        self, is_closed_by_server: bool
    ) -> None:
        # Guards against buffers of closed connections that fill the memory until the
        # garbage collector runs.
        with allocated_bytes() as count:
            connections = []
            for _ in range(4):
                scenario = Scenario()
                connections.append(scenario.connection)
                scenario.connection.dataReceived(BODY_WITHOUT_END)
                scenario.connection.dataReceived(b"z" * MEBIBYTE * 4)
                if is_closed_by_server:
                    scenario.lose_connection(ConnectionLost())
                else:
                    scenario.connection.close()
            assert count() < MEBIBYTE

    @pytest.mark.parametrize(
        ("head", "part", "parts"),
        [(CHUNKED, b"2\r\nok\r\n", 200_000), (SHORT_HEAD, b"a:\r\n", 10_000)],
        ids=["chunks of two bytes", "headers of two bytes"],
    )
    def test_small_parts_are_counted_as_they_are_kept(
        self, head: bytes, part: bytes, parts: int
    ) -> None:
        # Guards against memory that is many times what was counted.
        scenario = Scenario()
        with allocated_bytes() as count:
            scenario.connection.dataReceived(head)
            scenario.connection.dataReceived(part * parts)
            assert not scenario.waiter.errors
            kept_bytes = count()
        assert kept_bytes < 1.5 * scenario.pool.buffers.used_bytes


# Guards against orders whose outcome is unknown: they were written to connections that
# the server had ended, since the end lay unread in the kernel.
class TestEndedConnections:
    @pytest.mark.parametrize("surplus", [b"", OTHER_RESPONSE])
    def test_are_not_used_again(self, surplus: bytes) -> None:
        async def scenario(reactor: Any) -> tuple[Any, Any, int]:
            with socket.create_server(("127.0.0.1", 0)) as server:
                address = Address("127.0.0.1", server.getsockname()[1])
                pool = ServerConnections(reactor, reactor, b"x-id", BufferAccount())
                first, second = Waiter(), Waiter()
                pool.acquire(KEY, address, first, max_idle_s=4.0)
                await sleep(reactor, 0.05)
                assert first.connection is not None
                pool.put_idle(KEY, first.connection)
                accepted, _ = server.accept()
                accepted.sendall(surplus)
                if not surplus:
                    accepted.close()
                pool.acquire(KEY, address, second, max_idle_s=4.0)
                await sleep(reactor, 0.05)
                accepted.close()
                return first.connection, second.connection, pool.opened

        first, second, opened = run_scenario(scenario)
        assert opened == 2
        assert second is not None
        assert second is not first
