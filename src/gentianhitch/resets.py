"""Distinguish the end of a peer's stream from a reset of the connection."""

from __future__ import annotations

import socket
from typing import Any

from gentianhitch.silence import read_send_state

_TCP_CLOSE = 7
"""State of a connection that was reset or given up, in Linux's ``tcp_states.h``."""


def was_reset(transport: Any) -> bool:
    """Return whether the connection was reset or given up by the kernel.

    A read alone does not tell: it returns the end of the stream after a reset that
    follows that end, and after an earlier call was told the error, which the kernel
    reports once. Return False without a socket, or where the kernel does not tell.
    """
    handle = getattr(transport, "socket", None)
    if handle is None:
        return False
    try:
        if handle.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
            return True
        state = handle.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
    except OSError:
        return False
    return bool(state == bytes([_TCP_CLOSE]))


def is_delivered(transport: Any) -> bool:
    """Return whether the peer's kernel has acknowledged all that was written.

    Return True where the kernel does not tell.
    """
    if transport.dataBuffer or transport._tempDataBuffer:
        return False
    state = read_send_state(transport)
    return state is None or not (state.unacknowledged_segments or state.unsent_bytes)
