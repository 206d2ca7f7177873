"""Limit the request rate and burst of each workspace across the fleet."""

from __future__ import annotations
