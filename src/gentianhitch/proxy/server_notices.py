"""What backend servers say of themselves in their responses.

A notice holds for one incarnation of a server, whatever its entry in the store says,
and also while the entry is missing.
"""

from __future__ import annotations

import attrs

ServerKey = tuple[str, int]

REPEAT_S = 2.0
"""A notice is repeated in reports for this time; reports may be lost."""

MAX_NOTICES = 10_000
"""More servers than one instance uses; the oldest notices are dropped beyond."""


@attrs.define
class ServerNotices:
    """The notices of all servers, from own responses and other instances' reports."""

    _received_s_by_leaving: dict[ServerKey, float] = attrs.Factory(dict)
    _own_leaving: dict[ServerKey, float] = attrs.Factory(dict)

    def accepts_requests(self, key: ServerKey, now: float) -> bool:
        """Return whether the server may get a request at ``now``."""
        return key not in self._received_s_by_leaving

    def record_leaving(self, key: ServerKey, now: float, *, own: bool = True) -> bool:
        """Record that a server leaves; return whether that was unknown.

        ``own`` if it said so in a response to this instance.
        """
        if own:
            self._own_leaving.setdefault(key, now)
            _drop_oldest(self._own_leaving)
        is_new = key not in self._received_s_by_leaving
        self._received_s_by_leaving.setdefault(key, now)
        _drop_oldest(self._received_s_by_leaving)
        return is_new

    def leaving_to_report(self, now: float) -> list[ServerKey]:
        """Return the servers that said of late to this instance that they leave."""
        return [
            key
            for key, received_s in self._own_leaving.items()
            if now - received_s <= REPEAT_S
        ]


def _drop_oldest(times_by_key: dict[ServerKey, float]) -> None:
    if len(times_by_key) > MAX_NOTICES:
        del times_by_key[next(iter(times_by_key))]
