"""Rank names for a key by rendezvous hash."""

from __future__ import annotations

from collections.abc import Iterable

import xxhash


def hash_name(name: str) -> int:
    """Return 64 bits that depend on the name alone."""
    return xxhash.xxh3_64_intdigest(name.encode())


def ranked(key: str, names: Iterable[str]) -> list[str]:
    """Return the names in the order of their scores for ``key``."""
    seed = hash_name(key)
    return sorted(
        names, key=lambda name: (xxhash.xxh3_64_intdigest(name.encode(), seed), name)
    )
