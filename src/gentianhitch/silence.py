"""Distinguish a peer that has stopped reading from one that is gone."""

from __future__ import annotations

import socket
import struct
from typing import Any

import attrs

from gentianhitch.socket_options import UNACKNOWLEDGED_TIMEOUT_MS

CLOSED_WINDOW_TIMEOUT_MS = 6_000
"""Limit since the last acknowledgement of a peer whose receive window is closed.

Twice the other limit: the kernel sends the probes of a closed window at increasing
intervals, up to what is left of the limit.
"""

MS_PER_S = 1000.0

_TCP_INFO = struct.Struct("=24xI28xI60xQ16xI80xI")
"""Fields of Linux's ``struct tcp_info`` up to the window, which came with Linux 5.4."""


@attrs.frozen
class SendState:
    """What the kernel knows about the bytes sent on a connection."""

    unacknowledged_segments: int
    acknowledged_ms_ago: int
    acknowledged_bytes: int
    unsent_bytes: int
    window_bytes: int

    @property
    def is_window_closed(self) -> bool:
        """Return whether bytes wait that the peer's window does not admit."""
        is_waiting = self.unacknowledged_segments > 0 or self.unsent_bytes > 0
        return is_waiting and self.window_bytes == 0


def read_send_state(transport: Any) -> SendState | None:
    """Return the state of a connection, or None where the kernel does not tell."""
    handle = getattr(transport, "socket", None)
    if handle is None or not transport.connected:
        return None
    try:
        data = handle.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO.size)
    except OSError:
        return None
    if len(data) < _TCP_INFO.size:
        return None
    return SendState(*_TCP_INFO.unpack(data))


@attrs.define(eq=False)
class SilenceLimit:
    """The kernel's limit for silence of one peer, extended while its window is closed.

    The kernel applies the limit to the whole time for which the window is closed, even
    if the peer acknowledges each probe of it. With each acknowledgement the limit is
    extended; when they cease, the kernel drops the connection at the limit reached.
    """

    _transport: Any
    _limit_ms: int = UNACKNOWLEDGED_TIMEOUT_MS
    _closed_since_s: float | None = None
    _acknowledged_bytes: int = 0

    @property
    def is_extended(self) -> bool:
        """Return whether the limit is not the usual one."""
        return self._limit_ms != UNACKNOWLEDGED_TIMEOUT_MS

    def update(self, now: float) -> None:
        """Adapt the limit to the state of the connection; call this periodically."""
        state = read_send_state(self._transport)
        if state is None:
            return
        if not state.is_window_closed:
            self._closed_since_s = None
            self._set_limit(UNACKNOWLEDGED_TIMEOUT_MS)
            return
        has_progressed = state.acknowledged_bytes != self._acknowledged_bytes
        if self._closed_since_s is None or has_progressed:
            self._closed_since_s = now
            self._acknowledged_bytes = state.acknowledged_bytes
        acknowledged_s = now - state.acknowledged_ms_ago / MS_PER_S
        closed_ms = max(acknowledged_s - self._closed_since_s, 0.0) * MS_PER_S
        self._set_limit(int(closed_ms) + CLOSED_WINDOW_TIMEOUT_MS)

    def _set_limit(self, limit_ms: int) -> None:
        if limit_ms == self._limit_ms:
            return
        try:
            _set_timeout(self._transport, limit_ms)
        except OSError:
            # The connection has ended, or the earlier limit stays in force.
            return
        self._limit_ms = limit_ms


@attrs.define(eq=False)
class SilenceWatch:
    """Finds out that a peer is gone, in place of the kernel's limit.

    Linux counts its limit from the first time at which the window was closed, also if
    the peer has read everything since; a peer that pauses twice is dropped for it.
    """

    _transport: Any
    _is_active: bool = False
    _waits_since_s: float | None = None

    def start(self) -> None:
        """Lift the kernel's limit, if it tells what is needed to replace it."""
        if read_send_state(self._transport) is not None:
            self._is_active = True
            _set_timeout(self._transport, 0)

    def is_gone(self, now: float) -> bool:
        """Return whether bytes in flight were not acknowledged; call periodically."""
        state = read_send_state(self._transport) if self._is_active else None
        if state is None or not state.unacknowledged_segments or not state.window_bytes:
            self._waits_since_s = None
            return False
        acknowledged_s = now - state.acknowledged_ms_ago / MS_PER_S
        if self._waits_since_s is None or acknowledged_s > self._waits_since_s:
            self._waits_since_s = now
        return now - self._waits_since_s >= UNACKNOWLEDGED_TIMEOUT_MS / MS_PER_S


def _set_timeout(transport: Any, timeout_ms: int) -> None:
    transport.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)
