"""Choose the instances to query for evidence in each round."""

from __future__ import annotations

from random import Random
from typing import TypeVar

import attrs

from gentianhitch.addresses import Address
from gentianhitch.decisions.evidence import MemberRecord
from gentianhitch.decisions.freshness import Freshness
from gentianhitch.decisions.platform_reads import WATCHER_COUNT
from gentianhitch.decisions.platform_reads import own_watch_rank
from gentianhitch.instances.identity import Member

T = TypeVar("T")

FANOUT = 3
MAX_FANOUT = 64
MAX_NEWCOMERS = 16
MAX_CONTACTS = 8
MAX_NEWCOMER_SILENCE_S = 3.0


@attrs.frozen
class Partner:
    """An instance to query; ``member`` is None if only its address is known."""

    peers: Address
    member: Member | None


@attrs.define(eq=False)
class Partners:
    """Chooses partners; ``contacts`` are addresses from seeds and the platform."""

    freshness: Freshness
    random: Random
    contacts: frozenset[Address] = frozenset()

    def choose(self, now: float) -> list[Partner]:
        """Return the partners of one round, without duplicates."""
        chosen = self._random_partners()
        chosen += self._watchers_if_unlisted()
        chosen += self._newcomers_if_watcher(now)
        partners = {m.peers: Partner(m.peers, m) for m in chosen if self._is_other(m)}
        if not self.freshness.is_fresh_by_majority(now):
            for peers in self._sample(sorted(self.contacts), MAX_CONTACTS):
                if peers != self.freshness.own.peers:
                    partners.setdefault(peers, Partner(peers, None))
        return list(partners.values())

    def random_members(self, count: int = FANOUT) -> list[Member]:
        """Return up to ``count`` random other members of the newest list."""
        return self._sample(self._others(), count)

    def _random_partners(self) -> list[Member]:
        others = self._others()
        fanout = FANOUT
        if not self.freshness.established:
            # Acknowledgements are not relayed by peers, so more members are queried
            # per round until a majority has acknowledged this incarnation.
            fanout = min(max(FANOUT, len(others) // 4), MAX_FANOUT)
        return self._sample(others, fanout)

    def _others(self) -> list[Member]:
        current = self.freshness.current
        names = current.names if current else tuple(self.freshness.records_by_name)
        records = self.freshness.records_by_name
        return [records[n].member for n in names if self._is_other(records[n].member)]

    def _watchers_if_unlisted(self) -> list[Member]:
        current = self.freshness.current
        if current is None or self.freshness.own.id in current.ids:
            return []
        records = self.freshness.records_by_name
        return [records[name].member for name in current.watch_order[:WATCHER_COUNT]]

    def _newcomers_if_watcher(self, now: float) -> list[Member]:
        if own_watch_rank(self.freshness) >= WATCHER_COUNT:
            return []
        current = self.freshness.current
        ids = current.ids if current else frozenset()
        newcomers = [
            record.member
            for record in self.freshness.records_by_name.values()
            if record.member.id not in ids and self._has_contacted_recently(record, now)
        ]
        return self._sample(newcomers, MAX_NEWCOMERS)

    def _has_contacted_recently(self, record: MemberRecord, now: float) -> bool:
        return (
            now - max(record.request_received_at, record.created_at)
            <= MAX_NEWCOMER_SILENCE_S
        )

    def _is_other(self, member: Member) -> bool:
        return member.id.name != self.freshness.own.id.name

    def _sample(self, values: list[T], count: int) -> list[T]:
        return self.random.sample(values, min(count, len(values)))
