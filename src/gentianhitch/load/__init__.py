"""Send open-loop load as callers do and report what they saw."""

from __future__ import annotations
