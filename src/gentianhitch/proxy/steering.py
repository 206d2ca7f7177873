"""Choose the addresses that callers are told to use.

Few instances take the requests of a failure domain: they keep warm connections and
see enough answers to tell a gray backend server soon.
"""

from __future__ import annotations

from collections.abc import Iterable

from gentianhitch.proxy.model import Peer
from gentianhitch.proxy.sources import reading_order

INSTANCES_PER_FAILURE_DOMAIN = 2


def serving_instances(
    peers: Iterable[Peer], count: int = INSTANCES_PER_FAILURE_DOMAIN
) -> dict[str, tuple[Peer, ...]]:
    """Return the instances that take requests, by failure domain.

    They are the last of the order in which instances read the store, so that one
    death rarely costs both.
    """
    by_domain: dict[str, list[Peer]] = {}
    for peer in reversed(reading_order(peers)):
        by_domain.setdefault(peer.failure_domain, []).append(peer)
    return {domain: tuple(each[:count]) for domain, each in by_domain.items()}
