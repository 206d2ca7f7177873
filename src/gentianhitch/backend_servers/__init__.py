"""Client side to backend servers: connections, response parsing and health probes."""

from __future__ import annotations
