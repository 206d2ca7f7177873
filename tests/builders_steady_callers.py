"""Callers that read through real proxies all the while, and how each read ended."""

from __future__ import annotations

import threading
import time
from http.client import HTTPConnection
from http.client import HTTPException

import attrs

from gentianhitch.platform import wire_names
from standins.platform_deployment import HOST
from standins.platform_deployment import ROUTES
from standins.platform_deployment import Proxy

TIMEOUT_S = 10.0
PAUSE_S = 0.01
REMAINING_MS = 4000


@attrs.frozen
class Read:
    """One read: when it was sent and answered, and how."""

    sent_s: float
    ended_s: float
    status: int
    retry_after_s: float


@attrs.define(eq=False)
class SteadyCallers:
    """Threads that read on the open route; use it as a context manager.

    They use the proxies in ``proxies`` in turn, a new connection each time one fails.
    """

    proxies: list[Proxy]
    count: int = 20
    reads: list[Read] = attrs.Factory(list)
    _stopped: threading.Event = attrs.Factory(threading.Event)
    _threads: list[threading.Thread] = attrs.Factory(list)

    def __enter__(self) -> SteadyCallers:
        for number in range(self.count):
            thread = threading.Thread(target=self._run, args=[number], daemon=True)
            self._threads.append(thread)
            thread.start()
        return self

    def __exit__(self, *exc_info: object) -> None:
        self._stopped.set()
        for thread in self._threads:
            thread.join(TIMEOUT_S)

    def _run(self, number: int) -> None:
        sent = 0
        while not self._stopped.is_set():
            proxy = self.proxies[number % len(self.proxies)]
            connection = HTTPConnection(proxy.addresses["callers"], timeout=TIMEOUT_S)
            try:
                while not self._stopped.is_set() and proxy in self.proxies:
                    sent += 1
                    self._read(connection, f"steady-{number}-{sent}")
                    time.sleep(PAUSE_S)
            except (OSError, HTTPException):
                time.sleep(PAUSE_S)
            finally:
                connection.close()

    def _read(self, connection: HTTPConnection, request_id: str) -> None:
        sent_s = time.monotonic()
        connection.request(
            "GET",
            f"{ROUTES['open']}1",
            headers={
                "Host": HOST,
                wire_names.REQUEST_ID.decode(): request_id,
                wire_names.REMAINING_MS.decode(): str(REMAINING_MS),
            },
        )
        answer = connection.getresponse()
        answer.read()
        retry_after_s = float(answer.headers.get("Retry-After", "0"))
        self.reads.append(Read(sent_s, time.monotonic(), answer.status, retry_after_s))

    def since(self, since_s: float) -> list[Read]:
        """Return the reads that were sent after ``since_s`` and have ended."""
        return [read for read in tuple(self.reads) if read.sent_s >= since_s]


def most_in_a_second(times_s: list[float]) -> int:
    """Return the most events in any one second."""
    return max(
        (sum(at_s <= each < at_s + 1.0 for each in times_s) for at_s in times_s),
        default=0,
    )
