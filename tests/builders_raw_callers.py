"""Callers of real proxies that write several orders at once, or read slowly."""

from __future__ import annotations

import re
import socket
import time
from threading import Event
from threading import Thread

import attrs

from gentianhitch.platform import wire_names
from standins.platform_deployment import HOST
from standins.platform_deployment import KEY
from standins.raw_http import read_answer

READ_TIMEOUT_S = 10.0
_LENGTH = re.compile(rb"\r\ncontent-length: *(\d+)", re.IGNORECASE)


def encode_order(request_id: str, *lines: str, body: str = "a pallet") -> bytes:
    """Return an order."""
    head = [
        f"POST /orders/{request_id} HTTP/1.1",
        f"Host: {HOST}",
        f"Authorization: Bearer {KEY}",
        f"{wire_names.REQUEST_ID.decode()}: {request_id}",
        f"{wire_names.REMAINING_MS.decode()}: 8000",
        f"Content-Length: {len(body)}",
        *lines,
    ]
    return ("\r\n".join(head) + "\r\n\r\n" + body).encode()


@attrs.define(eq=False)
class PipeliningCaller:
    """Places orders on a kept connection, ``depth`` at once, until it ends.

    ``unanswered`` holds the ids of orders that were written and got no answer.
    """

    name: str
    address: str
    depth: int
    answered: dict[str, int] = attrs.Factory(dict)
    unanswered: list[str] = attrs.Factory(list)
    is_stopping: Event = attrs.Factory(Event)

    def start(self) -> Thread:
        """Start to place orders in a thread of its own."""
        thread = Thread(target=self._run, daemon=True)
        thread.start()
        return thread

    def _run(self) -> None:
        number = 0
        while not self.is_stopping.is_set():
            host, _, port = self.address.rpartition(":")
            try:
                connection = socket.create_connection((host, int(port)), READ_TIMEOUT_S)
            except OSError:
                return
            with connection:
                number = self._place(connection, number)

    def _place(self, connection: socket.socket, number: int) -> int:
        """Place orders until the connection ends; return the next number."""
        buffer = bytearray()
        while not self.is_stopping.is_set():
            ids = [f"{self.name}-{number + index}" for index in range(self.depth)]
            number += self.depth
            try:
                connection.sendall(b"".join(encode_order(each) for each in ids))
                while ids:
                    answer = read_answer(connection, buffer)
                    self.answered[ids.pop(0)] = answer.status
                    if answer.closes_connection:
                        break
            except OSError:
                self.unanswered += ids
                return number
            if ids:
                self.unanswered += ids
                return number
        return number


class SlowReader:
    """Receives one answer of ``size`` bytes at ``bytes_per_s``, in a thread.

    It reads nothing for ``pause_s`` seconds before.
    """

    def __init__(
        self,
        address: str,
        size: int,
        bytes_per_s: int,
        window_bytes: int,
        *,
        pause_s: float = 0.0,
    ) -> None:
        host, _, port = address.rpartition(":")
        self._connection = socket.socket()
        self._connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, window_bytes)
        self._connection.settimeout(READ_TIMEOUT_S)
        self._connection.connect((host, int(port)))
        self._size = size
        self._bytes_per_s = bytes_per_s
        self._pause_s = pause_s
        self._piece_bytes = window_bytes // 2
        self._end = "open"
        self._thread = Thread(target=self._read, daemon=True)

    def send(self, request_id: str, *lines: str) -> None:
        """Send an order whose answer repeats its body."""
        body = "x" * self._size
        self._connection.sendall(encode_order(request_id, *lines, body=body))

    def start(self, request_id: str, *lines: str) -> None:
        """Send the order and start to receive the answer."""
        self.send(request_id, *lines)
        self._thread.start()

    def wait(self) -> str:
        """Return how the transfer ended: whole, closed, or the name of an error."""
        self._thread.join(4 * READ_TIMEOUT_S)
        return self._end

    def is_closed_within(self, seconds: float) -> bool:
        """Return whether the proxy closes the connection in that time."""
        self._connection.settimeout(seconds)
        try:
            return self._connection.recv(1) == b""
        except TimeoutError:
            return False

    def _read(self) -> None:
        received = bytearray()
        time.sleep(self._pause_s)
        try:
            while not _is_whole(received):
                data = self._connection.recv(self._piece_bytes)
                if not data:
                    self._end = "closed"
                    return
                received += data
                time.sleep(len(data) / self._bytes_per_s)
            self._end = "whole"
        except OSError as error:
            self._end = type(error).__name__


def _is_whole(received: bytearray) -> bool:
    end = received.find(b"\r\n\r\n")
    length = _LENGTH.search(received, 0, max(end + 2, 0))
    return length is not None and len(received) >= end + 4 + int(length[1])
