"""Name the instances that decide on the ejections of a service."""

from __future__ import annotations

from collections.abc import Iterable

from gentianhitch.decisions.rendezvous import interleave_domains
from gentianhitch.decisions.rendezvous import order_members
from gentianhitch.instances.identity import Member

STEWARDS = 5


def coordinators_for(service: str, members: Iterable[Member]) -> tuple[Member, ...]:
    """Name the instances that decide on the ejections of ``service``."""
    staying = (member for member in members if not member.leaving)
    return tuple(
        interleave_domains(order_members(f"steward/{service}", staying))[:STEWARDS]
    )
