"""Counters of admitted, delayed and refused requests and of messages."""

from __future__ import annotations

from collections import Counter
from enum import Enum

import attrs


class Cause(Enum):
    """Reason for which a request was refused."""

    UNKNOWN_WORKSPACE = "unknown_workspace"
    NOT_FRESH = "not_fresh"
    LEAVING = "leaving"
    RATE = "rate"
    WAIT_ENDED = "wait_ended"


@attrs.define
class LimitCounters:
    """Counters of one limiter, exported under ``limits.``."""

    admitted_by_workspace: Counter[str] = attrs.Factory(Counter)
    waited_by_workspace: Counter[str] = attrs.Factory(Counter)
    refused_by_cause: Counter[tuple[str, Cause]] = attrs.Factory(Counter)
    events_by_name: Counter[str] = attrs.Factory(Counter)

    def by_name(self) -> dict[str, int]:
        """Return all counters by dotted name: ``limits.admitted.<workspace>``, ..."""
        counts = {f"limits.{name}": n for name, n in self.events_by_name.items()}
        for workspace, n in self.admitted_by_workspace.items():
            counts[f"limits.admitted.{workspace}"] = n
        for workspace, n in self.waited_by_workspace.items():
            counts[f"limits.waited.{workspace}"] = n
        for (workspace, cause), n in self.refused_by_cause.items():
            counts[f"limits.refused.{cause.value}.{workspace or 'unknown'}"] = n
        return counts
