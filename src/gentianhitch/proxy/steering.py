"""Select the instances whose addresses the directory returns to callers.

A few instances serve each failure domain, so that they have warm connections and
enough responses to detect a gray backend server early.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

from gentianhitch.proxy.model import Peer
from gentianhitch.proxy.sources import rank

MIN_SERVING = 2
"""With two, a failure domain is served without a pause when one instance fails."""

INSTANCES_PER_SERVING = 16
"""One instance in 16 serves requests; fleets are sized for much more load."""


def serving_instances(peers: Iterable[Peer]) -> dict[str, tuple[Peer, ...]]:
    """Return the instances that serve requests, by failure domain.

    Those with the largest capacity come first; they also restart fastest after a loss
    of power. Among equals, the last readers of the store come first, so that one
    instance's failure rarely affects both tasks.
    """
    by_domain: dict[str, list[Peer]] = {}
    for peer in sorted(peers, key=lambda peer: (-peer.capacity, -rank(peer.name))):
        by_domain.setdefault(peer.failure_domain, []).append(peer)
    return {
        domain: tuple(
            peers_of_domain[
                : max(
                    MIN_SERVING, math.ceil(len(peers_of_domain) / INSTANCES_PER_SERVING)
                )
            ]
        )
        for domain, peers_of_domain in by_domain.items()
    }
