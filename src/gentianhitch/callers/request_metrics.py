"""Reports of finished requests, and the parts of metric names made from them."""

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
    """One request that has ended.

    ``cause`` is the label of the refusal or failure, None after a complete response.
    """

    workspace: str | None
    route: Route | None
    status: int
    cause: str | None
    duration_s: float


LABEL_CACHE_SIZE = 4096
"""Cached labels of routes and workspaces; others are computed at each request."""

OnFinished = Callable[[FinishedRequest], None]

_UNSAFE = re.compile(r"[^A-Za-z0-9_-]+")


@lru_cache(maxsize=LABEL_CACHE_SIZE)
def metric_label(text: str) -> str:
    """Return ``text`` with the characters replaced that statsd names can't have."""
    return _UNSAFE.sub("_", text).strip("_") or "root"


@lru_cache(maxsize=LABEL_CACHE_SIZE)
def route_label(route: Route) -> str:
    """Return method and path of a route as one part of a statsd name."""
    return f"{route.method}_{metric_label(route.path)}"
