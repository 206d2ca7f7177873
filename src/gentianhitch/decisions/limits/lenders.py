"""Which owners of a workspace's shares this instance may borrow from."""

from __future__ import annotations

import attrs

from gentianhitch.addresses import Address
from gentianhitch.decisions.limits.holdings import HeldShares
from gentianhitch.decisions.limits.peers import PeerDirectory
from gentianhitch.decisions.limits.shares import Share
from gentianhitch.instances.identity import InstanceId


@attrs.frozen
class LenderCandidate:
    """An owner of a share that this instance may ask."""

    owner: InstanceId
    address: Address
    share: Share


class LenderSelector:
    """Find the owners to ask."""

    def __init__(self, held_shares: HeldShares, peers: PeerDirectory) -> None:
        self._held_shares = held_shares
        self._peers = peers

    def candidates(self, workspace: str) -> list[LenderCandidate]:
        """Return the owners to ask: each instance begins at a place of its own."""
        state = self._held_shares.log.active[-1]
        owners = self._held_shares.share_table.owners(state, workspace)
        start = self._held_shares.share_table.position(
            state, self._held_shares.own_id.name
        )
        ordered = [owners[(start + i) % len(owners)] for i in range(len(owners))]
        lenders = [
            LenderCandidate(
                owner.id,
                self._peers.holder(owner.id, owner.peers),
                self._held_shares.share_table.least(
                    self._held_shares.log.active, workspace, owner.id
                ),
            )
            for owner in ordered
            if owner.id not in self._held_shares.shares_by_owner
        ]
        return [lender for lender in lenders if lender.share.rate > 0.0]

    def responsive(self, workspace: str, now: float) -> list[LenderCandidate]:
        """Return the owners that have not lately left a request unanswered."""
        return [
            lender
            for lender in self.candidates(workspace)
            if not self._peers.is_unresponsive(lender.address, now)
        ]
