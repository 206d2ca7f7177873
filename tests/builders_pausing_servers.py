"""Backend servers that pause before they read a request."""

from __future__ import annotations

import re
import socket
import time
from threading import Event
from threading import Thread

import attrs

from gentianhitch.platform import wire_names
from standins.deployment import call

HEARTBEAT_S = 0.5
POLL_S = 0.2
REQUEST_TIMEOUT_S = 30.0
_LENGTH = re.compile(rb"\r\ncontent-length: *(\d+)", re.IGNORECASE)
_ID = re.compile(
    rb"\r\n" + re.escape(wire_names.REQUEST_ID) + rb": *([^\r]*)", re.IGNORECASE
)


@attrs.define(eq=False)
class PausingServer:
    """Reads nothing of a request for ``pause_s``, then all of it, and answers.

    ``lengths`` are those of the bodies that it has read whole. Use it as a context
    manager; it registers itself in the store while it runs.
    """

    store: str
    service: str
    window_bytes: int
    pause_s: float
    lengths: list[int] = attrs.Factory(list)
    _port: socket.socket = attrs.Factory(socket.socket)
    _is_stopping: Event = attrs.Factory(Event)
    _threads: list[Thread] = attrs.Factory(list)

    def __enter__(self) -> PausingServer:
        self._port.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.window_bytes)
        self._port.bind(("127.0.0.1", 0))
        self._port.listen()
        self._port.settimeout(POLL_S)
        for work in (self._beat, self._accept):
            self._start(work)
        return self

    def __exit__(self, *exc_info: object) -> None:
        self._is_stopping.set()
        for thread in self._threads:
            thread.join()
        self._port.close()

    def _start(self, work: object, *arguments: object) -> None:
        thread = Thread(target=work, args=arguments, daemon=True)  # type: ignore[arg-type]
        self._threads.append(thread)
        thread.start()

    def _beat(self) -> None:
        host, port = self._port.getsockname()
        beats, started_ms = 0, time.time_ns() // 1_000_000
        while not self._is_stopping.is_set():
            beats += 1
            entry = {
                "service": self.service,
                "address": f"{host}:{port}",
                "zone": "d1",
                "version": "v1",
                "slots": 6,
                "state": "ready",
                "warmupRemainingMs": 0,
                "sequenceNumber": beats,
                "born": started_ms,
            }
            call("PUT", self.store, f"/admin/item?key=servers/{self.service}-1", entry)
            self._is_stopping.wait(HEARTBEAT_S)

    def _accept(self) -> None:
        while not self._is_stopping.is_set():
            try:
                connection, _ = self._port.accept()
            except TimeoutError:
                continue
            connection.settimeout(POLL_S)
            self._start(self._serve, connection)

    def _serve(self, connection: socket.socket) -> None:
        with connection:
            while not self._is_stopping.is_set():
                try:
                    if not connection.recv(1, socket.MSG_PEEK):
                        return
                except TimeoutError:
                    continue
                except OSError:
                    return
                self._is_stopping.wait(self.pause_s)
                try:
                    self._answer(connection)
                except OSError:
                    return

    def _answer(self, connection: socket.socket) -> None:
        connection.settimeout(REQUEST_TIMEOUT_S)
        received = bytearray()
        while (end := received.find(b"\r\n\r\n")) < 0:
            received += _receive(connection)
        length = _LENGTH.search(received, 0, end + 2)
        size = 0 if length is None else int(length[1])
        while len(received) < end + 4 + size:
            received += _receive(connection)
        connection.settimeout(POLL_S)
        self.lengths.append(size)
        request_id = _ID.search(received, 0, end + 2)
        lines = [
            b"HTTP/1.1 200 OK",
            wire_names.SIGNATURE + b": signed",
            wire_names.REQUEST_ID + b": " + (request_id[1] if request_id else b""),
            b"Content-Length: 4",
        ]
        connection.sendall(b"\r\n".join(lines) + b"\r\n\r\nread")


def _receive(connection: socket.socket) -> bytes:
    data = connection.recv(65_536)
    if not data:
        raise ConnectionResetError("closed amid a request")
    return data
