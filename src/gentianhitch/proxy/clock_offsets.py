"""Convert the send times of other instances' messages to the local clock."""

from __future__ import annotations

import attrs


@attrs.frozen
class _Offset:
    incarnation: int
    min_offset_s: float


@attrs.define
class ClockOffsets:
    """The least difference between arrival and send time, by sender.

    A message that took longer than the fastest one of its sender was delayed by the
    difference.
    """

    _by_sender: dict[str, _Offset] = attrs.Factory(dict)

    def to_local_time(
        self, sender: str, incarnation: int, sent_s: float, now: float
    ) -> float:
        """Return the local send time of a message that arrives at ``now``.

        ``sent_s`` is the send time by the sender's clock.
        """
        known = self._by_sender.get(sender)
        offset_s = now - sent_s
        if known is not None and known.incarnation == incarnation:
            offset_s = min(offset_s, known.min_offset_s)
        self._by_sender[sender] = _Offset(incarnation, offset_s)
        return sent_s + offset_s
