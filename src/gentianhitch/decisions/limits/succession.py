"""Find who takes a share over, at a planned stop and after a replacement."""

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
"""Candidates asked together; the first to answer becomes the successor."""


class Succession:
    """Ask other instances who can take shares over, and hand them over.

    Only an instance that answers becomes an successor. A share that was taken over
    goes on to the successor of its owner, where borrowers look for it.
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
        """Tell whether every share has been handed over and acknowledged."""
        held = self._held_shares.shares_by_owner
        return not held and not self._transfers.outgoing_by_number

    def handle_query(self, query: HeirQuery, now: float) -> None:
        """Offer to take shares over if this instance is fresh and stays."""
        if not self.is_leaving and self._held_shares.is_fresh(now):
            self._transport.send(query.reply_to, HeirOffer(self._own_address))

    def handle_offer(self, sender: InstanceId, offer: HeirOffer, now: float) -> None:
        """Hand over to an instance that has offered itself."""
        if sender == self._held_shares.own_id:
            return
        self._peers.record_address(sender, offer.address)
        successor = Peer(sender, offer.address)
        for owner in list(self._held_shares.shares_by_owner):
            if self.is_leaving or is_later_run(sender, owner):
                self._transfers.hand_over(owner, successor, now)

    def tick(self, now: float) -> None:
        """Look for heirs and send unacknowledged transfers again."""
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
            # A later run of the owner holds it already.
            and owner.name != self._held_shares.own_id.name
        ]

    def _candidates(self) -> list[Address]:
        addresses = {peer.address for peer in self._peers.known_peers()}
        for state in self._held_shares.log.active[-1:]:
            for member in state.members_by_name.values():
                if not member.leaving:
                    addresses.add(member.peers)
        addresses.discard(self._own_address)
        by_score = rank_names(self._held_shares.own_id.name, addresses)
        if not by_score:
            return []
        first = self._query_count * QUERY_FANOUT
        self._query_count += 1
        chosen = min(QUERY_FANOUT, len(by_score))
        return [
            Address.parse(by_score[(first + place) % len(by_score)])
            for place in range(chosen)
        ]


def is_later_run(candidate: InstanceId, owner: InstanceId) -> bool:
    """Tell whether the candidate is a later run of the same instance."""
    return candidate.name == owner.name and candidate.incarnation > owner.incarnation
