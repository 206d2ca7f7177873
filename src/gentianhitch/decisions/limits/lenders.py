"""Select the instances from which to borrow."""

from __future__ import annotations

import attrs

from gentianhitch.addresses import Address
from gentianhitch.decisions.limits.holdings import HeldShares
from gentianhitch.decisions.limits.peers import PeerDirectory
from gentianhitch.decisions.limits.shares import Share
from gentianhitch.instances.identity import InstanceId


@attrs.frozen
class LenderCandidate:
    """A share that can be borrowed from and the address of its holder."""

    owner: InstanceId
    address: Address
    share: Share


class LenderSelector:
    """List the lenders of a workspace in the order in which to try them."""

    def __init__(self, held_shares: HeldShares, peers: PeerDirectory) -> None:
        self._held_shares = held_shares
        self._peers = peers

    def candidates(self, workspace: str) -> list[LenderCandidate]:
        """Return all lenders; each instance starts at its own position of the list."""
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
                self._held_shares.share_table.minimum_share(
                    self._held_shares.log.active, workspace, owner.id
                ),
            )
            for owner in ordered
            if owner.id not in self._held_shares.shares_by_owner
        ]
        return [lender for lender in lenders if lender.share.rate > 0.0]

    def responsive(self, workspace: str, now: float) -> list[LenderCandidate]:
        """Return the lenders without a request that timed out in UNRESPONSIVE_S."""
        return [
            lender
            for lender in self.candidates(workspace)
            if not self._peers.is_unresponsive(lender.address, now)
        ]
