"""A stand-in backend server of the users' platform.

Usage: ``python -m standins.platform_server --store ADDRESS --service NAME --count N``.
Each server registers itself, sends heartbeats, and answers any path with its own id.
``PUT /admin/fault?kind=KIND`` on its address switches a fault: ``none``, ``errors``,
``hang``, ``decline``, ``repeat`` (a refusal without an id before each answer),
``cut-head`` (the connection ends amid the head of the answer), ``reset-upload`` (a part
of an answer without a length, before the body is read, then a reset), ``busy`` (a
refusal with ``Retry-After``), one of ``ENDLESS``, which sends until it is closed, or
one of ``BROKEN_HEADS``, after which it sends no more. ``drain`` and ``leave`` last: all
answers say that the server leaves, and with ``drain`` its entry says so too. ``cold``
makes it say for ``--warmup-s`` that it is cold. The query of a request may ask for an
answer of ``bytes`` more, and for a pause before its body is read (``read_after_ms``) or
in the middle of the answer (``pause_ms``).
"""

from __future__ import annotations

import argparse
import json
import time
import urllib.request
from typing import Any
from urllib.parse import parse_qs

import attrs
from klein import Klein
from twisted.internet import reactor
from twisted.internet.task import LoopingCall
from twisted.internet.threads import deferToThread
from twisted.web.server import Request

from gentianhitch.platform import wire_names
from standins import serving

HEARTBEAT_S = 0.5
LINK_TIMEOUT_S = 10.0
REPEATED_REFUSAL = (
    b"HTTP/1.1 503 Busy\r\n%b: 1\r\nContent-Length: 0\r\n\r\n" % wire_names.NOT_EXECUTED
)
CUT_HEAD = b"HTTP/1.1 200 OK\r\nContent-Le"
UNFRAMED_PART = b"a part of a body"
RESET_DELAY_S = 0.003
_CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
ENDLESS = {
    "endless-line": (b"HTTP/1.1 200 OK\r\nX-Long: ", b"y" * 65_536),
    "endless-headers": (b"HTTP/1.1 200 OK\r\n", b"a: b\r\n" * 10_000),
    "endless-interim": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 2_500),
    "endless-body": (
        b"HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n",
        b"z" * 65_536,
    ),
    "endless-unframed": (b"HTTP/1.1 200 OK\r\n\r\n", b"z" * 65_536),
    "endless-chunks": (_CHUNKED, b"2\r\nok\r\n" * 9_000),
    "endless-trailers": (_CHUNKED + b"0\r\n", b"a: b\r\n" * 10_000),
    "endless-others": (b"", b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n" * 1_500),
}
"""The first bytes of each, and those that are repeated."""

BROKEN_HEADS = {
    "status-000": (b"000 Broken", b"X-Line: 1"),
    "blank-in-name": (b"200 OK", b"X Line: 1"),
    "blank-after-name": (b"200 OK", b"X-Line : 1"),
    "control-in-name": (b"200 OK", b"X-\x01Line: 1"),
}
"""Status and one header of each."""

BROKEN_BODY = b"no such answer"

SLOTS = 6
BUSY_S = 2.5
_loops: list[LoopingCall] = []
_reactor: Any = reactor


