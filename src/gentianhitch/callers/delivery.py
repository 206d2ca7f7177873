"""Find out how much of what was written to a connection has not arrived."""

from __future__ import annotations

import fcntl
import struct
import termios
from typing import Any

_INT = struct.Struct("i")


def unsent_bytes(transport: Any) -> int:
    """Return the bytes in the transport's buffer; 0 without a socket."""
    if getattr(transport, "socket", None) is None or not transport.connected:
        return 0
    count: int = len(transport.dataBuffer) - transport.offset + transport._tempDataLen
    return count


def undelivered_bytes(transport: Any) -> int:
    """Return the bytes that the peer has not acknowledged; 0 without a socket.

    Those in the transport's buffer and in the kernel's are counted.
    """
    handle = getattr(transport, "socket", None)
    if handle is None or not transport.connected:
        return 0
    buffered = unsent_bytes(transport)
    try:
        data = fcntl.ioctl(handle.fileno(), termios.TIOCOUTQ, bytes(_INT.size))
    except OSError:
        return buffered
    (queued,) = _INT.unpack(data)
    return buffered + int(queued)
