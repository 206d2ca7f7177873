"""Callers that pause while they send a request or receive its answer."""

from __future__ import annotations

import socket
import time

import attrs

from standins.fault_soak.callers import KEEP_SHARE
from standins.fault_soak.callers import Kind
from standins.fault_soak.callers import Seen
from standins.fault_soak.deployment import FILES_TIMEOUT_S
from standins.fault_soak.pipelining import PipeliningCaller
from standins.fault_soak.pipelining import encode_head
from standins.fault_soak.pipelining import record
from standins.raw_http import read_answer

SENDING_PAUSES = ("before-head", "in-head", "in-body")
ANSWER_PAUSES = ("before-answer", "in-answer")
SERVER_PAUSES = ("read_after_ms", "pause_ms")
PAUSES = (SENDING_PAUSES, ANSWER_PAUSES, SERVER_PAUSES)
PAUSES_S = (0.3, 1.5, 3.3, 3.6, 4.6)
SMALL_BUFFER_BYTES = 4_096
SMALL_ANSWER_BYTES = (60, 5_000, 60_000)
ANSWER_BYTES = (60, 100_000, 1_000_000, 4_000_000)
BODY_BYTES = (60, 20_000, 900_000)
ANSWER_TIMEOUT_S = FILES_TIMEOUT_S + 2.0


@attrs.frozen
class Course:
    """Where one request pauses, and how much is sent and asked for."""

    pause: str
    pause_s: float
    body_bytes: int
    answer_bytes: int

    @property
    def query(self) -> str:
        """Return what the server is asked to do."""
        query = f"?bytes={self.answer_bytes}"
        if self.pause in SERVER_PAUSES:
            query += f"&{self.pause}={self.pause_s * 1000:.0f}"
        return query


@attrs.define
class PausingCaller(PipeliningCaller):
    """Send one request after the other, and pause once in each."""

    _has_small_buffer: bool = False

    def _send(self, request: str, kind: Kind, addresses: list[str]) -> None:
        if self._socket is None:
            self._has_small_buffer = self.random.random() < 0.5
        course = self._choose_course(kind)
        try:
            connection = self._connect(addresses, is_slow=False)
            self._pause(course, "before-head")
        except OSError:
            return
        seen = Seen(
            *(request, kind, self._address, time.monotonic()),
            query=course.query,
            kept=self._is_kept,
            pauses=True,
        )
        self.seen.append(seen)
        try:
            self._exchange_slowly(connection, seen, course)
        except (OSError, ValueError):
            self._drop()
        seen.ended_s = seen.ended_s or time.monotonic()
        if self.random.random() > KEEP_SHARE:
            self._drop()

    def _choose_course(self, kind: Kind) -> Course:
        is_upload = kind.method == "POST"
        answers = SMALL_ANSWER_BYTES if self._has_small_buffer else ANSWER_BYTES
        return Course(
            self.random.choice(self.random.choice(PAUSES)),
            self.random.choice(PAUSES_S),
            self.random.choice(BODY_BYTES) if is_upload else 0,
            60 if is_upload else self.random.choice(answers),
        )

    def _make_socket(self, *, is_slow: bool) -> socket.socket:
        made = super()._make_socket(is_slow=is_slow)
        if self._has_small_buffer:
            made.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
        return made

    def _pause(self, course: Course, where: str) -> None:
        if course.pause == where:
            time.sleep(course.pause_s)

    def _exchange_slowly(
        self, connection: socket.socket, seen: Seen, course: Course
    ) -> None:
        connection.settimeout(ANSWER_TIMEOUT_S)
        head = encode_head(seen, course.body_bytes, FILES_TIMEOUT_S)
        body = b"x" * course.body_bytes
        connection.sendall(head[: len(head) // 2])
        self._pause(course, "in-head")
        connection.sendall(head[len(head) // 2 :])
        connection.sendall(body[: len(body) // 2])
        if body:
            self._pause(course, "in-body")
        connection.sendall(body[len(body) // 2 :])
        seen.whole_s = time.monotonic()
        if course.pause in ANSWER_PAUSES:
            seen.paused_until_s = seen.whole_s + course.pause_s
        self._pause(course, "before-answer")
        if course.pause == "in-answer":
            self._buffer += connection.recv(SMALL_BUFFER_BYTES // 2)
            self._pause(course, "in-answer")
        answer = read_answer(connection, self._buffer)
        record(seen, answer)
        self._is_kept = True
        if answer.closes_connection:
            self._drop()
