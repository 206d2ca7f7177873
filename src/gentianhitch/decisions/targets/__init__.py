"""Selection of backend servers, gray failure detection and slot sharing."""

from __future__ import annotations
