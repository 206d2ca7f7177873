"""Callers of real proxies that all send at one moment, and what became of each."""

from __future__ import annotations

import selectors
import socket
import time
from collections import Counter

import attrs

from standins.deployment import call
from tests.builders_raw_callers import encode_order

CONNECT_TIMEOUT_S = 1.0
CROSSED_S = 0.2
"""A request that ends sooner than this after it was sent crossed a close."""


@attrs.define(eq=False)
class WaveCaller:
    """One connection and the order that is written on it."""

    request_id: str
    connection: socket.socket
    sent_s: float = 0.0
    ended_s: float = 0.0
    received: bytearray = attrs.Factory(bytearray)

    def send(self) -> None:
        """Write the order whole."""
        self.received.clear()
        self.connection.sendall(encode_order(self.request_id))
        self.sent_s = time.monotonic()

    def read(self) -> bool:
        """Read what has arrived; return whether the exchange has ended."""
        try:
            data = self.connection.recv(65536)
        except OSError:
            data = b""
        self.received += data
        is_answered = b"\r\n\r\n" in self.received
        if is_answered or not data:
            self.ended_s = time.monotonic()
        return self.ended_s > 0.0

    def outcome(self, runs: Counter[str]) -> str:
        """Return the status, "crossed", or "lost" for an order without an answer."""
        if b"\r\n\r\n" in self.received:
            return self.received.split(b" ", 2)[1].decode()
        is_late = not self.ended_s or self.ended_s - self.sent_s > CROSSED_S
        return "lost" if runs[self.request_id] or is_late else "crossed"


def connect(address: str, request_id: str) -> WaveCaller:
    """Open a connection for one order."""
    host, _, port = address.rpartition(":")
    connection = socket.create_connection((host, int(port)), CONNECT_TIMEOUT_S)
    return WaveCaller(request_id, connection)


def connect_kept(address: str, count: int) -> list[WaveCaller]:
    """Open connections on each of which one order has been answered."""
    callers = [connect(address, f"first-{number}") for number in range(count)]
    for caller in callers:
        caller.send()
    wait_for(callers, 10.0)
    for number, caller in enumerate(callers):
        assert caller.received.startswith(b"HTTP/1.1 200")
        caller.request_id, caller.ended_s = f"kept-{number}", 0.0
    return callers


def wait_for(callers: list[WaveCaller], seconds: float) -> None:
    """Wait until each caller's exchange has ended, or for ``seconds``."""
    end_s = time.monotonic() + seconds
    with selectors.DefaultSelector() as selector:
        for caller in callers:
            selector.register(caller.connection, selectors.EVENT_READ, caller)
        while selector.get_map() and time.monotonic() < end_s:
            for key, _ in selector.select(0.1):
                if key.data.read():
                    selector.unregister(key.fileobj)


def count_runs(servers_by_id: dict[str, str]) -> Counter[str]:
    """Return how often each order ran, over all backend servers."""
    runs: Counter[str] = Counter()
    for address in servers_by_id.values():
        runs.update(call("GET", address, "/admin/ran"))
    return runs
