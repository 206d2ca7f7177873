"""Stand-ins for the outside systems, used by tests, demos and benchmarks."""

from __future__ import annotations
