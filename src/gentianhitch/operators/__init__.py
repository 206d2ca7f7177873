"""Operators' interface: documents, trials, promotion and workspace keys."""

from __future__ import annotations
