"""Rank names and entry instances for a key by rendezvous hash."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable

import xxhash

from gentianhitch.instances.identity import Member


def hash_name(name: str) -> int:
    """Return a 64-bit hash of the name."""
    return xxhash.xxh3_64_intdigest(name.encode())


def rank_names(key: str, names: Iterable[str]) -> list[str]:
    """Return the names in ascending order of their hash for ``key``."""
    seed = hash_name(key)
    return sorted(
        names, key=lambda name: (xxhash.xxh3_64_intdigest(name.encode(), seed), name)
    )


def order_members(key: str, members: Iterable[Member]) -> list[Member]:
    """Return the members in ascending order of their names' hashes for ``key``."""
    members_by_name = {member.id.name: member for member in members}
    return [members_by_name[name] for name in rank_names(key, members_by_name)]


def interleave_domains(members: Iterable[Member]) -> list[Member]:
    """Interleave members of different failure domains, keeping the order in each."""
    counts_by_domain: defaultdict[str, int] = defaultdict(int)
    placed = []
    for position, member in enumerate(members):
        placed.append((counts_by_domain[member.failure_domain], position, member))
        counts_by_domain[member.failure_domain] += 1
    return [member for _, _, member in sorted(placed, key=lambda row: row[:2])]
