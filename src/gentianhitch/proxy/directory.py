"""Resolve a failure domain to the addresses that callers use."""

from __future__ import annotations

from collections.abc import Callable

import attrs

from gentianhitch.proxy.model import Peer
from gentianhitch.proxy.serving_fleet import ServingFleet
from gentianhitch.proxy.store_view import StoreView

TTL_S = 1.0
"""Some callers cache a response for three times as long; a drain waits for these."""

ISOLATED_AGE_S = 4.0
"""Without a fresh listing for so long, and without replies, no address is returned."""

MAX_ADDRESSES = 64


@attrs.frozen
class DirectoryResponse:
    """Addresses for callers, and the time in seconds for which to cache them."""

    addresses: tuple[str, ...]
    ttl_s: float


@attrs.define
class Directory:
    """Resolve callers' queries from the listed instances."""

    _store_view: StoreView
    _fleet: ServingFleet
    _has_recent_reply: Callable[[float], bool]

    def resolve(self, failure_domain: str, now: float) -> DirectoryResponse | None:
        """Return the addresses for ``failure_domain``, or those of all others.

        Return None if the instance is isolated or no instance is listed: callers then
        query another directory.
        """
        is_isolated = self._store_view.listing_age_s(now) > ISOLATED_AGE_S
        if is_isolated and not self._has_recent_reply(now):
            return None
        serving = self._fleet.named_by_domain()
        chosen: tuple[Peer, ...] = serving.get(failure_domain, ())
        if not chosen:
            chosen = tuple(peer for peers in serving.values() for peer in peers)
        if not chosen:
            return None
        addresses = tuple(str(peer.caller_address) for peer in chosen[:MAX_ADDRESSES])
        return DirectoryResponse(addresses, TTL_S)
