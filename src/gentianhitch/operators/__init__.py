"""Serve operators: documents, trial, promotion and keys."""

from __future__ import annotations
