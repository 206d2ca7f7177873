"""Talk to backend servers: connections, sending and probing."""

from __future__ import annotations
