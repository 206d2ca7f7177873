"""Bound the memory for what connections have received and not yet passed on."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

import attrs

BUFFER_SHARE = 0.16
"""Share of an instance's memory for buffers; complete messages are also copied."""

HEADER_MEMORY_BYTES = 200
"""What a parsed header takes besides its bytes: two objects in a tuple."""

DEFAULT_MEMORY_MB = 200.0
"""Assumed for instances whose settings contain no limit."""

MEGABYTE = 1_000_000


class BufferOwner(Protocol):
    """A connection that buffers."""

    def drop_buffer(self) -> None:
        """Give up what is buffered: no other connection holds more."""
        ...


def _count_nothing(name: str) -> None:
    pass


@attrs.frozen
class BufferSize:
    """What one connection holds; ``in_use`` belongs to requests that are served."""

    droppable: int
    in_use: int = 0


@attrs.define(eq=False)
class BufferAccount:
    """Counts what connections buffer; at the limit the largest buffer is dropped.

    ``count`` is called with the name of a counter for each dropped buffer.
    """

    limit_bytes: float = BUFFER_SHARE * DEFAULT_MEMORY_MB * MEGABYTE
    count: Callable[[str], None] = _count_nothing
    used_bytes: int = 0
    _size_by_owner: dict[BufferOwner, BufferSize] = attrs.Factory(dict)

    def set_size(
        self, owner: BufferOwner, droppable_bytes: int, in_use_bytes: int = 0
    ) -> None:
        """Set what ``owner`` buffers; this may drop its buffer or others."""
        self.release(owner)
        if droppable_bytes or in_use_bytes:
            self.used_bytes += droppable_bytes + in_use_bytes
            self._size_by_owner[owner] = BufferSize(droppable_bytes, in_use_bytes)
        while self.used_bytes > self.limit_bytes and self._drop_largest():
            pass

    def _drop_largest(self) -> bool:
        """Drop the largest buffer; return False if none may be dropped."""
        by_owner = self._size_by_owner
        largest = max(by_owner, key=lambda owner: by_owner[owner].droppable)
        if not by_owner[largest].droppable:
            return False
        self.release(largest)
        self.count("buffers.dropped")
        largest.drop_buffer()
        return True

    def release(self, owner: BufferOwner) -> None:
        """Stop counting what ``owner`` buffers."""
        size = self._size_by_owner.pop(owner, None)
        if size is not None:
            self.used_bytes -= size.droppable + size.in_use
