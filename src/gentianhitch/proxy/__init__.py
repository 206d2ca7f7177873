"""An entry instance that reads its fleet and configuration from a store."""

from __future__ import annotations
