"""Write to a connection, or end it, without waiting for the next iteration."""

from __future__ import annotations

from typing import Any


def write_at_once(transport: Any, data: bytes) -> None:
    """Write ``data``, directly to the socket if no earlier data is buffered.

    The transport buffers what the socket does not accept and handles socket errors.
    This saves two changes of the poll set and one event loop iteration per write.
    """
    handle = getattr(transport, "socket", None)
    if handle is None or transport.disconnecting or not transport.connected:
        transport.write(data)
        return
    # Both buffers are empty unless an earlier write is incomplete.
    if transport.dataBuffer or transport._tempDataBuffer:
        transport.write(data)
        return
    try:
        sent = handle.send(data)
    except OSError:
        sent = 0
    if sent < len(data):
        transport.write(data[sent:])


def end_at_once(transport: Any) -> None:
    """End the sending side, now if nothing is buffered, else once that is sent.

    Until the peer sees the end, it may send what is not read any more.
    """
    transport.loseWriteConnection()
    handle = getattr(transport, "socket", None)
    if handle is None or not transport.connected:
        return
    if not (transport.dataBuffer or transport._tempDataBuffer):
        transport.doWrite()
