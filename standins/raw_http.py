"""Read answers from a plain socket, for callers that write several requests at once."""

from __future__ import annotations

import re
import socket

import attrs

PIECE_BYTES = 65_536
_LENGTH = re.compile(rb"\r\ncontent-length: *(\d+)\r\n", re.IGNORECASE)
_CLOSE = re.compile(rb"\r\nconnection: *close\r\n", re.IGNORECASE)


@attrs.frozen
class RawAnswer:
    """One whole answer; ``head`` has no empty line at its end."""

    head: bytes
    body: bytes

    @property
    def status(self) -> int:
        """Return the status of the answer."""
        return int(self.head.split(b" ", 2)[1])

    @property
    def closes_connection(self) -> bool:
        """Return whether no other answer follows on the connection."""
        return _CLOSE.search(self.head) is not None

    def header(self, name: bytes) -> bytes | None:
        """Return the value of a header, or None."""
        found = re.search(
            rb"\r\n%b: *([^\r]*)\r\n" % re.escape(name), self.head, re.IGNORECASE
        )
        return None if found is None else found[1]


def read_answer(
    connection: socket.socket, buffer: bytearray, piece_bytes: int = PIECE_BYTES
) -> RawAnswer:
    """Read one answer in pieces; raise OSError if the connection ends before.

    ``buffer`` holds what was read of the next answers.
    """
    while (answer := parse_answer(buffer)) is None:
        data = connection.recv(piece_bytes)
        if not data:
            raise ConnectionResetError("closed by the proxy")
        buffer += data
    return answer


def parse_answer(buffer: bytearray) -> RawAnswer | None:
    """Take the first answer out of ``buffer`` if it is whole."""
    end = buffer.find(b"\r\n\r\n")
    if end < 0:
        return None
    head = bytes(buffer[: end + 2])
    length = _LENGTH.search(head)
    total = end + 4 + (int(length[1]) if length else 0)
    if len(buffer) < total:
        return None
    body = bytes(buffer[end + 4 : total])
    del buffer[:total]
    return RawAnswer(head, body)
