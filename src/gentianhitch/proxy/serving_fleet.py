"""Tell which instances serve callers, and this instance's part among them."""

from __future__ import annotations

import attrs

from gentianhitch.proxy.model import Peer
from gentianhitch.proxy.steering import serving_instances
from gentianhitch.proxy.store_view import StoreView

SERVING_SLACK_SHARE = 0.9
"""Part of the slack for repeats that the instances named to callers share."""

MIN_OTHER_INSTANCES = 8
"""Instances among which the rest is split while few others are known."""


@attrs.frozen
class ServingFleet:
    """Follow the instances that callers are told to use."""

    _name: str
    _store_view: StoreView

    def serving_peers(self) -> list[Peer]:
        """Return the instances that callers are told, of all failure domains."""
        serving = serving_instances(self._store_view.peers_by_name.values())
        return [peer for each in serving.values() for peer in each]

    def report_receivers(self, busy_senders: frozenset[str]) -> list[Peer]:
        """Return the instances that callers are told, and those that are busy too."""
        receivers = self.serving_peers()
        names = {peer.name for peer in receivers}
        if self._name in names:
            peers = self._store_view.peers_by_name
            busy = busy_senders - names
            receivers += [peers[name] for name in busy if name in peers]
        return receivers

    def slack_share(self, sharers: frozenset[str]) -> float:
        """Return this instance's part of what all may spend on repeats."""
        if self._name in sharers:
            return SERVING_SLACK_SHARE / len(sharers)
        others = max(
            len(self._store_view.peers_by_name) - len(sharers), MIN_OTHER_INSTANCES
        )
        return (1.0 - SERVING_SLACK_SHARE) / others
