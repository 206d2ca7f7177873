"""Run the decisions under random faults with invariants asserted inside."""

from __future__ import annotations
