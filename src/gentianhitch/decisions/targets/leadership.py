"""Elect one leader among a service's ejection coordinators by leased votes."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Mapping

import attrs

from gentianhitch.decisions.targets.messages import VoteRequest
from gentianhitch.instances.identity import InstanceId

VOTE_LEASE_S = 3.0
CANDIDACY_TIMEOUT_S = 4.0
"""A candidate that requests votes for this long without leading has to back off."""

CANDIDATE_BACKOFF_S = 15.0
CANDIDATE_TIMEOUT_S = 1.5
CANDIDATE_RETENTION_S = 60.0


@attrs.define
class CandidateRecord:
    """A voter's record of one candidate; times in seconds of the clock."""

    requested_at: float
    requesting_since: float
    leading: bool = False
    backoff_until: float = 0.0


class Voter:
    """Grant one leased vote at a time.

    A restarted voter has lost its last vote, so it waits one lease before it votes.
    """

    def __init__(self, now: float) -> None:
        self._candidates_by_id: dict[InstanceId, CandidateRecord] = {}
        self._voted_for: InstanceId | None = None
        self._vote_until = now + VOTE_LEASE_S

    def grant_vote(
        self,
        candidate: InstanceId,
        request: VoteRequest,
        ranked: Iterable[InstanceId],
        now: float,
    ) -> bool:
        """Return whether ``candidate`` gets the vote.

        ``ranked`` lists the coordinators in order of preference.
        """
        self._record_request(candidate, request, now)
        if self._voted_for != candidate:
            if now < self._vote_until:
                return False
            if self._first_eligible(ranked, now) != candidate:
                return False
        elif self._is_backing_off(candidate, now):
            return False
        self._voted_for = candidate
        self._vote_until = now + VOTE_LEASE_S
        return True

    def has_better_candidate(
        self, me: InstanceId, ranked: list[InstanceId], now: float
    ) -> bool:
        """Return whether an eligible candidate is preferred to ``me``."""
        better = ranked[: ranked.index(me)] if me in ranked else ranked
        return any(self._is_eligible(candidate, now) for candidate in better)

    def has_other_leader(self, me: InstanceId, now: float) -> bool:
        """Return whether a coordinator other than ``me`` leads."""
        return any(
            record.leading and now - record.requested_at <= CANDIDATE_TIMEOUT_S
            for candidate, record in self._candidates_by_id.items()
            if candidate != me
        )

    def _expire_candidates(self, now: float) -> None:
        self._candidates_by_id = {
            name: record
            for name, record in self._candidates_by_id.items()
            if now - record.requested_at <= CANDIDATE_RETENTION_S
        }

    def _record_request(
        self, candidate: InstanceId, request: VoteRequest, now: float
    ) -> None:
        self._expire_candidates(now)
        record = self._candidates_by_id.get(candidate)
        if record is None or now - record.requested_at > CANDIDATE_TIMEOUT_S:
            backoff_until = record.backoff_until if record else 0.0
            record = CandidateRecord(now, now, request.leading, backoff_until)
            self._candidates_by_id[candidate] = record
        record.requested_at = now
        record.leading = request.leading
        if request.leading:
            record.requesting_since = now
            record.backoff_until = 0.0
        elif now - record.requesting_since > CANDIDACY_TIMEOUT_S + VOTE_LEASE_S:
            record.backoff_until = now + CANDIDATE_BACKOFF_S
            record.requesting_since = now

    def _first_eligible(
        self, ranked: Iterable[InstanceId], now: float
    ) -> InstanceId | None:
        eligible = (name for name in ranked if self._is_eligible(name, now))
        return next(eligible, None)

    def _is_eligible(self, candidate: InstanceId, now: float) -> bool:
        record = self._candidates_by_id.get(candidate)
        if record is None or now - record.requested_at > CANDIDATE_TIMEOUT_S:
            return False
        return not self._is_backing_off(candidate, now)

    def _is_backing_off(self, candidate: InstanceId, now: float) -> bool:
        record = self._candidates_by_id.get(candidate)
        return record is not None and now < record.backoff_until


class VoteCounter:
    """Count leased votes; each lease starts when the vote was requested."""

    def __init__(self) -> None:
        self._requested_at_by_number: dict[int, float] = {}
        self._until_by_voter: dict[InstanceId, float] = {}
        self._number = 0

    def start_request(self, now: float) -> int:
        """Record a new request for votes and return its number."""
        self._number += 1
        self._requested_at_by_number[self._number] = now
        for number in [
            n
            for n, at in self._requested_at_by_number.items()
            if now - at > VOTE_LEASE_S
        ]:
            del self._requested_at_by_number[number]
        return self._number

    def record_vote(self, voter: InstanceId, number: int) -> None:
        """Count a vote for request ``number``."""
        self._until_by_voter = {
            name: until
            for name, until in self._until_by_voter.items()
            if until > min(self._requested_at_by_number.values(), default=0.0)
        }
        requested_at = self._requested_at_by_number.get(number)
        if requested_at is not None:
            until = self._until_by_voter.get(voter, 0.0)
            self._until_by_voter[voter] = max(until, requested_at + VOTE_LEASE_S)

    def has_all_majorities(
        self, coordinator_sets: Iterable[Mapping[InstanceId, object]], now: float
    ) -> bool:
        """Return whether more than half of every set votes for this candidate."""
        sets = list(coordinator_sets)
        if not sets:
            return False
        return all(self._has_majority(coordinators, now) for coordinators in sets)

    def _has_majority(
        self, coordinators: Mapping[InstanceId, object], now: float
    ) -> bool:
        voting = sum(
            now < self._until_by_voter.get(voter, 0.0) for voter in coordinators
        )
        return voting * 2 > len(coordinators)
