"""Choose the addresses that callers are told to use.

Few instances take the requests of a failure domain: they keep warm connections and
see enough answers to tell a gray backend server soon.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

from gentianhitch.proxy.model import Peer
from gentianhitch.proxy.sources import rank

MIN_SERVING = 2
"""A failure domain outlives the death of one instance without a pause."""

INSTANCES_PER_SERVING = 16
"""One instance in so many takes requests: fleets are sized for much more load."""


def serving_instances(peers: Iterable[Peer]) -> dict[str, tuple[Peer, ...]]:
    """Return the instances that take requests, by failure domain.

    They are the ones with the largest capacity, which are also the first to be back
    after a loss of power; among equals those that read the store last, so that one
    death rarely costs both.
    """
    by_domain: dict[str, list[Peer]] = {}
    for peer in sorted(peers, key=lambda each: (-each.capacity, -rank(each.name))):
        by_domain.setdefault(peer.failure_domain, []).append(peer)
    return {
        domain: tuple(
            each[: max(MIN_SERVING, math.ceil(len(each) / INSTANCES_PER_SERVING))]
        )
        for domain, each in by_domain.items()
    }
