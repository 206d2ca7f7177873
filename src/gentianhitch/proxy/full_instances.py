"""Know which instances report themselves full, to leave them out of the directory.

Serving instances learn it from the load reports of the full ones. Any instance may be
asked for the directory: within a failure domain, the queries and replies about the
freshness of the view carry what is known. What came in a reply is not passed on, so
that it can't circulate.
"""

from __future__ import annotations

from collections.abc import Iterable
from enum import IntEnum

import attrs

from gentianhitch.proxy.own_limits import FAULTY_PERCENT
from gentianhitch.proxy.own_limits import FULL_PERCENT
from gentianhitch.proxy.sources import rank

FULL_LIFETIME_S = 2.0
"""A report that is older, or the loss of all since, counts as not full."""

AGE_STEP_S = 0.02
MAX_TOLD = 32
"""Instances named in one datagram, which stays below a usual packet."""


class Hop(IntEnum):
    """How far a statement has come from the instance that it is about."""

    REPORT = 0
    QUERY = 1
    REPLY = 2


@attrs.frozen
class FullNames:
    """Names of full instances; ``faulty`` ones carry less than ``busy`` ones."""

    busy: frozenset[str] = frozenset()
    faulty: frozenset[str] = frozenset()


@attrs.frozen
class _Statement:
    """An instance's last report; ``percent`` is its fullness."""

    reported_s: float
    percent: int


@attrs.define
class FullInstances:
    """The instances that were full at their last report, by digest of their name."""

    _statements_by_hop: dict[Hop, dict[int, _Statement]] = attrs.Factory(
        lambda: {hop: {} for hop in Hop}
    )

    def record_report(self, name: str, percent: int, sent_s: float) -> None:
        """Record the fullness that an instance reported of itself at ``sent_s``."""
        digest = rank(name)
        if percent >= FULL_PERCENT or self._newest(digest, Hop.REPLY) is not None:
            self._record(digest, _Statement(sent_s, percent), Hop.REPORT)

    def record_told(
        self, told: dict[int, tuple[int, int]], hop: Hop, now: float
    ) -> None:
        """Record what another instance knows, from its query or reply."""
        for digest, (age, percent) in told.items():
            self._record(digest, _Statement(now - age * AGE_STEP_S, percent), hop)

    def to_tell(self, last_hop: Hop, now: float) -> dict[int, tuple[int, int]]:
        """Return ages and fullness of what is known from ``last_hop`` or nearer."""
        told = {}
        for digest in self._digests():
            newest = self._newest(digest, last_hop)
            if newest is not None and _is_full(newest, now):
                age = int((now - newest.reported_s) / AGE_STEP_S) + 1
                told[digest] = (age, newest.percent)
        return dict(sorted(told.items(), key=lambda item: item[1])[:MAX_TOLD])

    def names(self, names: Iterable[str], now: float) -> FullNames:
        """Return those of ``names`` that are full."""
        self._expire(now)
        digests = self._digests()
        if not digests:
            return FullNames()
        busy: set[str] = set()
        faulty: set[str] = set()
        for name in names:
            newest = self._newest(rank(name), Hop.REPLY)
            if newest is not None and _is_full(newest, now):
                (faulty if newest.percent >= FAULTY_PERCENT else busy).add(name)
        return FullNames(frozenset(busy), frozenset(faulty))

    def _record(self, digest: int, statement: _Statement, hop: Hop) -> None:
        statements = self._statements_by_hop[hop]
        known = statements.get(digest)
        if known is None or known.reported_s <= statement.reported_s:
            statements[digest] = statement

    def _digests(self) -> set[int]:
        return {
            digest for known in self._statements_by_hop.values() for digest in known
        }

    def _newest(self, digest: int, last_hop: Hop) -> _Statement | None:
        statements = [
            self._statements_by_hop[hop][digest]
            for hop in Hop
            if hop <= last_hop and digest in self._statements_by_hop[hop]
        ]
        return max(statements, key=lambda each: each.reported_s, default=None)

    def _expire(self, now: float) -> None:
        for statements in self._statements_by_hop.values():
            for digest, statement in tuple(statements.items()):
                if now - statement.reported_s > FULL_LIFETIME_S:
                    del statements[digest]


def _is_full(statement: _Statement, now: float) -> bool:
    is_recent = now - statement.reported_s <= FULL_LIFETIME_S
    return is_recent and statement.percent >= FULL_PERCENT
