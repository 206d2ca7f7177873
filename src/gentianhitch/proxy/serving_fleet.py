"""The instances that serve callers, and this instance's share of their budgets."""

from __future__ import annotations

from collections.abc import Callable

import attrs

from gentianhitch.proxy.model import Peer
from gentianhitch.proxy.steering import ServingOrder
from gentianhitch.proxy.store_view import StoreView

SERVING_SLACK_SHARE = 0.9
"""Share of the retry slack for the instances in the directory."""

MIN_OTHER_INSTANCES = 8
"""Least number of other instances among which the remaining slack is divided."""


def _at_zero() -> float:
    return 0.0


@attrs.frozen
class ServingFleet:
    """Derive the sets of serving instances from the store view.

    ``seconds`` returns the time of the instance's clock.
    """

    _name: str
    _store_view: StoreView
    _seconds: Callable[[], float] = _at_zero
    _order: ServingOrder = attrs.Factory(ServingOrder)

    def serving_by_domain(self) -> dict[str, tuple[Peer, ...]]:
        """Return the instances in the directory, by failure domain."""
        return self._order.serving(self._store_view.peers_by_name, self._seconds())

    def serving_peers(self) -> list[Peer]:
        """Return the instances in the directory, of all failure domains."""
        return [peer for peers in self.serving_by_domain().values() for peer in peers]

    def is_near_serving(self) -> bool:
        """Return whether this instance serves, or would soon if some others failed."""
        return self._order.is_near_serving(
            self._store_view.peers_by_name, self._name, self._seconds()
        )

    def report_receivers(self, busy_senders: frozenset[str]) -> list[Peer]:
        """Return the instances in the directory, and others that send many reports."""
        receivers = self.serving_peers()
        names = {peer.name for peer in receivers}
        if self._name in names:
            peers = self._store_view.peers_by_name
            busy = busy_senders - names
            receivers += [peers[name] for name in busy if name in peers]
        return receivers

    def slack_share(self, sharers: frozenset[str]) -> float:
        """Return this instance's share of the retry slack."""
        if self._name in sharers:
            return SERVING_SLACK_SHARE / len(sharers)
        others = max(
            len(self._store_view.peers_by_name) - len(sharers), MIN_OTHER_INSTANCES
        )
        return (1.0 - SERVING_SLACK_SHARE) / others
