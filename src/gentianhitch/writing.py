"""Write to a connection without waiting for the next turn of the loop."""

from __future__ import annotations

from typing import Any


def write_at_once(transport: Any, data: bytes) -> None:
    """Write ``data``, directly to the socket if nothing waits before it.

    The transport takes what the socket does not, and meets its errors. This saves
    two changes of the poll set and one turn of the loop for each write.
    """
    handle = getattr(transport, "socket", None)
    if handle is None or transport.disconnecting or not transport.connected:
        transport.write(data)
        return
    # Both lists are empty unless an earlier write still waits.
    if transport.dataBuffer or transport._tempDataBuffer:
        transport.write(data)
        return
    try:
        sent = handle.send(data)
    except OSError:
        sent = 0
    if sent < len(data):
        transport.write(data[sent:])
