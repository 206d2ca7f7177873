"""Clients, data formats and names of the platform on which instances run."""

from __future__ import annotations
