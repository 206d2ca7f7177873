"""Name the instances that decide on the ejections of a service."""

from __future__ import annotations

from collections.abc import Iterable

from gentianhitch.decisions.rendezvous import ordered
from gentianhitch.decisions.rendezvous import spread
from gentianhitch.instances.identity import Member

STEWARDS = 5


def coordinators_for(service: str, members: Iterable[Member]) -> tuple[Member, ...]:
    """Name the instances that decide on the ejections of ``service``."""
    staying = (member for member in members if not member.leaving)
    return tuple(spread(ordered(f"steward/{service}", staying))[:STEWARDS])
