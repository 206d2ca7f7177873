"""Serve callers: HTTP requests and the directory."""

from __future__ import annotations
