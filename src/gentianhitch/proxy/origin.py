"""The origin of a change of the store view, for log events."""

from __future__ import annotations

import attrs

STORE = "store"
EXPIRY = "lapse"
"""Sources other than instances: a read of the store, the expiry of entries."""


@attrs.frozen
class Origin:
    """The source of a change, and the size and duration of its transfer.

    ``source`` is the name of an instance, ``STORE`` or ``EXPIRY``; ``age_s`` counts
    from the start of the read of the store that returned the change.
    """

    source: str
    size_bytes: int
    elapsed_s: float
    age_s: float

    def as_fields(self) -> dict[str, object]:
        """Return the fields of a log event, times in milliseconds."""
        return {
            "source": self.source,
            "size_bytes": self.size_bytes,
            "elapsed_ms": int(self.elapsed_s * 1000),
            "age_ms": int(self.age_s * 1000),
        }
