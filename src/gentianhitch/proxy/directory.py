"""Tell callers which addresses to use."""

from __future__ import annotations

from collections.abc import Callable

import attrs

from gentianhitch.proxy.model import Peer
from gentianhitch.proxy.steering import serving_instances
from gentianhitch.proxy.store_view import StoreView

TTL_S = 1.0
"""Some callers keep an answer three times as long; a leaving instance waits that."""

ISOLATED_AGE_S = 4.0
"""An instance that heard neither store nor peers for so long sends callers on."""

MAX_ADDRESSES = 64


@attrs.frozen
class DirectoryResponse:
    """Addresses for callers, and how long to keep them in seconds."""

    addresses: tuple[str, ...]
    ttl_s: float


@attrs.define
class Directory:
    """Answer callers from the live instances."""

    _store_view: StoreView
    _has_recent_reply: Callable[[float], bool]

    def resolve(self, failure_domain: str, now: float) -> DirectoryResponse | None:
        """Return addresses near ``failure_domain``; None when nothing is known."""
        peers = self._store_view.peers_by_name
        isolated = self._store_view.listing_age_s(now) > ISOLATED_AGE_S
        if isolated and not self._has_recent_reply(now):
            return None
        serving = serving_instances(peers.values())
        chosen: tuple[Peer, ...] = serving.get(failure_domain, ())
        if not chosen:
            chosen = tuple(peer for each in serving.values() for peer in each)
        if not chosen:
            return None
        addresses = tuple(str(peer.caller_address) for peer in chosen[:MAX_ADDRESSES])
        return DirectoryResponse(addresses, TTL_S)
