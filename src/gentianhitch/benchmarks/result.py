"""The result of one named measurement."""

from __future__ import annotations

from typing import Any

import attrs


@attrs.frozen
class BenchResult:
    """Hold the figure of one measurement beside its bound, in ``unit``.

    ``details`` are rows of a table: each maps a column to its value.
    """

    name: str
    figure: float
    bound: float
    unit: str
    ok: bool
    details: tuple[dict[str, Any], ...] = ()
