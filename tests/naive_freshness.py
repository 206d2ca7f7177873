from __future__ import annotations

import math

import attrs

from gentianhitch.decisions.exchange import EvidenceExchange
from gentianhitch.decisions.freshness import Freshness
from gentianhitch.decisions.member_list import MemberList
from gentianhitch.instances.identity import InstanceId
from gentianhitch.instances.messages import ExchangeReply


@attrs.define(eq=False)
class DatesFromReceipt(EvidenceExchange):
    """Dates evidence from the receipt of the reply, not from its request."""

    def handle_reply(
        self, reply: ExchangeReply, sender: InstanceId, now: float
    ) -> None:
        request = self._sent_requests_by_nonce.get(reply.nonce)
        if request is not None:
            self._sent_requests_by_nonce[reply.nonce] = attrs.evolve(
                request, sent_at=now
            )
        super().handle_reply(reply, sender, now)


@attrs.define(eq=False)
class ReusesNonces(EvidenceExchange):
    """Uses the same nonces in every incarnation."""

    def __attrs_post_init__(self) -> None:
        self._next_nonce = 1


@attrs.define(eq=False)
class CountsRestartedAtOnce(Freshness):
    """Counts a restarted instance at once, before a majority knows it."""

    def _update_established(self) -> None:
        self.established = True


@attrs.define(eq=False)
class FreshBySinglePeer(Freshness):
    """Is fresh for a window after evidence of a single peer."""

    def _majority_until(self) -> float:
        moments = [record.confirmed_at for record in self._peer_records()]
        return max(moments, default=-math.inf) + self.window_s


@attrs.define(eq=False)
class AlwaysFresh(Freshness):
    """Is always fresh."""

    def _majority_until(self) -> float:
        return math.inf


@attrs.define(eq=False)
class RequiresOnlyNewList(Freshness):
    """Requires only the majority of the newest list to put it in force."""

    def required_lists(self, sequence: int) -> list[MemberList]:
        member_list = self.chain.lists_by_sequence.get(sequence)
        return [member_list] if member_list else []
