"""Tell where knowledge came from."""

from __future__ import annotations

import attrs

STORE = "store"
EXPIRY = "lapse"
"""Sources that are no instance: the store, and the end of a time."""


@attrs.frozen
class Origin:
    """The source of a change, and how long and how large its transfer was.

    ``source`` is the name of an instance, ``STORE`` or ``LAPSE``; ``age_s`` counts from
    the start of the read of the store that showed the change.
    """

    source: str
    size_bytes: int
    elapsed_s: float
    age_s: float

    def as_fields(self) -> dict[str, object]:
        """Return what log lines show."""
        return {
            "source": self.source,
            "size_bytes": self.size_bytes,
            "elapsed_ms": int(self.elapsed_s * 1000),
            "age_ms": int(self.age_s * 1000),
        }
