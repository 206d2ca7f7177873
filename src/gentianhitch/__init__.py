"""Proxy fleet for backend servers that are subject to gray failures."""

from __future__ import annotations
