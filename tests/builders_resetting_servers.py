"""Backend servers that answer an upload before they have read it, then reset."""

from __future__ import annotations

import socket
import struct
import time
from contextlib import suppress
from threading import Event
from threading import Thread
from typing import Any

import attrs

from gentianhitch.addresses import Address

REQUEST_ID = b"r-1"
PART = b"z" * 2000
UNFRAMED_PART = b"HTTP/1.1 200 OK\r\nX-Id: %b\r\n\r\n%b" % (REQUEST_ID, PART)
"""An answer without a length, up to a part of its body."""

TIMEOUT_S = 10.0
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


@attrs.define(eq=False)
class ResettingServer:
    """Sends a part of an answer at once to each connection, then resets it.

    ``reads_head`` if it reads the start of the request first, ``ends_first`` if it ends
    its sending side before the reset, ``lingers`` if it reads on in place of the reset.
    That comes ``delay_s`` after ``may_reset`` is set. Use it as a context manager.
    """

    reads_head: bool = False
    ends_first: bool = False
    lingers: bool = False
    delay_s: float = 0.0
    may_reset: Event = attrs.Factory(Event)
    has_reset: Event = attrs.Factory(Event)
    _port: socket.socket = attrs.Factory(
        lambda: socket.create_server(("127.0.0.1", 0), backlog=100)
    )

    def __enter__(self) -> ResettingServer:
        Thread(target=self._accept, daemon=True).start()
        return self

    def __exit__(self, *exc_info: object) -> None:
        self._port.close()

    @property
    def address(self) -> Address:
        return Address(*self._port.getsockname())

    def reset(self) -> None:
        """Reset the connection now, and wait until that is done."""
        self.may_reset.set()
        self.has_reset.wait(TIMEOUT_S)

    def _accept(self) -> None:
        while True:
            try:
                connection, _ = self._port.accept()
            except OSError:
                return
            Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection: socket.socket) -> None:
        # The client may close first.
        with suppress(OSError), connection:
            connection.settimeout(TIMEOUT_S)
            if self.reads_head:
                connection.recv(1_000)
            connection.sendall(UNFRAMED_PART)
            if self.ends_first:
                connection.shutdown(socket.SHUT_WR)
            self.may_reset.wait(TIMEOUT_S)
            time.sleep(self.delay_s)
            if self.lingers:
                while connection.recv(65_536):
                    pass
            else:
                connection.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
                )
        self.has_reset.set()


def encode_upload(size: int) -> bytes:
    """Return a request with a body of ``size`` bytes."""
    return b"POST / HTTP/1.1\r\nContent-Length: %d\r\n\r\n%b" % (size, b"x" * size)


@attrs.define(eq=False)
class Uploader:
    """Writes one upload and records what becomes of it.

    While the event loop stands still, ``reset_before`` resets the connection before the
    write, or ``reset_after`` after it.
    """

    request: bytes
    reset_before: ResettingServer | None = None
    reset_after: ResettingServer | None = None
    connection: Any = None
    responses: list[Any] = attrs.Factory(list)
    errors: list[Any] = attrs.Factory(list)

    def connected(self, connection: Any) -> None:
        self.connection = connection
        if self.reset_before is not None:
            self.reset_before.reset()
        connection.send(REQUEST_ID, self.request, self)
        if self.reset_after is not None:
            self.reset_after.reset()

    def connect_failed(self, error: Any) -> None:
        self.errors.append(error)

    def response_received(self, response: Any) -> None:
        self.responses.append(response)

    def response_failed(self, error: Any) -> None:
        self.errors.append(error)

    @property
    def has_ended(self) -> bool:
        return bool(self.responses or self.errors)
