"""Rank entry instances for a key by rendezvous hash, over failure domains."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from itertools import chain
from itertools import zip_longest

import xxhash

from gentianhitch.instances.identity import Member

MIN_STEERED = 5
MAX_STEERED = 16
SLOTS_PER_STEERED = 12
STEWARDS = 5


def rank(key: str, members: Iterable[Member]) -> list[Member]:
    """Order ``members`` by their rendezvous hash for ``key``, highest first."""
    return sorted(members, key=lambda member: _weight(key, member), reverse=True)


def spread(key: str, members: Iterable[Member], count: int) -> tuple[Member, ...]:
    """Take the first ``count`` members that stay, in turn over failure domains."""
    ranked_by_domain: defaultdict[str, list[Member]] = defaultdict(list)
    for member in rank(key, (member for member in members if not member.leaving)):
        ranked_by_domain[member.failure_domain].append(member)
    rounds = zip_longest(*ranked_by_domain.values())
    in_turn = (member for member in chain.from_iterable(rounds) if member is not None)
    return tuple(member for member, _ in zip(in_turn, range(count), strict=False))


def steered(service: str, members: Iterable[Member], slots: int) -> tuple[Member, ...]:
    """Name the instances to which callers of ``service`` are steered.

    ``slots`` are those of all its targets: the fewer instances share them, the
    fewer requests wait or are shed while a slot is free.
    """
    count = min(max(slots // SLOTS_PER_STEERED, MIN_STEERED), MAX_STEERED)
    return spread(f"steered/{service}", members, count)


def stewards(service: str, members: Iterable[Member]) -> tuple[Member, ...]:
    """Name the instances that decide on the ejections of ``service``."""
    return spread(f"steward/{service}", members, STEWARDS)


def _weight(key: str, member: Member) -> int:
    return xxhash.xxh3_64_intdigest(f"{key}\0{member.id.name}".encode())
