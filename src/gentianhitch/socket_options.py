"""Socket options that make the kernel detect dead connections."""

from __future__ import annotations

import socket
from typing import Any

KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
UNACKNOWLEDGED_TIMEOUT_MS = 3_000
"""The kernel drops a connection whose sent bytes are unacknowledged for this long."""

_OPTIONS = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS),
)


def watch_for_silence(transport: Any) -> None:
    """Set the options on a connection, unless it is a test transport without socket."""
    handle = getattr(transport, "socket", None)
    if handle is not None:
        for option in _OPTIONS:
            handle.setsockopt(*option)