@attrs.define
class Server:
    """One server with its fault and the requests that it ran."""

    id: str
    service: str
    store: str
    zone: str
    address: str = ""
    listed_address: str = ""
    started_ms: int = attrs.field(factory=lambda: time.time_ns() // 1_000_000)
    work_s: float = 0.0
    fault: str = "none"
    state: str = "ready"
    is_leaving: bool = False
    warmup_s: float = 0.0
    cold_until_s: float = 0.0
    beats: int = 0
    ran: list[str] = attrs.Factory(list)
    runs: list[dict[str, Any]] = attrs.Factory(list)
    arrivals: list[dict[str, Any]] = attrs.Factory(list)
    reached: list[str] = attrs.Factory(list)

    def listen(self, buffer_bytes: int = 0) -> None:
        """Open a free port; connections receive into ``buffer_bytes``."""
        app = Klein()
        route: Any = app.route
        route("/admin/fault", methods=["PUT"])(self._set_fault)
        route("/admin/ran")(self._show_ran)
        route("/admin/runs")(self._show_runs)
        route("/admin/arrivals")(self._show_arrivals)
        route("/admin/reached")(self._show_reached)
        route("/", branch=True)(self._answer)

        def make_request(*arguments: Any, **named: Any) -> PausingRequest:
            request = PausingRequest(*arguments, **named)
            request.server = self
            return request

        self.address = self.listed_address = serving.listen(
            app, 0, make_request, buffer_bytes
        )

    def listen_behind(self, links: str) -> None:
        """Have callers come through a link of ``standins.faulty_links``."""
        url = f"http://{links}/links?target={self.address}"
        request = urllib.request.Request(url, method="POST")
        with urllib.request.urlopen(request, timeout=LINK_TIMEOUT_S) as answer:
            self.listed_address = json.load(answer)["address"]

    def beat(self) -> None:
        """Write the entry again."""
        self.beats += 1
        entry = {
            "service": self.service,
            "address": self.listed_address,
            "zone": self.zone,
            "version": "v1",
            "slots": SLOTS,
            "state": self.state,
            "warmupRemainingMs": self.cold_for_s * 1000,
            "sequenceNumber": self.beats,
            "born": self.started_ms,
        }
        url = f"http://{self.store}/admin/item?key=servers/{self.id}"
        data = json.dumps(entry).encode()
        deferToThread(_put, url, data).addErrback(lambda _: None)

    @property
    def cold_for_s(self) -> float:
        """Return for how long it stays cold; 0 if it is warm."""
        return max(self.cold_until_s - time.monotonic(), 0.0)

    async def _answer(self, request: Any) -> bytes:
        headers = request.requestHeaders
        request_id = headers.getRawHeaders(wire_names.REQUEST_ID, [b""])[0]
        expected = headers.getRawHeaders(wire_names.EXPECTED_SERVER, [b""])[0]
        request.setHeader(wire_names.REQUEST_ID, request_id)
        if expected and expected.decode() != self.id:
            request.setResponseCode(421)
            return b""
        if self.is_leaving:
            request.setHeader(wire_names.SERVER_LEAVING, b"1")
        self.arrivals.append(
            {
                "request": request_id.decode(),
                "at_s": time.monotonic(),
                "wait_s": 0.0,
                "is_cold": self.cold_for_s > 0,
            }
        )
        if self.fault == "busy":
            self.arrivals[-1]["wait_s"] = BUSY_S
            request.setHeader(wire_names.NOT_EXECUTED, b"1")
            request.setHeader(b"Retry-After", f"{BUSY_S:g}".encode())
            request.setResponseCode(503)
            return b""
        if self.fault == "decline":
            request.setHeader(wire_names.NOT_EXECUTED, b"1")
            request.setResponseCode(503)
            return b""
        self.ran.append(request_id.decode())
        workspace = headers.getRawHeaders(wire_names.WORKSPACE, [b""])[0].decode()
        self.runs.append(
            {
                "request": request_id.decode(),
                "at_s": time.monotonic(),
                "workspace": workspace,
                "path": request.uri.decode(),
                "server": self.id,
                "authorization": headers.hasHeader("authorization"),
            }
        )
        await self._break_answer(request, request_id)
        request.setHeader(wire_names.SIGNATURE, b"signed-by-" + self.id.encode())
        if self.fault == "errors":
            request.setResponseCode(500)
        await serving.after(self.work_s)
        shown = {
            "server": self.id,
            "request": request_id.decode(),
            "service": self.service,
            "path": request.uri.decode(),
            "workspace": workspace,
            "authorization": headers.hasHeader("authorization"),
            "body": "z" * _number(request.args, b"bytes")
            or request.content.read().decode(),
        }
        return await _begin(request, json.dumps(shown).encode())

    async def _break_answer(self, request: Any, request_id: bytes) -> None:
        """Send what the fault says before an answer, or in its place."""
        transport = request.channel.transport
        if self.fault == "repeat":
            transport.write(REPEATED_REFUSAL)
        elif self.fault in ENDLESS:
            await _send_without_end(request, *ENDLESS[self.fault])
        elif self.fault in BROKEN_HEADS:
            transport.write(_encode_broken(request_id, *BROKEN_HEADS[self.fault]))
            await serving.never()
        elif self.fault == "cut-head":
            transport.write(CUT_HEAD)
            transport.loseConnection()
            await serving.never()
        elif self.fault == "hang":
            await serving.never()

    def _set_fault(self, request: Any) -> bytes:
        kind = request.args[b"kind"][0].decode()
        if kind == "drain":
            self.is_leaving = True
            self.state = "draining"
            self.beat()
        elif kind == "leave":
            self.is_leaving = True
        elif kind == "cold":
            self.cold_until_s = time.monotonic() + self.warmup_s
            self.beat()
        else:
            self.fault = kind
        return b""

    def _show_runs(self, request: Any) -> bytes:
        return serving.answer_json(request, self.runs)

    def _show_arrivals(self, request: Any) -> bytes:
        return serving.answer_json(request, self.arrivals)

    def _show_reached(self, request: Any) -> bytes:
        return serving.answer_json(request, self.reached)

    def _show_ran(self, request: Any) -> bytes:
        return serving.answer_json(request, self.ran)


class PausingRequest(Request):
    """Record that a head arrived, and pause before the body if the query says so."""

    server: Server

    def gotLength(self, length: int | None) -> None:  # noqa: N802
        """Begin to take the body."""
        super().gotLength(length)
        headers = self.requestHeaders
        request_id = headers.getRawHeaders(wire_names.REQUEST_ID, [b""])[0]
        self.server.reached.append(request_id.decode())
        channel: Any = self.channel
        if request_id and self.server.fault == "reset-upload":
            _reset_amid_answer(channel.transport, request_id)
            return
        query = parse_qs(channel._path.partition(b"?")[2])
        if after_ms := _number(query, b"read_after_ms"):
            channel.transport.pauseProducing()
            serving.call_later(after_ms / 1000, channel.transport.resumeProducing)


def _encode_head(status: bytes, request_id: bytes, *lines: bytes) -> bytes:
    """Return the head of a signed answer, as it is."""
    head = [
        b"HTTP/1.1 " + status,
        wire_names.REQUEST_ID + b": " + request_id,
        wire_names.SIGNATURE + b": signed",
        *lines,
    ]
    return b"\r\n".join(head) + b"\r\n\r\n"


def _encode_broken(request_id: bytes, status: bytes, line: bytes) -> bytes:
    length = b"Content-Length: %d" % len(BROKEN_BODY)
    return _encode_head(status, request_id, line, length) + BROKEN_BODY


def _reset_amid_answer(transport: Any, request_id: bytes) -> None:
    transport.write(_encode_head(b"200 OK", request_id) + UNFRAMED_PART)
    serving.call_later(RESET_DELAY_S, transport.abortConnection)


async def _begin(request: Any, answer: bytes) -> bytes:
    """Return the answer, or what is left of it after a pause in its middle."""
    pause_ms = _number(request.args, b"pause_ms")
    if not pause_ms:
        return answer
    request.setHeader(b"Content-Length", str(len(answer)).encode())
    request.write(answer[: len(answer) // 2])
    await serving.after(pause_ms / 1000)
    return answer[len(answer) // 2 :]


def _number(query: dict[bytes, list[bytes]], name: bytes) -> int:
    return int(query.get(name, [b"0"])[0])


async def _send_without_end(request: Any, first: bytes, part: bytes) -> None:
    transport = request.channel.transport
    transport.write(first)
    while transport.connected:
        if not transport.dataBuffer:
            transport.write(part)
        await serving.after(0.001)
    await serving.never()


def _put(url: str, data: bytes) -> None:
    request = urllib.request.Request(url, method="PUT", data=data)
    urllib.request.urlopen(request, timeout=HEARTBEAT_S).read()


def main() -> None:
    """Serve until SIGTERM."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--store", required=True)
    parser.add_argument("--service", required=True)
    parser.add_argument("--zones", default="d1", help="in turn, separated by commas")
    parser.add_argument("--warmup-s", type=float, default=3.0)
    parser.add_argument("--count", type=int, default=3)
    parser.add_argument("--work-ms", type=float, default=0.0)
    parser.add_argument("--buffer-bytes", type=int, default=0)
    parser.add_argument("--links", help="address of standins.faulty_links")
    arguments = parser.parse_args()
    zones = arguments.zones.split(",")
    servers = [
        Server(
            f"{arguments.service}-{number}",
            arguments.service,
            arguments.store,
            zones[number % len(zones)],
            work_s=arguments.work_ms / 1000,
            warmup_s=arguments.warmup_s,
        )
        for number in range(arguments.count)
    ]
    for server in servers:
        server.listen(arguments.buffer_bytes)
        if arguments.links:
            server.listen_behind(arguments.links)
        loop = LoopingCall(server.beat)
        loop.start(HEARTBEAT_S)
        _loops.append(loop)
    serving.announce(
        addresses={server.id: server.address for server in servers},
        listed={server.id: server.listed_address for server in servers},
        zones={server.id: server.zone for server in servers},
    )
    serving.serve()


if __name__ == "__main__":
    main()
