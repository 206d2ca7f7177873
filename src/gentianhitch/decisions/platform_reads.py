"""Decide when an instance reads the platform, so that reads stay few."""

from __future__ import annotations

from enum import Enum

import attrs

from gentianhitch.decisions.freshness import Freshness

WATCHER_COUNT = 3
WATCH_WAIT_S = 2.0
STALE_READ_S = 3.0
RANK_STEP_S = 1.0
SUBSTITUTE_S = 10.0
FIRST_RETRY_S = 0.5
MAX_RETRY_S = 8.0
LOST_READ_INTERVAL_S = 0.7
MAX_LOST_READS_PER_S = 400.0


class ReadKind(Enum):
    """How to read the head."""

    GET = "get"
    WATCH = "watch"


@attrs.define(eq=False)
class ReadSchedule:
    """Say when the next read of the head is due, one of a kind at a time.

    Watchers hold a watch open. Others read only when the newest read of the
    whole fleet has grown old, in the order of their rank, so that a few attempt
    it however many there are; in an outage the attempts of rank ``r`` are ``r``
    times as far apart, which makes their sum grow with the logarithm. Whoever
    then succeeds watches in the watchers' place until they read again. An
    instance that has no majority reads often, at a rate that the fleet's size bounds.
    """

    freshness: Freshness
    _attempted_at: float = float("-inf")
    _failures: int = 0
    _substitute_until: float = float("-inf")
    _nobody_else_reads: bool = False
    _taking_over: bool = False

    def due(self, now: float) -> ReadKind | None:
        """Return the kind of read that is due, or None."""
        since_s = now - self._attempted_at
        if since_s < self._retry_s():
            return None
        rank = self._rank()
        if not self.freshness.is_fresh_by_majority(now):
            return ReadKind.GET if since_s >= self._lost_interval_s() else None
        if rank < WATCHER_COUNT or now < self._substitute_until:
            return ReadKind.WATCH
        threshold_s = STALE_READ_S + (rank - WATCHER_COUNT) * RANK_STEP_S
        read_age_s = now - self.freshness.fleet_read_at
        apart = since_s >= rank * RANK_STEP_S
        return ReadKind.GET if read_age_s > threshold_s and apart else None

    def record_start(self, now: float) -> None:
        """Note that a read begins."""
        self._taking_over = self.freshness.is_fresh_by_majority(now) and self._is_stale(
            now
        )
        self._nobody_else_reads = self.freshness.fleet_read_at <= self._attempted_at
        self._attempted_at = now

    def record_success(self, now: float) -> None:
        """Note that the platform answered."""
        self._failures = 0
        renewed = now < self._substitute_until and self._nobody_else_reads
        if self._taking_over or renewed:
            self._substitute_until = now + SUBSTITUTE_S

    def record_failure(self) -> None:
        """Note that the platform did not answer."""
        self._failures += 1
        self._substitute_until = float("-inf")

    def is_watcher(self) -> bool:
        """Tell whether this instance is among the watchers."""
        return self._rank() < WATCHER_COUNT

    def _is_stale(self, now: float) -> bool:
        return now - self.freshness.fleet_read_at > STALE_READ_S

    def _retry_s(self) -> float:
        if not self._failures:
            return 0.0
        return min(FIRST_RETRY_S * 2.0 ** min(self._failures - 1, 16), MAX_RETRY_S)

    def _lost_interval_s(self) -> float:
        current = self.freshness.current
        size = len(current.members) if current else 0
        return max(LOST_READ_INTERVAL_S, size / MAX_LOST_READS_PER_S)

    def _rank(self) -> int:
        return own_watch_rank(self.freshness)


def own_watch_rank(freshness: Freshness) -> int:
    """Return the place of this instance in the order of watchers, from 0."""
    current = freshness.current
    if current is None:
        return 0
    return current.watch_rank_by_name.get(freshness.own.id.name, len(current.members))
