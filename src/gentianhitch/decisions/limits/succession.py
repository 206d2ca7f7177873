"""Find who takes a share over, at a planned stop and after a replacement."""

from __future__ import annotations

import math

from gentianhitch.addresses import Address
from gentianhitch.decisions.limits.constants import HEIR_QUERY_S
from gentianhitch.decisions.limits.holdings import Holdings
from gentianhitch.decisions.limits.messages import HeirOffer
from gentianhitch.decisions.limits.messages import HeirQuery
from gentianhitch.decisions.limits.peers import Peer
from gentianhitch.decisions.limits.peers import PeerBook
from gentianhitch.decisions.limits.transfers import Transfers
from gentianhitch.decisions.rendezvous import ranked
from gentianhitch.instances.identity import InstanceId
from gentianhitch.instances.transport import Transport

QUERIED_AT_ONCE = 4
"""Candidates asked together; the first to answer becomes the heir."""


class Succession:
    """Ask other instances who can take shares over, and hand them over.

    Only an instance that answers becomes an heir. A share that was taken over
    goes on to the successor of its origin, where borrowers look for it.
    """

    def __init__(
        self,
        holdings: Holdings,
        peers: PeerBook,
        transfers: Transfers,
        transport: Transport,
        own_address: Address,
    ) -> None:
        self.leaving = False
        self._holdings = holdings
        self._peers = peers
        self._transfers = transfers
        self._transport = transport
        self._own_address = own_address
        self._next_query = -math.inf
        self._queries = 0

    @property
    def is_done(self) -> bool:
        """Tell whether every share has been handed over and acknowledged."""
        held = self._holdings.rights_by_origin
        return not held and not self._transfers.outgoing_by_number

    def answer(self, query: HeirQuery, now: float) -> None:
        """Offer to take shares over if this instance is fresh and stays."""
        if not self.leaving and self._holdings.is_fresh(now):
            self._transport.send(query.reply_to, HeirOffer(self._own_address))

    def accept(self, sender: InstanceId, offer: HeirOffer, now: float) -> None:
        """Hand over to an instance that has offered itself."""
        if sender == self._holdings.own_id:
            return
        self._peers.learn(sender, offer.address)
        heir = Peer(sender, offer.address)
        for origin in list(self._holdings.rights_by_origin):
            if self.leaving or succeeds(sender, origin):
                self._transfers.hand_over(origin, heir, now)

    def tick(self, now: float) -> None:
        """Look for heirs and send unacknowledged transfers again."""
        self._transfers.send_due(now)
        if self.leaving:
            self._holdings.drop_unlisted()
        if now < self._next_query or not self._holdings.rights_by_origin:
            return
        self._next_query = now + (HEIR_QUERY_S / 10 if self.leaving else HEIR_QUERY_S)
        for address in self._candidates() if self.leaving else self._homes():
            self._transport.send(address, HeirQuery(self._own_address))

    def _homes(self) -> list[Address]:
        if not self._holdings.log.active:
            return []
        members_by_name = self._holdings.log.active[-1].members_by_name
        return [
            members_by_name[origin.name].peers
            for origin in self._holdings.inherited()
            if origin.name in members_by_name
            # A later run of the origin holds it already.
            and origin.name != self._holdings.own_id.name
        ]

    def _candidates(self) -> list[Address]:
        addresses = {peer.address for peer in self._peers.heard()}
        for state in self._holdings.log.active[-1:]:
            for member in state.members_by_name.values():
                if not member.leaving:
                    addresses.add(member.peers)
        addresses.discard(self._own_address)
        by_score = ranked(self._holdings.own_id.name, addresses)
        if not by_score:
            return []
        first = self._queries * QUERIED_AT_ONCE
        self._queries += 1
        chosen = min(QUERIED_AT_ONCE, len(by_score))
        return [
            Address.parse(by_score[(first + place) % len(by_score)])
            for place in range(chosen)
        ]


def succeeds(candidate: InstanceId, origin: InstanceId) -> bool:
    """Tell whether the candidate is a later run of the same instance."""
    return candidate.name == origin.name and candidate.incarnation > origin.incarnation
