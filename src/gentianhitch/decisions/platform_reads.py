"""Decide when an instance reads the platform; bounds the reads of the whole fleet."""

from __future__ import annotations

from enum import Enum

import attrs

from gentianhitch.decisions.freshness import Freshness

WATCHER_COUNT = 3
WATCH_WAIT_S = 2.0
STALE_READ_AGE_S = 3.0
INTERVAL_PER_RANK_S = 1.0
SUBSTITUTE_DURATION_S = 10.0
FIRST_RETRY_S = 0.5
MAX_RETRY_S = 8.0
NO_MAJORITY_INTERVAL_S = 0.7
MAX_NO_MAJORITY_READS_PER_S = 400.0


class ReadKind(Enum):
    """Kind of a read of the head; a watch waits for a change."""

    GET = "get"
    WATCH = "watch"


@attrs.define(eq=False)
class ReadSchedule:
    """Schedules the reads of the head, at most one of each kind at a time.

    The first ``WATCHER_COUNT`` instances keep a watch open. The others read only when
    the newest read of the whole fleet is older than a threshold that grows with their
    rank, so that only a few do, whatever the size of the fleet. In an outage the
    attempts of rank ``r`` are ``r`` times as far apart, so that their sum grows with
    the logarithm of the size. An instance whose read then succeeds substitutes for the
    watchers until they read again. Instances without a majority read often, but all of
    them together at most ``MAX_NO_MAJORITY_READS_PER_S`` times a second.
    """

    freshness: Freshness
    _attempted_at: float = float("-inf")
    _failure_count: int = 0
    _substitute_until: float = float("-inf")
    _is_only_reader: bool = False
    _is_taking_over: bool = False

    def due(self, now: float) -> ReadKind | None:
        """Return the kind of read that is due, or None."""
        since_s = now - self._attempted_at
        if since_s < self._retry_interval_s():
            return None
        rank = self._rank()
        if not self.freshness.is_fresh_by_majority(now):
            return ReadKind.GET if since_s >= self._no_majority_interval_s() else None
        if rank < WATCHER_COUNT or now < self._substitute_until:
            return ReadKind.WATCH
        threshold_s = STALE_READ_AGE_S + (rank - WATCHER_COUNT) * INTERVAL_PER_RANK_S
        read_age_s = now - self.freshness.fleet_read_at
        is_interval_over = since_s >= rank * INTERVAL_PER_RANK_S
        return ReadKind.GET if read_age_s > threshold_s and is_interval_over else None

    def record_start(self, now: float) -> None:
        """Record the start of a read."""
        self._is_taking_over = self.freshness.is_fresh_by_majority(
            now
        ) and self._is_stale(now)
        self._is_only_reader = self.freshness.fleet_read_at <= self._attempted_at
        self._attempted_at = now

    def record_success(self, now: float) -> None:
        """Record a successful read."""
        self._failure_count = 0
        is_renewed = now < self._substitute_until and self._is_only_reader
        if self._is_taking_over or is_renewed:
            self._substitute_until = now + SUBSTITUTE_DURATION_S

    def record_failure(self) -> None:
        """Record a failed read; further failures double the retry interval."""
        self._failure_count += 1
        self._substitute_until = float("-inf")

    def is_watcher(self) -> bool:
        """Return whether this instance is one of the watchers."""
        return self._rank() < WATCHER_COUNT

    def _is_stale(self, now: float) -> bool:
        return now - self.freshness.fleet_read_at > STALE_READ_AGE_S

    def _retry_interval_s(self) -> float:
        if not self._failure_count:
            return 0.0
        return min(FIRST_RETRY_S * 2.0 ** min(self._failure_count - 1, 16), MAX_RETRY_S)

    def _no_majority_interval_s(self) -> float:
        current = self.freshness.current
        size = len(current.members) if current else 0
        return max(NO_MAJORITY_INTERVAL_S, size / MAX_NO_MAJORITY_READS_PER_S)

    def _rank(self) -> int:
        return own_watch_rank(self.freshness)


def own_watch_rank(freshness: Freshness) -> int:
    """Return the rank of this instance in the order of watchers, from 0.

    It is the size of the list if this instance is not in it.
    """
    current = freshness.current
    if current is None:
        return 0
    return current.watch_rank_by_name.get(freshness.own.id.name, len(current.members))
