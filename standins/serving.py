"""Serve a stand-in's HTTP application on a local address."""

from __future__ import annotations

import json
import socket
import sys
from collections.abc import Callable
from typing import Any

from klein import Klein
from twisted.internet import reactor
from twisted.internet.defer import Deferred
from twisted.internet.defer import succeed
from twisted.web.http import Request
from twisted.web.server import Site

LOOPBACK = "127.0.0.1"

_reactor: Any = reactor


def listen(
    app: Klein,
    port: int,
    make_request: Callable[..., Request] | None = None,
    buffer_bytes: int = 0,
) -> str:
    """Listen on a loopback port (0 takes a free one) and return ``IP:PORT``.

    Connections receive into ``buffer_bytes``; 0 leaves the kernel's default.
    """
    site: Any = Site(app.resource(), make_request)  # type: ignore[no-untyped-call]
    site.noisy = False
    listening: Any = _reactor.listenTCP(port, site, interface=LOOPBACK)
    if buffer_bytes:
        listening.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer_bytes)
    return f"{LOOPBACK}:{listening.getHost().port}"


def announce(**values: object) -> None:
    """Print one line of JSON that tells the starter where to connect."""
    print(json.dumps(values), flush=True)


def serve() -> None:
    """Run until SIGTERM or SIGINT."""
    _reactor.run()
    sys.exit(0)


def answer_json(request: Request, value: object, status: int = 200) -> bytes:
    """Answer with a JSON value."""
    request.setResponseCode(status)
    request.setHeader(b"Content-Type", b"application/json")  # type: ignore[no-untyped-call]
    return json.dumps(value).encode()


def read_query(request: Any) -> dict[str, str]:
    """Read the query; of a name that comes twice the first value counts."""
    return {name.decode(): values[0].decode() for name, values in request.args.items()}


def read_json(request: Request) -> Any:
    """Read the request's body as JSON; an empty body is an empty object."""
    return json.loads(request.content.read() or b"{}")  # type: ignore[union-attr]


def seconds() -> float:
    """Return the time of the runtime's clock."""
    return float(_reactor.seconds())


def call_later(delay_s: float, call: Callable[..., object], *values: object) -> None:
    """Call back after ``delay_s``."""
    _reactor.callLater(delay_s, call, *values)


def after(delay_s: float) -> Deferred[None]:
    """Return a Deferred that fires after ``delay_s``."""
    if delay_s <= 0:
        return succeed(None)
    waiting: Deferred[None] = Deferred()
    call_later(delay_s, waiting.callback, None)
    return waiting


def never() -> Deferred[None]:
    """Return a Deferred that ends only when the caller disconnects."""
    return Deferred()


async def drop(request: Request) -> None:
    """Break the connection without an answer."""
    if request.transport is not None:
        request.transport.abortConnection()  # type: ignore[attr-defined]
    await never()
