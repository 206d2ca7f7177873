"""Place the ejection coordinators of a service by rendezvous hash."""

from __future__ import annotations

from collections.abc import Iterable

from gentianhitch.decisions.rendezvous import interleave_domains
from gentianhitch.decisions.rendezvous import order_members
from gentianhitch.instances.identity import Member

MAX_COORDINATORS = 5


def coordinators_for(service: str, members: Iterable[Member]) -> tuple[Member, ...]:
    """Return the instances that coordinate ejections, in order of preference."""
    staying = (member for member in members if not member.leaving)
    return tuple(
        interleave_domains(order_members(f"steward/{service}", staying))[
            :MAX_COORDINATORS
        ]
    )
