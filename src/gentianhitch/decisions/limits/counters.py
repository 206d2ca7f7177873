"""Counters of the limits, by workspace and cause."""

from __future__ import annotations

from collections import Counter
from enum import Enum

import attrs


class Cause(Enum):
    """Why a request was refused."""

    UNKNOWN_WORKSPACE = "unknown_workspace"
    NOT_FRESH = "not_fresh"
    LEAVING = "leaving"
    RATE = "rate"
    WAIT_ENDED = "wait_ended"


@attrs.define
class LimitCounters:
    """Count what the limiter did."""

    admitted_by_workspace: Counter[str] = attrs.Factory(Counter)
    waited_by_workspace: Counter[str] = attrs.Factory(Counter)
    refused_by_cause: Counter[tuple[str, Cause]] = attrs.Factory(Counter)
    events_by_name: Counter[str] = attrs.Factory(Counter)
