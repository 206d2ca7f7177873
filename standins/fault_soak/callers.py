"""Callers that send requests all the while and keep what they saw."""

from __future__ import annotations

import json
import threading
import time
from collections.abc import Callable
from http.client import HTTPConnection
from http.client import HTTPException
from random import Random
from typing import Any

import attrs

from gentianhitch.platform import wire_names
from standins.platform_deployment import HOST

TIMEOUT_S = 6.0
REMAINING_S = 3.0
PAUSE_S = (0.02, 0.2)
LEAVE_SHARE = 0.03
KEEP_SHARE = 0.9


@attrs.frozen
class Kind:
    """One kind of request that callers send."""

    name: str
    method: str
    prefix: str
    key: str | None
    workspace: str
    timeout_s: float = 2.0


@attrs.define
class Seen:
    """One request as its caller saw it; ``status`` 0 means no whole answer.

    ``address`` is the instance that it was sent to; ``server_leaves`` if the answer
    says so of its server. ``sent_s`` is when its first byte was sent, ``whole_s`` when
    the last one was, or 0. ``kept`` if the connection had brought an answer before,
    ``behind`` if it was sent behind a request that still waited. ``paused_until_s`` is
    the end of the caller's own pause.
    """

    request: str
    kind: Kind
    address: str
    sent_s: float
    ended_s: float = 0.0
    status: int = 0
    signed: bool = False
    answer: dict[str, Any] = attrs.Factory(dict)
    left: bool = False
    server_leaves: bool = False
    query: str = ""
    whole_s: float = 0.0
    kept: bool = False
    behind: bool = False
    pauses: bool = False
    paused_until_s: float = 0.0

    @property
    def path(self) -> str:
        """Return the path and the query that were sent."""
        return f"{self.kind.prefix}{self.request}{self.query}"


@attrs.define
class Caller:
    """Send one request after the other; keep connections until they break."""

    name: str
    random: Random
    kinds: Callable[[], list[Kind]]
    addresses: Callable[[], list[str]]
    seen: list[Seen] = attrs.Factory(list)
    stopped: threading.Event = attrs.Factory(threading.Event)
    _connection: HTTPConnection | None = None
    _address: str = ""
    _is_kept: bool = False

    def run(self) -> None:
        """Send until stopped."""
        number = 0
        while not self.stopped.is_set():
            kinds, addresses = self.kinds(), self.addresses()
            if addresses:
                number += 1
                kind = self.random.choice(kinds)
                self._send(f"{self.name}-{number}", kind, addresses)
            time.sleep(self.random.uniform(*PAUSE_S))
        self._drop()

    def _send(self, request: str, kind: Kind, addresses: list[str]) -> None:
        if self._connection is None:
            self._address = self.random.choice(addresses)
            self._connection = HTTPConnection(self._address, timeout=TIMEOUT_S)
            self._is_kept = False
        seen = Seen(request, kind, self._address, time.monotonic(), kept=self._is_kept)
        self.seen.append(seen)
        try:
            self._exchange(self._connection, seen)
        except (OSError, HTTPException, ValueError):
            self._drop()
        seen.ended_s = time.monotonic()
        if self.random.random() > KEEP_SHARE:
            self._drop()

    def _exchange(self, connection: HTTPConnection, seen: Seen) -> None:
        headers = {
            "Host": HOST,
            wire_names.REQUEST_ID.decode(): seen.request,
            wire_names.REMAINING_MS.decode(): str(int(REMAINING_S * 1000)),
        }
        if seen.kind.key is not None:
            headers["Authorization"] = f"Bearer {seen.kind.key}"
        connection.request(seen.kind.method, seen.path, headers=headers)
        seen.whole_s = time.monotonic()
        if self.random.random() < LEAVE_SHARE:
            seen.left = True
            self._drop()
            return
        answer = connection.getresponse()
        body = answer.read()
        seen.signed = answer.headers.get(wire_names.SIGNATURE.decode()) is not None
        said = answer.headers.get(wire_names.SERVER_LEAVING.decode())
        seen.server_leaves = said == "1"
        seen.answer = json.loads(body) if body else {}
        seen.status = answer.status
        self._is_kept = True
        if answer.headers.get("Connection", "").lower() == "close":
            self._drop()

    def _drop(self) -> None:
        if self._connection is not None:
            self._connection.close()
            self._connection = None
