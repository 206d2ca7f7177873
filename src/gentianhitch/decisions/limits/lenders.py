"""Which holders of a workspace's shares this instance may borrow from."""

from __future__ import annotations

import attrs

from gentianhitch.addresses import Address
from gentianhitch.decisions.limits.holdings import Holdings
from gentianhitch.decisions.limits.peers import PeerBook
from gentianhitch.decisions.limits.shares import Share
from gentianhitch.instances.identity import InstanceId


@attrs.frozen
class Lendable:
    """A holder of a share that this instance may ask."""

    origin: InstanceId
    address: Address
    share: Share


class Lenders:
    """Find the holders to ask."""

    def __init__(self, holdings: Holdings, peers: PeerBook) -> None:
        self._holdings = holdings
        self._peers = peers

    def all(self, workspace: str) -> list[Lendable]:
        """Return the holders to ask: each instance begins at a place of its own."""
        state = self._holdings.log.active[-1]
        holders = self._holdings.shares.holders(state, workspace)
        start = self._holdings.shares.place(state, self._holdings.own_id.name)
        ordered = [holders[(start + i) % len(holders)] for i in range(len(holders))]
        lenders = [
            Lendable(
                holder.id,
                self._peers.holder(holder.id, holder.peers),
                self._holdings.shares.least(
                    self._holdings.log.active, workspace, holder.id
                ),
            )
            for holder in ordered
            if holder.id not in self._holdings.rights_by_origin
        ]
        return [lender for lender in lenders if lender.share.rate > 0.0]

    def answering(self, workspace: str, now: float) -> list[Lendable]:
        """Return the holders that have not lately left a request unanswered."""
        return [
            lender
            for lender in self.all(workspace)
            if not self._peers.is_silent(lender.address, now)
        ]
