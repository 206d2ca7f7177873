from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
from select import EPOLLERR
from select import EPOLLOUT
from typing import Any

from gentianhitch.backend_servers.errors import TruncatedResponseError
from gentianhitch.backend_servers.server_connections import ServerConnections
from gentianhitch.buffers import BufferAccount
from gentianhitch.event_loop import EventLoop
from tests.builders_resetting_servers import PART
from tests.builders_resetting_servers import ResettingServer
from tests.builders_resetting_servers import Uploader
from tests.builders_resetting_servers import encode_upload
from tests.reactors import run_scenario
from tests.reactors import sleep

KEY = ("s-1", 1)
POLL_S = 0.001
SETTLE_S = 0.05
"""Longer than a segment takes over loopback."""

UNDECIDED_S = 0.2

IN_KERNEL = encode_upload(100_000)
"""The kernel takes it in one write."""

LONG = encode_upload(8_000_000)
"""It is still being written when the response arrives."""

UPLOADS = 60


async def upload(
    reactor: Any,
    server: ResettingServer,
    uploader: Uploader,
    meanwhile: Callable[[Any], Awaitable[None]] | None = None,
) -> Uploader:
    """Upload to the server until the request has ended."""
    pool = ServerConnections(reactor, reactor, b"X-Id", BufferAccount())
    pool.open(KEY, server.address, uploader)
    if meanwhile is not None:
        await meanwhile(reactor)
    while not uploader.has_ended:
        await sleep(reactor, POLL_S)
    return uploader


def assert_truncated(uploader: Uploader) -> None:
    assert uploader.responses == []
    assert [type(error) for error in uploader.errors] == [TruncatedResponseError]


class TestResetResponses:
    """A response without a length is complete only if its connection was not reset."""

    def test_a_reset_that_the_poll_reports_before_the_end_of_reading(self) -> None:
        # Linux sets the error of a socket before the end of reading, so that a poll in
        # between finds an error alone. Twisted takes this for a clean close.
        server, uploader = ResettingServer(), Uploader(LONG)

        async def poll_amid_the_reset(reactor: Any) -> None:
            while uploader.connection is None or not is_reading(uploader):
                await sleep(reactor, POLL_S)
            server.reset()
            transport = uploader.connection.transport
            reactor._doReadOrWrite(transport, transport.fileno(), EPOLLERR | EPOLLOUT)

        with server:
            run_scenario(
                lambda reactor: upload(reactor, server, uploader, poll_amid_the_reset),
                EventLoop,
            )
        assert_truncated(uploader)

    def test_a_reset_behind_the_end_of_the_stream(self) -> None:
        # A read returns the end of the stream before the error.
        server = ResettingServer(ends_first=True)
        uploader = Uploader(IN_KERNEL, reset_after=server)
        with server:
            run_scenario(lambda reactor: upload(reactor, server, uploader), EventLoop)
        assert_truncated(uploader)

    def test_a_reset_long_after_the_end_of_the_stream(self) -> None:
        # A server that closes without reading resets the connection only when more of
        # the upload arrives.
        server, uploader = ResettingServer(ends_first=True), Uploader(LONG)

        async def reset_later(reactor: Any) -> None:
            while uploader.connection is None or not is_reading(uploader):
                await sleep(reactor, POLL_S)
            await sleep(reactor, SETTLE_S)
            server.may_reset.set()

        with server:
            run_scenario(
                lambda reactor: upload(reactor, server, uploader, reset_later),
                EventLoop,
            )
        assert_truncated(uploader)

    def test_a_reset_before_the_upload_is_written(self) -> None:
        # The failed write is told the error; reads then return the end of the stream.
        server = ResettingServer()
        uploader = Uploader(IN_KERNEL, reset_before=server)
        with server:
            run_scenario(lambda reactor: upload(reactor, server, uploader), EventLoop)
        assert_truncated(uploader)

    def test_resets_amid_long_uploads(self) -> None:
        server = ResettingServer(reads_head=True, delay_s=0.003)
        server.may_reset.set()

        async def upload_often(reactor: Any) -> list[Uploader]:
            return [
                await upload(reactor, server, Uploader(LONG)) for _ in range(UPLOADS)
            ]

        with server:
            uploaders = run_scenario(upload_often, EventLoop)
        for uploader in uploaders:
            assert_truncated(uploader)

    def test_a_server_that_neither_reads_on_nor_closes(self) -> None:
        server, uploader = ResettingServer(ends_first=True), Uploader(LONG)

        async def give_up(reactor: Any) -> None:
            pool = ServerConnections(reactor, reactor, b"X-Id", BufferAccount())
            pool.open(KEY, server.address, uploader)
            await sleep(reactor, UNDECIDED_S)
            assert not uploader.has_ended
            uploader.connection.close()
            await sleep(reactor, SETTLE_S)
            assert pool.connections == set()

        with server:
            run_scenario(give_up, EventLoop)
        server.may_reset.set()
        assert not uploader.has_ended

    def test_a_server_that_reads_on_after_its_response_has_sent_all(self) -> None:
        for request in (IN_KERNEL, LONG):
            server = ResettingServer(ends_first=True, lingers=True)
            server.may_reset.set()
            uploader = Uploader(request)
            with server:
                run_scenario(
                    lambda reactor, server=server, uploader=uploader: upload(
                        reactor, server, uploader
                    ),
                    EventLoop,
                )
            assert [each.body for each in uploader.responses] == [PART]


def is_reading(uploader: Uploader) -> bool:
    """Return whether the start of the response was received."""
    return uploader.connection._reader.buffered_bytes > 0
