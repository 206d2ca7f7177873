"""Send requests at times fixed beforehand and measure from those times."""

from __future__ import annotations

import random
import time
from collections import deque
from typing import Any

import attrs
from twisted.internet.defer import Deferred

from gentianhitch.benchmarks.loopback import Client

GIVE_UP_S = 10.0


@attrs.define(eq=False)
class OpenLoop:
    """One run: arrivals at ``rate`` a second, each on a free connection.

    A request whose time has come while every connection is busy waits for one,
    and its wait counts.
    """

    _reactor: Any
    _clients: list[Client]
    _free: deque[Client] = attrs.Factory(deque)
    _arrivals: deque[float] = attrs.Factory(deque)
    _late: deque[float] = attrs.Factory(deque)
    _expected: int = 0
    _times_s: list[float] = attrs.Factory(list)
    _done: Deferred[list[float]] = attrs.Factory(Deferred)

    async def run(self, rate: float, seconds: float, seed: int) -> list[float]:
        """Return the time of each request in seconds, sorted."""
        chance = random.Random(seed)
        at = time.perf_counter()
        for _ in range(int(rate * seconds)):
            at += chance.expovariate(rate)
            self._arrivals.append(at)
        self._expected = len(self._arrivals)
        self._free = deque(self._clients)
        self._times_s = []
        self._done = Deferred()
        self._done.addTimeout(seconds + GIVE_UP_S, self._reactor)
        self._send_due()
        return sorted(await self._done)

    def _send_due(self) -> None:
        now = time.perf_counter()
        while self._arrivals and self._arrivals[0] <= now:
            self._late.append(self._arrivals.popleft())
        self._use_free()
        if self._arrivals:
            delay_s = max(0.0, self._arrivals[0] - time.perf_counter())
            self._reactor.callLater(delay_s, self._send_due)

    def _use_free(self) -> None:
        while self._late and self._free:
            client, arrival = self._free.popleft(), self._late.popleft()
            client.send().addCallback(self._answered, client, arrival)

    def _answered(self, at: float, client: Client, arrival: float) -> None:
        self._times_s.append(at - arrival)
        self._free.append(client)
        self._use_free()
        if len(self._times_s) == self._expected:
            self._done.callback(self._times_s)
