"""Decide how much a request should prefer the servers of its own failure domain.

Where requests compete for few slots, a free slot elsewhere is often taken by the time a
request gets there: reports of it are some tenths of a second old, and every instance
sees the same one. Requests stay in their domain until its servers have clearly more to
do than those of another. The loads are damped, so that the instances of a domain don't
move together from report to report.
"""

from __future__ import annotations

import math

import attrs

MAX_PENALTY = 0.4
"""Cost of another failure domain while it has no less to do, in losses of a request.

That of a queue as long as the slots.
"""

LOAD_MARGIN = 0.3
"""Requests per slot by which a domain may have more to do before requests leave it."""

LOAD_SPAN = 0.5
"""Requests per slot beyond the margin at which other domains cost nothing more."""

DAMPING_S = 1.0
"""Time constant of the loads: several reports, and a fraction of a change of demand."""

UPDATE_INTERVAL_S = 0.1
"""Reports don't come more often."""


@attrs.define
class DomainLoads:
    """The damped load of each failure domain of one service, in requests per slot."""

    loads_by_domain: dict[str, float] = attrs.Factory(dict)
    updated_s: float = float("-inf")

    def is_due(self, now: float) -> bool:
        """Return whether new loads should be recorded."""
        return now - self.updated_s >= UPDATE_INTERVAL_S

    def update(self, loads_by_domain: dict[str, float], now: float) -> None:
        """Record the loads as they are; forget domains without servers."""
        weight = 1.0 - math.exp(-(now - self.updated_s) / DAMPING_S)
        self.updated_s = now
        self.loads_by_domain = {
            domain: load + (1.0 - weight) * (self.loads_by_domain[domain] - load)
            if domain in self.loads_by_domain
            else load
            for domain, load in loads_by_domain.items()
        }

    def penalty(self, own_domain: str) -> float:
        """Return the cost of a server of another failure domain."""
        others = [
            load
            for domain, load in self.loads_by_domain.items()
            if domain != own_domain
        ]
        if not others or own_domain not in self.loads_by_domain:
            return 0.0
        excess = self.loads_by_domain[own_domain] - min(others) - LOAD_MARGIN
        return MAX_PENALTY * (1.0 - min(max(excess / LOAD_SPAN, 0.0), 1.0))
