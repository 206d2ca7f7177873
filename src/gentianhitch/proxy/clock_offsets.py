"""Date messages of other instances, whose clocks began at other times."""

from __future__ import annotations

import attrs


@attrs.frozen
class _Offset:
    incarnation: int
    min_offset_s: float


@attrs.define
class ClockOffsets:
    """Keep the least difference between arrival and sending, by sender.

    What a message took longer than the fastest one from its sender, it has waited.
    """

    _by_sender: dict[str, _Offset] = attrs.Factory(dict)

    def to_local_time(
        self, sender: str, incarnation: int, sent_s: float, now: float
    ) -> float:
        """Return when a message that arrives ``now`` was sent, by the own clock."""
        known = self._by_sender.get(sender)
        offset_s = now - sent_s
        if known is not None and known.incarnation == incarnation:
            offset_s = min(offset_s, known.min_offset_s)
        self._by_sender[sender] = _Offset(incarnation, offset_s)
        return sent_s + offset_s
