"""Decide on limits, freshness, ejection and routing without I/O."""

from __future__ import annotations
