"""Write one response to the caller with backpressure."""

from __future__ import annotations

from typing import Any

import attrs

from gentianhitch.backend_servers.connection import TargetConnection
from gentianhitch.backend_servers.responses import ResponseHead
from gentianhitch.callers.encoding import LAST_CHUNK
from gentianhitch.callers.encoding import encode_chunk
from gentianhitch.callers.encoding import encode_response_head
from gentianhitch.writing import write_at_once


@attrs.define
class ResponseWriter:
    """Writes one response; ``head`` is None until the response has been started."""

    _transport: Any
    _request_id: bytes
    head: ResponseHead | None = None
    _is_registered: bool = False

    def start(
        self,
        head: ResponseHead,
        body: bytes,
        *,
        ended: bool,
        close: bool,
        relayed: bool,
    ) -> None:
        """Write the head and the first bytes of the body."""
        self.head = head
        encoded = encode_response_head(
            head, request_id=self._request_id, close=close, relayed=relayed
        )
        write_at_once(self._transport, encoded + self._encode_body(head, body, ended))

    def write_body(self, body: bytes, *, ended: bool) -> None:
        """Write more of the body."""
        assert self.head is not None
        data = self._encode_body(self.head, body, ended)
        if data:
            write_at_once(self._transport, data)

    def apply_backpressure(self, connection: TargetConnection | None) -> None:
        """Pause reading from ``connection`` while the caller's send buffer is full."""
        if not self._is_registered:
            self._is_registered = True
            self._transport.registerProducer(connection, True)

    def stop(self) -> None:
        """Unregister the connection that the response was read from."""
        if self._is_registered:
            self._is_registered = False
            self._transport.unregisterProducer()

    def _encode_body(self, head: ResponseHead, body: bytes, ended: bool) -> bytes:
        if not head.has_body or head.content_length is not None:
            return body
        return encode_chunk(body) + (LAST_CHUNK if ended else b"")
