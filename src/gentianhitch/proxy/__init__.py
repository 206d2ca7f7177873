"""An entry instance that learns its fleet and configuration from a store."""

from __future__ import annotations
