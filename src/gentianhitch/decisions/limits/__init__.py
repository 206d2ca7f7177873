"""Limit the rate and burst of workspaces, counted over the whole fleet."""

from __future__ import annotations
