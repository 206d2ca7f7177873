"""What the request path reports about itself."""

from __future__ import annotations

import re
from collections.abc import Callable
from functools import lru_cache

import attrs

from gentianhitch.operators.document import Route

Count = Callable[[str], None]
"""Add one to the counter of this name."""


@attrs.frozen
class FinishedRequest:
    """One request that has ended; ``cause`` is None unless it was refused."""

    workspace: str | None
    route: Route | None
    status: int
    cause: str | None
    duration_s: float


LABELS = 4096
"""Labels kept ready; a route or workspace beyond them is worked out again."""

OnFinished = Callable[[FinishedRequest], None]

_UNSAFE = re.compile(r"[^A-Za-z0-9_-]+")


@lru_cache(maxsize=LABELS)
def metric_label(text: str) -> str:
    """Return ``text`` as one part of a statsd name."""
    return _UNSAFE.sub("_", text).strip("_") or "root"


@lru_cache(maxsize=LABELS)
def route_label(route: Route) -> str:
    """Return the part of a statsd name that stands for a route."""
    return f"{route.method}_{metric_label(route.path)}"
