"""Named measurements, each with a bound taken from the stated target."""

from __future__ import annotations
