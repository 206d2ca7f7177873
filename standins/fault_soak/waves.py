"""Waves of callers that all send at the moments when a stopping instance closes."""

from __future__ import annotations

import selectors
import socket
import time
from random import Random

import attrs

from standins.fault_soak.callers import REMAINING_S
from standins.fault_soak.callers import Kind
from standins.fault_soak.callers import Seen
from standins.fault_soak.pipelining import encode_head
from standins.fault_soak.pipelining import record
from standins.raw_http import parse_answer

CLOSES_S = (2.0, 2.3, 2.6)
"""After SIGTERM: idle connections close, callers still connect, the port closes."""

JITTER_S = (-0.1, 0.02)
EARLY_S = 0.1
"""How long before its request a new connection is opened, for one in two."""

CONNECT_TIMEOUT_S = 0.5
LAST_ANSWER_S = 4.0
PIECE_BYTES = 65_536


@attrs.define(eq=False)
class WaveCaller:
    """One connection, and the request that is written on it."""

    seen: Seen
    connection: socket.socket
    buffer: bytearray = attrs.Factory(bytearray)

    def send(self) -> None:
        """Write the request whole."""
        self.seen.sent_s = time.monotonic()
        try:
            self.connection.sendall(encode_head(self.seen, 0, REMAINING_S))
        except OSError:
            self.seen.ended_s = time.monotonic()
            return
        self.seen.whole_s = time.monotonic()

    def is_closed(self) -> bool:
        """Tell whether the connection has ended before the request."""
        try:
            flags = socket.MSG_PEEK | socket.MSG_DONTWAIT
            return not self.connection.recv(1, flags)
        except BlockingIOError:
            return False
        except OSError:
            return True

    def read(self) -> bool:
        """Read what has arrived; return whether the exchange has ended."""
        try:
            data = self.connection.recv(PIECE_BYTES)
        except OSError:
            data = b""
        self.buffer += data
        answer = parse_answer(self.buffer)
        if answer is not None:
            record(self.seen, answer)
        elif not data:
            self.seen.ended_s = time.monotonic()
        return answer is not None or not data


@attrs.define
class Wave:
    """The waves at one instance that is about to stop.

    ``lag_s`` is the longest time that its own thread was held up.
    """

    name: str
    address: str
    size: int
    kinds: list[Kind]
    random: Random
    seen: list[Seen] = attrs.Factory(list)
    lag_s: float = 0.0
    _kept: list[WaveCaller] = attrs.Factory(list)

    def open_kept(self) -> None:
        """Open the connections on which a request is answered before the stop."""
        first = self._connect("first")
        for caller in first:
            self.seen.append(caller.seen)
            caller.send()
        self._wait_for(first, LAST_ANSWER_S, is_last=True)
        for number, caller in enumerate(first):
            if caller.seen.status:
                seen = self._make_seen(f"kept-{number}", kept=True)
                kept = WaveCaller(seen, caller.connection, caller.buffer)
                self._kept.append(kept)

    def run(self, stopped_s: float) -> None:
        """Send the waves of an instance that was told to stop at ``stopped_s``."""
        callers: list[WaveCaller] = []
        for close_s in CLOSES_S:
            at_s = stopped_s + close_s + self.random.uniform(*JITTER_S)
            self._wait_for(callers, at_s - EARLY_S - time.monotonic())
            callers = [each for each in callers if not each.seen.ended_s]
            early = self._connect(f"early-{close_s:g}", share=0.5)
            self._wait_for(callers, at_s - time.monotonic())
            sending = self._kept + early
            sending += self._connect(f"new-{close_s:g}", share=0.5)
            self._kept = []
            for caller in sending:
                if caller.is_closed():
                    caller.connection.close()
                    continue
                self.seen.append(caller.seen)
                caller.send()
                if not caller.seen.ended_s:
                    callers.append(caller)
        self._wait_for(callers, LAST_ANSWER_S, is_last=True)
        for caller in callers:
            caller.seen.ended_s = caller.seen.ended_s or time.monotonic()
            caller.connection.close()

    def _make_seen(self, request: str, *, kept: bool = False) -> Seen:
        name = f"{self.name}-{request}"
        return Seen(name, self.random.choice(self.kinds), self.address, 0.0, kept=kept)

    def _connect(self, name: str, share: float = 1.0) -> list[WaveCaller]:
        host, _, port = self.address.rpartition(":")
        made = []
        for number in range(int(self.size * share)):
            try:
                connection = socket.create_connection(
                    (host, int(port)), CONNECT_TIMEOUT_S
                )
            except OSError:
                break
            connection.settimeout(None)
            seen = self._make_seen(f"{name}-{number}")
            made.append(WaveCaller(seen, connection))
        return made

    def _wait_for(
        self, callers: list[WaveCaller], seconds: float, *, is_last: bool = False
    ) -> None:
        """Read for ``seconds``; if ``is_last``, only until all have ended."""
        end_s = time.monotonic() + seconds
        with selectors.DefaultSelector() as selector:
            for caller in callers:
                selector.register(caller.connection, selectors.EVENT_READ, caller)
            while selector.get_map() and time.monotonic() < end_s:
                ready = selector.select(max(end_s - time.monotonic(), 0.0))
                began_s = time.monotonic()
                for key, _ in ready:
                    if key.data.read():
                        selector.unregister(key.fileobj)
                self.lag_s = max(self.lag_s, time.monotonic() - began_s)
        if not is_last:
            time.sleep(max(end_s - time.monotonic(), 0.0))
