"""Take what the kernel has received before a connection or a port is closed."""

from __future__ import annotations

import fcntl
import socket
import struct
import termios
from collections.abc import Callable
from typing import Any

from twisted.internet.main import CONNECTION_DONE
from twisted.python.failure import Failure

MAX_READS = 32
"""Reads of one connection in a row, of 64 KiB each."""

MAX_ACCEPT_ROUNDS = 64
"""Rounds in which a port accepts; each may accept more than the one before."""

_INT = struct.Struct("i")


def read_arrived(transport: Any, may_read: Callable[[], bool]) -> None:
    """Pass the bytes that have arrived to the protocol, while ``may_read`` allows it.

    A connection that ends meanwhile is left to the event loop.
    """
    for _ in range(MAX_READS):
        if not (may_read() and unread_bytes(transport)):
            return
        if transport.doRead() is not None:
            return


def unread_bytes(transport: Any) -> int:
    """Return the bytes received that were not read; 0 without a socket."""
    handle = getattr(transport, "socket", None)
    if handle is None or not transport.connected or transport.disconnecting:
        return 0
    try:
        data = fcntl.ioctl(handle.fileno(), termios.FIONREAD, bytes(_INT.size))
    except OSError:
        return 0
    return int(_INT.unpack(data)[0])


def has_arrived(transport: Any) -> bool:
    """Return whether bytes, or the end of the connection, wait to be read."""
    handle = getattr(transport, "socket", None)
    if handle is None:
        return False
    try:
        handle.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except ConnectionError:
        return True
    except OSError:
        return False
    return True


def _accept_arrived(port: Any) -> None:
    """Accept the connections in the backlog of ``port``."""
    for _ in range(MAX_ACCEPT_ROUNDS):
        accepted = port.sessionno
        port.doRead()
        if port.sessionno == accepted:
            return


def close_port(port: Any) -> None:
    """Accept the connections that have arrived, then close the port.

    ``stopListening`` closes it in a later iteration, which resets those that arrive
    until then.
    """
    _accept_arrived(port)
    port.connectionLost(Failure(CONNECTION_DONE))
