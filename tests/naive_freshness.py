from __future__ import annotations

import math

import attrs

from gentianhitch.decisions.agreed_list import AgreedList
from gentianhitch.decisions.exchange import Exchange
from gentianhitch.decisions.freshness import Freshness
from gentianhitch.instances.identity import InstanceId
from gentianhitch.instances.messages import ExchangeReply


@attrs.define(eq=False)
class DatesFromReceipt(Exchange):
    """Takes evidence to be as young as its arrival."""

    def hear(self, reply: ExchangeReply, sender: InstanceId, now: float) -> None:
        asked = self._asked_by_nonce.get(reply.nonce)
        if asked is not None:
            self._asked_by_nonce[reply.nonce] = attrs.evolve(asked, sent_at=now)
        super().hear(reply, sender, now)


@attrs.define(eq=False)
class RepeatsNonces(Exchange):
    """Begins with the same nonces in every incarnation."""

    def __attrs_post_init__(self) -> None:
        self._next_nonce = 1


@attrs.define(eq=False)
class CountsRestarted(Freshness):
    """Counts a restarted instance as soon as it holds a state."""

    def _establish(self) -> None:
        self.established = True


@attrs.define(eq=False)
class ExpiresOnly(Freshness):
    """Is fresh for a window after anybody agreed."""

    def _majority_until(self) -> float:
        moments = [seat.agreed_at for seat in self._others()]
        return max(moments, default=-math.inf) + self.window_s


@attrs.define(eq=False)
class GoesOnRegardless(Freshness):
    """Acts on whatever it knows."""

    def _majority_until(self) -> float:
        return math.inf


@attrs.define(eq=False)
class AsksOnlyTheNewList(Freshness):
    """Lets the majority of the newest list alone put it in force."""

    def lists_before_force(self, sequence: int) -> list[AgreedList]:
        agreed = self.chain.lists_by_sequence.get(sequence)
        return [agreed] if agreed else []
