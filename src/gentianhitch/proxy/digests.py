"""Short digests that stand for servers and routes in reports between instances."""

from __future__ import annotations

from functools import lru_cache

import xxhash

CACHED_DIGESTS = 4096


@lru_cache(CACHED_DIGESTS)
def server_digest(key: tuple[str, int]) -> int:
    """Return a 32-bit digest of a server's id and start time."""
    return xxhash.xxh32_intdigest(f"{key[0]} {key[1]}".encode())


@lru_cache(CACHED_DIGESTS)
def route_digest(name: str) -> int:
    """Return a 32-bit digest of a route's name."""
    return xxhash.xxh32_intdigest(name.encode())
