"""Talk to the platform's key-value service and instance list."""

from __future__ import annotations
