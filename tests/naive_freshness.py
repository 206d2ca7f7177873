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
    """Takes evidence to be as young as its arrival."""

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
class RepeatsNonces(EvidenceExchange):
    """Begins with the same nonces in every incarnation."""

    def __attrs_post_init__(self) -> None:
        self._next_nonce = 1


@attrs.define(eq=False)
class CountsRestarted(Freshness):
    """Counts a restarted instance as soon as it holds a state."""

    def _update_established(self) -> None:
        self.established = True


@attrs.define(eq=False)
class ExpiresOnly(Freshness):
    """Is fresh for a window after anybody agreed."""

    def _majority_until(self) -> float:
        moments = [record.confirmed_at for record in self._peer_records()]
        return max(moments, default=-math.inf) + self.window_s


@attrs.define(eq=False)
class GoesOnRegardless(Freshness):
    """Acts on whatever it knows."""

    def _majority_until(self) -> float:
        return math.inf


@attrs.define(eq=False)
class AsksOnlyTheNewList(Freshness):
    """Lets the majority of the newest list alone put it in force."""

    def required_lists(self, sequence: int) -> list[MemberList]:
        agreed = self.chain.lists_by_sequence.get(sequence)
        return [agreed] if agreed else []
