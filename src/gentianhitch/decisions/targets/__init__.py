"""Choose targets, detect gray ones and share their slots."""

from __future__ import annotations
