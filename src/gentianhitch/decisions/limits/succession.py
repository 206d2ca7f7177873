"""Find successors for held shares, before a shutdown and after a restart."""

from __future__ import annotations

import math

from gentianhitch.addresses import Address
from gentianhitch.decisions.limits.constants import SUCCESSOR_QUERY_INTERVAL_S
from gentianhitch.decisions.limits.holdings import HeldShares
from gentianhitch.decisions.limits.messages import HeirOffer
from gentianhitch.decisions.limits.messages import HeirQuery
from gentianhitch.decisions.limits.peers import Peer
from gentianhitch.decisions.limits.peers import PeerDirectory
from gentianhitch.decisions.limits.transfers import Transfers
from gentianhitch.decisions.rendezvous import rank_names
from gentianhitch.instances.identity import InstanceId
from gentianhitch.instances.transport import Transport

QUERY_FANOUT = 4
"""Candidates queried at once; the first to reply becomes the successor."""


class Succession:
    """Query other instances for a successor and hand shares over to it.

    Only an instance that replied becomes a successor, since a transfer to a stopped
    instance is lost. After a restart, a share that was taken over goes to the later
    incarnation of its owner, where borrowers expect it.
    """

    def __init__(
        self,
        held_shares: HeldShares,
        peers: PeerDirectory,
        transfers: Transfers,
        transport: Transport,
        own_address: Address,
    ) -> None:
        self.is_leaving = False
        self._held_shares = held_shares
        self._peers = peers
        self._transfers = transfers
        self._transport = transport
        self._own_address = own_address
        self._next_query = -math.inf
        self._query_count = 0

    @property
    def is_done(self) -> bool:
        """Whether all shares have been handed over and acknowledged."""
        held = self._held_shares.shares_by_owner
        return not held and not self._transfers.outgoing_by_number

    def handle_query(self, query: HeirQuery, now: float) -> None:
        """Offer to take shares over if this instance is fresh and not leaving."""
        if not self.is_leaving and self._held_shares.is_fresh(now):
            self._transport.send(query.reply_to, HeirOffer(self._own_address))

    def handle_offer(self, sender: InstanceId, offer: HeirOffer, now: float) -> None:
        """Hand shares over to the sender of an offer.

        While leaving, these are all shares; otherwise only those of earlier
        incarnations of the sender.
        """
        if sender == self._held_shares.own_id:
            return
        self._peers.record_address(sender, offer.address)
        successor = Peer(sender, offer.address)
        for owner in list(self._held_shares.shares_by_owner):
            if self.is_leaving or is_later_run(sender, owner):
                self._transfers.hand_over(owner, successor, now)

    def tick(self, now: float) -> None:
        """Query for successors and send unacknowledged transfers again."""
        self._transfers.send_due(now)
        if self.is_leaving:
            self._held_shares.release_unlisted()
        if now < self._next_query or not self._held_shares.shares_by_owner:
            return
        self._next_query = now + (
            SUCCESSOR_QUERY_INTERVAL_S / 10
            if self.is_leaving
            else SUCCESSOR_QUERY_INTERVAL_S
        )
        for address in self._candidates() if self.is_leaving else self._later_runs():
            self._transport.send(address, HeirQuery(self._own_address))

    def _later_runs(self) -> list[Address]:
        if not self._held_shares.log.active:
            return []
        members_by_name = self._held_shares.log.active[-1].members_by_name
        return [
            members_by_name[owner.name].peers
            for owner in self._held_shares.owners_taken_over()
            if owner.name in members_by_name
            # This instance is itself the later run of the owner.
            and owner.name != self._held_shares.own_id.name
        ]

    def _candidates(self) -> list[Address]:
        addresses = {peer.address for peer in self._peers.known_peers()}
        for state in self._held_shares.log.active[-1:]:
            for member in state.members_by_name.values():
                if not member.leaving:
                    addresses.add(member.peers)
        addresses.discard(self._own_address)
        ranked_addresses = rank_names(self._held_shares.own_id.name, addresses)
        if not ranked_addresses:
            return []
        first = self._query_count * QUERY_FANOUT
        self._query_count += 1
        count = min(QUERY_FANOUT, len(ranked_addresses))
        return [
            Address.parse(ranked_addresses[(first + offset) % len(ranked_addresses)])
            for offset in range(count)
        ]


def is_later_run(candidate: InstanceId, owner: InstanceId) -> bool:
    """Return whether the candidate is a later incarnation of the owner."""
    return candidate.name == owner.name and candidate.incarnation > owner.incarnation
