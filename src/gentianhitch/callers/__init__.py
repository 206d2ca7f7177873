"""HTTP side towards callers: connections, requests, refusals and the directory."""

from __future__ import annotations
