"""Callers that write several requests at once, and read the answers of real proxies."""

from __future__ import annotations

import json
import re
import socket
from threading import Event
from threading import Thread

import attrs

from gentianhitch.platform import wire_names
from standins.platform_deployment import HOST
from standins.platform_deployment import KEY

READ_TIMEOUT_S = 10.0
_LENGTH = re.compile(rb"\r\ncontent-length: *(\d+)", re.IGNORECASE)
_CLOSE = re.compile(rb"\r\nconnection: *close\r\n", re.IGNORECASE)


def encode_order(request_id: str, *lines: str) -> bytes:
    """Return an order whose body is its id."""
    head = [
        f"POST /orders/{request_id} HTTP/1.1",
        f"Host: {HOST}",
        f"Authorization: Bearer {KEY}",
        f"{wire_names.REQUEST_ID.decode()}: {request_id}",
        f"{wire_names.REMAINING_MS.decode()}: 8000",
        f"Content-Length: {len(request_id)}",
        *lines,
    ]
    return ("\r\n".join(head) + "\r\n\r\n" + request_id).encode()


def read_answer(connection: socket.socket, buffer: bytearray) -> tuple[int, bytes]:
    """Read one answer; return its status and head. Raise ConnectionError if cut."""
    while (end := buffer.find(b"\r\n\r\n")) < 0:
        _receive(connection, buffer)
    head = bytes(buffer[: end + 2])
    length = _LENGTH.search(head)
    total = end + 4 + (int(length[1]) if length else 0)
    while len(buffer) < total:
        _receive(connection, buffer)
    del buffer[:total]
    return int(head.split(b" ", 2)[1]), head


def _receive(connection: socket.socket, buffer: bytearray) -> None:
    data = connection.recv(65536)
    if not data:
        raise ConnectionResetError("closed by the proxy")
    buffer += data


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
                    status, head = read_answer(connection, buffer)
                    self.answered[ids.pop(0)] = status
                    if _CLOSE.search(head):
                        break
            except OSError:
                self.unanswered += ids
                return number
            if ids:
                self.unanswered += ids
                return number
        return number


def runs_by_request(shown: list[str]) -> dict[str, dict[str, object]]:
    """Return what servers ran, by the id of the request."""
    found: dict[str, dict[str, object]] = {}
    for text in shown:
        for run in json.loads(text):
            found[run["request"]] = run
    return found
