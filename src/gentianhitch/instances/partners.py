"""Choose whom an instance asks for evidence in each round."""

from __future__ import annotations

from random import Random
from typing import TypeVar

import attrs

from gentianhitch.addresses import Address
from gentianhitch.decisions.evidence import Seat
from gentianhitch.decisions.freshness import Freshness
from gentianhitch.decisions.platform_reads import WATCHERS
from gentianhitch.decisions.platform_reads import rank_of
from gentianhitch.instances.identity import Member

T = TypeVar("T")

FANOUT = 3
MAX_FANOUT = 64
MAX_NEWCOMERS = 16
MAX_CONTACTS = 8
NEWCOMER_HEARD_WITHIN_S = 3.0


@attrs.frozen
class Partner:
    """Whom to ask; ``member`` is None where only the address is known."""

    peers: Address
    member: Member | None


@attrs.define(eq=False)
class Partners:
    """Choose partners; ``contacts`` are addresses from seeds and the platform."""

    freshness: Freshness
    random: Random
    contacts: frozenset[Address] = frozenset()

    def choose(self, now: float) -> list[Partner]:
        """Return the partners of one round, each once."""
        chosen = self._members()
        chosen += self._watchers_if_unlisted()
        chosen += self._newcomers_if_watcher(now)
        partners = {m.peers: Partner(m.peers, m) for m in chosen if self._is_other(m)}
        if not self.freshness.is_fresh_by_majority(now):
            for peers in self._sample(sorted(self.contacts), MAX_CONTACTS):
                if peers != self.freshness.own.peers:
                    partners.setdefault(peers, Partner(peers, None))
        return list(partners.values())

    def some(self, count: int = FANOUT) -> list[Member]:
        """Return a few random members of the newest list."""
        return self._sample(self._others(), count)

    def _members(self) -> list[Member]:
        others = self._others()
        fanout = FANOUT
        if not self.freshness.established:
            # Acknowledgements are direct, so the first rounds ask more.
            fanout = min(max(FANOUT, len(others) // 4), MAX_FANOUT)
        return self._sample(others, fanout)

    def _others(self) -> list[Member]:
        current = self.freshness.current
        names = current.names if current else tuple(self.freshness.seats_by_name)
        seats = self.freshness.seats_by_name
        return [seats[n].holder for n in names if self._is_other(seats[n].holder)]

    def _watchers_if_unlisted(self) -> list[Member]:
        current = self.freshness.current
        if current is None or self.freshness.own.id in current.ids:
            return []
        seats = self.freshness.seats_by_name
        return [seats[name].holder for name in current.watch_order[:WATCHERS]]

    def _newcomers_if_watcher(self, now: float) -> list[Member]:
        if rank_of(self.freshness) >= WATCHERS:
            return []
        current = self.freshness.current
        ids = current.ids if current else frozenset()
        newcomers = [
            seat.holder
            for seat in self.freshness.seats_by_name.values()
            if seat.holder.id not in ids and self._is_recent(seat, now)
        ]
        return self._sample(newcomers, MAX_NEWCOMERS)

    def _is_recent(self, seat: Seat, now: float) -> bool:
        return now - max(seat.heard_at, seat.since) <= NEWCOMER_HEARD_WITHIN_S

    def _is_other(self, member: Member) -> bool:
        return member.id.name != self.freshness.own.id.name

    def _sample(self, values: list[T], count: int) -> list[T]:
        return self.random.sample(values, min(count, len(values)))
