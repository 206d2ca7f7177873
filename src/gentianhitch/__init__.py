"""Proxy fleet for backend servers with gray failures."""

from __future__ import annotations
