"""Rendezvous hashing over instances, spread over failure domains."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable

import xxhash

from gentianhitch.instances.identity import Member


def ordered(key: str, members: Iterable[Member]) -> list[Member]:
    """Return the members in the rendezvous order of ``key``."""
    return sorted(members, key=lambda member: _weight(key, member), reverse=True)


def spread(members: Iterable[Member]) -> list[Member]:
    """Take members in turn from each failure domain, keeping the order in each."""
    turns_by_domain: defaultdict[str, int] = defaultdict(int)
    ranked = []
    for position, member in enumerate(members):
        ranked.append((turns_by_domain[member.failure_domain], position, member))
        turns_by_domain[member.failure_domain] += 1
    return [member for _, _, member in sorted(ranked, key=lambda row: row[:2])]


def _weight(key: str, member: Member) -> tuple[int, str]:
    text = f"{key}\0{member.id.name}".encode()
    return (xxhash.xxh3_64_intdigest(text), member.id.name)
