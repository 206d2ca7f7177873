"""A target that injects the fault named in each request's ``X-Fault`` header."""

from __future__ import annotations

import hashlib
from collections import Counter

from httptools import HttpRequestParser
from twisted.internet.protocol import Protocol

from tests.builders_path import make_response

LATE_RESPONSE_S = 0.3
PART_DELAY_S = 0.002


class FaultyTarget(Protocol):
    """Responds with a body of request ids and its digest, or injects a fault."""

    reactor = None
    runs_by_id: Counter

    def connectionMade(self):  # noqa: N802
        self.parser = HttpRequestParser(self)
        self.headers = {}
        self.last_id = "none"

    def dataReceived(self, data):  # noqa: N802
        self.parser.feed_data(data)

    def on_message_begin(self):
        self.headers = {}

    def on_header(self, name, value):
        self.headers[name.decode().lower()] = value.decode()

    def on_message_complete(self):
        request_id = self.headers["x-request-id"]
        fault = self.headers.get("x-fault", "none")
        size = int(self.headers.get("x-size", "200"))
        getattr(self, f"do_{fault}")(request_id, size)
        self.last_id = request_id

    def record_run(self, request_id):
        self.runs_by_id[request_id] += 1

    def make_response(self, request_id, size, **headers):
        body = (request_id + " ").encode() * (size // (len(request_id) + 1) + 1)
        digest = hashlib.sha256(body).hexdigest()
        return make_response(body, X_Digest=digest, X_Request_Id=request_id, **headers)

    def write(self, data):
        if self.transport.connected:
            self.transport.write(data)

    def do_none(self, request_id, size):
        self.record_run(request_id)
        self.write(self.make_response(request_id, size))

    def do_halves(self, request_id, size):
        self.record_run(request_id)
        data = self.make_response(request_id, size)
        self.write(data[: len(data) // 2])
        self.reactor.callLater(PART_DELAY_S, self.write, data[len(data) // 2 :])

    def do_chunks(self, request_id, size):
        self.record_run(request_id)
        head, _, body = self.make_response(request_id, size).partition(b"\r\n\r\n")
        lines = [line for line in head.split(b"\r\n") if b"Content-Length" not in line]
        head = b"\r\n".join([*lines, b"Transfer-Encoding: chunked"])
        self.write(head + b"\r\n\r\n" + b"%x\r\n%b\r\n" % (len(body), body))
        self.reactor.callLater(PART_DELAY_S, self.write, b"0\r\n\r\n")

    def do_reset_before(self, request_id, size):
        self.transport.abortConnection()

    def do_reset_after(self, request_id, size):
        self.record_run(request_id)
        self.transport.abortConnection()

    def do_cut(self, request_id, size):
        self.record_run(request_id)
        self.write(self.make_response(request_id, size)[:-3])
        self.transport.loseConnection()

    def do_cut_chunks(self, request_id, size):
        self.record_run(request_id)
        self.write(
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n"
        )
        self.transport.loseConnection()

    def do_overlong(self, request_id, size):
        self.record_run(request_id)
        self.write(self.make_response(request_id, size) + b"surplus")

    def do_doubled(self, request_id, size):
        self.record_run(request_id)
        self.write(self.make_response(request_id, size) * 2)

    def do_unasked(self, request_id, size):
        self.record_run(request_id)
        self.write(self.make_response(request_id, size))
        self.reactor.callLater(
            PART_DELAY_S, self.write, self.make_response("unasked", size)
        )

    def do_crossed(self, request_id, size):
        self.record_run(request_id)
        self.write(self.make_response(self.last_id, size))

    def do_late(self, request_id, size):
        self.record_run(request_id)
        self.reactor.callLater(
            LATE_RESPONSE_S, self.write, self.make_response(request_id, size)
        )

    def do_silent(self, request_id, size):
        self.record_run(request_id)

    def do_garbage(self, request_id, size):
        self.record_run(request_id)
        self.write(b"\0\1\2\r\n\r\n")

    def do_endless(self, request_id, size):
        self.record_run(request_id)
        self.write(b"HTTP/1.1 200 OK\r\n\r\nhello")

    def do_shed(self, request_id, size):
        status = "503 Service Unavailable"
        self.write(make_response(b"", status, Shed="not-run", X_Request_Id=request_id))


FAULTS = [name.removeprefix("do_") for name in vars(FaultyTarget) if name[:3] == "do_"]
