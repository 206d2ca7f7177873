"""Drive a plan: send each request when it is due, whatever came before."""

from __future__ import annotations

import sys
from collections.abc import Iterator
from typing import Any

from tqdm import tqdm
from twisted.internet.defer import CancelledError
from twisted.internet.defer import Deferred
from twisted.internet.defer import ensureDeferred

from gentianhitch.load.caller import Caller
from gentianhitch.load.caller import NotConnectedError
from gentianhitch.load.connection import Answer
from gentianhitch.load.connection import ConnectionBrokenError
from gentianhitch.load.plan import Arrival
from gentianhitch.load.plan import Plan
from gentianhitch.load.plan import Stream
from gentianhitch.load.plan import arrivals
from gentianhitch.load.plan import expected_requests
from gentianhitch.load.tally import Tally

LATE_S = 0.010


class LoadRun:
    """Send one plan; the result fires with the tally when all have ended."""

    def __init__(self, reactor: Any, plan: Plan) -> None:
        self._reactor = reactor
        self._plan = plan
        self._caller = Caller(reactor, plan.entries)
        self._arrivals: Iterator[Arrival] = arrivals(plan)
        self._next = next(self._arrivals, None)
        self._keys = [_read_key(stream) for stream in plan.streams]
        self._running = 0
        self._started = 0.0
        self._done: Deferred[Tally] = Deferred()
        self._tally = Tally()
        self._progress = tqdm(
            total=round(expected_requests(plan)),
            unit="requests",
            disable=not sys.stderr.isatty(),
        )

    def start(self) -> Deferred[Tally]:
        """Begin; arrival times count from now."""
        self._started = self._reactor.seconds()
        self._send_due()
        return self._done

    def _send_due(self) -> None:
        now = self._reactor.seconds() - self._started
        while self._next is not None and self._next.due_s <= now:
            self._send(self._next, now)
            self._next = next(self._arrivals, None)
        if self._next is not None:
            self._reactor.callLater(max(0.0, self._next.due_s - now), self._send_due)
        else:
            self._finish_when_idle()

    def _send(self, arrival: Arrival, now: float) -> None:
        self._running += 1
        if now - arrival.due_s > LATE_S:
            self._tally.late_sends += 1
        stream = self._plan.streams[arrival.stream_index]
        request = _request(stream, self._keys[arrival.stream_index], arrival.number)
        sent = ensureDeferred(self._caller.send(stream.service, request))
        sent.addTimeout(self._plan.timeout_s, self._reactor)
        sent.addBoth(self._ended, stream, arrival.due_s)

    def _ended(self, result: Any, stream: Stream, due_s: float) -> None:
        self._running -= 1
        self._progress.update()
        seconds = self._reactor.seconds() - self._started - due_s
        series = self._tally.series(stream.workspace, stream.service)
        series.record(_outcome(result), seconds)
        if self._next is None:
            self._finish_when_idle()

    def _finish_when_idle(self) -> None:
        if self._running == 0 and not self._done.called:
            self._progress.close()
            self._caller.close()
            self._done.callback(self._tally)


def _outcome(result: Any) -> str:
    if isinstance(result, Answer):
        if result.status < 400:
            return "ok"
        return f"{result.status} {result.outcome or 'answered'}"
    if result.check(ConnectionBrokenError):
        return "broken"
    if result.check(NotConnectedError):
        return "not-connected"
    if result.check(CancelledError) or "Timeout" in result.type.__name__:
        return "timeout"
    result.raiseException()
    raise AssertionError("unreachable")


def _read_key(stream: Stream) -> str | None:
    if stream.key_file is None:
        return None
    return stream.key_file.read_text(encoding="utf-8").strip()


def _request(stream: Stream, key: str | None, number: int) -> bytes:
    lines = [
        f"{stream.method} {stream.path.replace('{n}', str(number))} HTTP/1.1",
        "Host: gentianhitch",
        f"X-Request-Id: load-{number}",
    ]
    if key is not None:
        lines.append(f"Authorization: Bearer {key}")
    if stream.idempotency_keys:
        lines.append(f"Idempotency-Key: load-{number}")
    if stream.body_bytes or stream.method in ("POST", "PUT", "PATCH"):
        lines.append(f"Content-Length: {stream.body_bytes}")
    head = "\r\n".join(lines) + "\r\n\r\n"
    return head.encode() + b"x" * stream.body_bytes
