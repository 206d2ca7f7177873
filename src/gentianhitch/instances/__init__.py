"""Exchange messages between entry instances."""

from __future__ import annotations
