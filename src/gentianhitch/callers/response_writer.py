"""Pass one answer on to the caller, at the caller's pace."""

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
    """Write an answer; ``head`` is None until it has begun."""

    _transport: Any
    _request_id: bytes
    head: ResponseHead | None = None
    _is_paced: bool = False

    def begin(
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

    def go_on(self, body: bytes, *, ended: bool) -> None:
        """Write more of the body."""
        assert self.head is not None
        data = self._encode_body(self.head, body, ended)
        if data:
            write_at_once(self._transport, data)

    def pace(self, connection: TargetConnection | None) -> None:
        """Let the caller's connection pace the one that the answer comes from."""
        if not self._is_paced:
            self._is_paced = True
            self._transport.registerProducer(connection, True)

    def stop(self) -> None:
        """Forget the connection that the answer came from."""
        if self._is_paced:
            self._is_paced = False
            self._transport.unregisterProducer()

    def _encode_body(self, head: ResponseHead, body: bytes, ended: bool) -> bytes:
        if not head.has_body or head.content_length is not None:
            return body
        return encode_chunk(body) + (LAST_CHUNK if ended else b"")
