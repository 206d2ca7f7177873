"""Order what the store says, also after it returned from a copy."""

from __future__ import annotations

import attrs


@attrs.frozen(order=True)
class StoreRevision:
    """A revision of the store in the era that it was given out in.

    A store that returns from a copy gives revisions out again, in a later ``era``.
    """

    era: int
    number: int


NO_REVISION = StoreRevision(0, 0)
"""Not later than any revision; stands for a part that was never written."""

NO_VERSION = -1


@attrs.frozen
class ConfigurationRevision:
    """The revision at which a configuration was written, and its version.

    Operators count versions up. A copy shows an earlier version in a later era, so that
    only the versions order configurations of different eras.
    """

    written: StoreRevision
    version: int

    def is_newer_than(self, other: ConfigurationRevision) -> bool:
        """Return whether this configuration takes the place of ``other``."""
        if self.written.era == other.written.era:
            return self.written > other.written
        return self.version > other.version

    def repeats(self, other: ConfigurationRevision) -> bool:
        """Return whether this is ``other`` in a later era of the store."""
        return self.written.era > other.written.era and self.version == other.version


NO_CONFIGURATION = ConfigurationRevision(NO_REVISION, NO_VERSION)
