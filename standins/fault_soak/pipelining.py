"""Callers that write several requests at once, some of them on slow links."""

from __future__ import annotations

import json
import socket
import time

import attrs

from gentianhitch.platform import wire_names
from standins.fault_soak.callers import REMAINING_S
from standins.fault_soak.callers import TIMEOUT_S
from standins.fault_soak.callers import Caller
from standins.fault_soak.callers import Kind
from standins.fault_soak.callers import Seen
from standins.platform_deployment import HOST
from standins.raw_http import RawAnswer
from standins.raw_http import read_answer

MAX_AT_ONCE = 4
SLOW_SHARE = 0.15
SLOW_BODY_BYTES = 16_000
SLOW_BYTES_PER_S = 8_000
SLOW_WINDOW_BYTES = 4_096


class SlowSocket(socket.socket):
    """Receives as slowly as a narrow link."""

    def recv(self, size: int, flags: int = 0) -> bytes:
        """Receive a piece, and take the time that the link needs for it."""
        data = super().recv(min(size, SLOW_WINDOW_BYTES // 2), flags)
        time.sleep(len(data) / SLOW_BYTES_PER_S)
        return data


@attrs.define
class PipeliningCaller(Caller):
    """Send several requests at once; keep the connection until it ends."""

    _socket: socket.socket | None = None
    _buffer: bytearray = attrs.Factory(bytearray)

    def _send(self, request: str, kind: Kind, addresses: list[str]) -> None:
        is_slow = self.random.random() < SLOW_SHARE
        if is_slow:
            self._drop()
        count = 1 if is_slow else self.random.randint(1, MAX_AT_ONCE)
        try:
            connection = self._connect(addresses, is_slow=is_slow)
        except OSError:
            return
        now = time.monotonic()
        group = [
            Seen(
                *(f"{request}.{index}", kind, self._address, now),
                kept=self._is_kept,
                behind=index > 0,
            )
            for index in range(count)
        ]
        self.seen += group
        body = b"x" * (SLOW_BODY_BYTES if is_slow else 0)
        try:
            connection.sendall(
                b"".join(
                    encode_head(seen, len(body), REMAINING_S) + body for seen in group
                )
            )
            for seen in group:
                seen.whole_s = time.monotonic()
            for seen in group:
                answer = read_answer(connection, self._buffer)
                record(seen, answer)
                self._is_kept = True
                if answer.closes_connection:
                    self._drop()
                    break
        except (OSError, ValueError):
            self._drop()
        for seen in group:
            seen.ended_s = seen.ended_s or time.monotonic()
        if is_slow:
            self._drop()

    def _connect(self, addresses: list[str], *, is_slow: bool) -> socket.socket:
        if self._socket is None:
            self._address = self.random.choice(addresses)
            self._is_kept = False
            self._socket = self._make_socket(is_slow=is_slow)
            self._socket.settimeout(TIMEOUT_S)
            host, _, port = self._address.rpartition(":")
            try:
                self._socket.connect((host, int(port)))
            except OSError:
                self._drop()
                raise
        return self._socket

    def _make_socket(self, *, is_slow: bool) -> socket.socket:
        made = SlowSocket() if is_slow else socket.socket()
        if is_slow:
            made.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SLOW_WINDOW_BYTES)
        return made

    def _drop(self) -> None:
        if self._socket is not None:
            self._socket.close()
            self._socket = None
        self._buffer.clear()


def encode_head(seen: Seen, body_bytes: int, remaining_s: float) -> bytes:
    """Return the head of a request."""
    kind = seen.kind
    head = [
        f"{kind.method} {seen.path} HTTP/1.1",
        f"Host: {HOST}",
        f"{wire_names.REQUEST_ID.decode()}: {seen.request}",
        f"{wire_names.REMAINING_MS.decode()}: {remaining_s * 1000:.0f}",
        f"Content-Length: {body_bytes}",
    ]
    if kind.key is not None:
        head.append(f"Authorization: Bearer {kind.key}")
    return "\r\n".join(head).encode() + b"\r\n\r\n"


def record(seen: Seen, answer: RawAnswer) -> None:
    """Keep what an answer says."""
    seen.ended_s = time.monotonic()
    seen.signed = answer.header(wire_names.SIGNATURE) is not None
    seen.server_leaves = answer.header(wire_names.SERVER_LEAVING) == b"1"
    seen.answer = json.loads(answer.body) if answer.body else {}
    seen.status = answer.status
