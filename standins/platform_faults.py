"""Switch faults of the stand-in platform on and off."""

from __future__ import annotations

from typing import Any
from typing import Literal

import attrs
import msgspec

Outage = Literal["none", "refuse", "drop", "silent"]
Cut = Literal["request", "reply", "both"]


@attrs.define
class Faults:
    """Say which faults are on.

    ``outage`` refuses calls with 503, drops their connections or never answers;
    ``lost_replies`` is how many coming writes take effect and lose their reply
    (-1: all); ``list_lag_s`` delays the list; ``cuts_by_instance`` loses the
    requests or the replies of a client that names itself.
    """

    outage: Outage = "none"
    slow_ms: float = 0.0
    lost_replies: int = 0
    list_lag_s: float = 0.0
    cuts_by_instance: dict[str, Cut] = attrs.Factory(dict)

    def edited(self, changes: dict[str, Any]) -> Faults:
        """Return these faults with some of them changed."""
        return msgspec.convert({**attrs.asdict(self), **changes}, Faults)

    def loses_request(self, instance: str) -> bool:
        """Tell whether calls of this client never arrive."""
        return self.cuts_by_instance.get(instance) in ("request", "both")

    def loses_reply(self, instance: str) -> bool:
        """Tell whether this client never hears an answer."""
        return self.cuts_by_instance.get(instance) in ("reply", "both")

    def take_lost_reply(self) -> bool:
        """Use up one lost reply."""
        if self.lost_replies > 0:
            self.lost_replies -= 1
            return True
        return self.lost_replies < 0
