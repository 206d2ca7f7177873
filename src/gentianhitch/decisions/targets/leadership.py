"""Elect one leader among a service's stewards by leased votes."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Mapping

import attrs

from gentianhitch.decisions.targets.messages import VoteRequest
from gentianhitch.instances.identity import InstanceId

VOTE_S = 3.0
FRUITLESS_S = 4.0
"""A candidate that asks this long without leading is passed over for a while."""

PASSED_OVER_S = 15.0
HEARD_S = 1.5
FORGET_S = 60.0


@attrs.define
class Candidate:
    """What a voter remembers of one candidate."""

    heard: float
    asking_since: float
    leading: bool = False
    passed_over_until: float = 0.0


class Voter:
    """Give one leased vote at a time; a restarted voter waits one lease first."""

    def __init__(self, now: float) -> None:
        self._candidates_by_id: dict[InstanceId, Candidate] = {}
        self._voted_for: InstanceId | None = None
        self._vote_until = now + VOTE_S

    def asked(
        self,
        candidate: InstanceId,
        request: VoteRequest,
        preferred: Iterable[InstanceId],
        now: float,
    ) -> bool:
        """Decide on a request; ``preferred`` lists the stewards, first choice first."""
        self._note(candidate, request, now)
        if self._voted_for != candidate:
            if now < self._vote_until:
                return False
            if self._first_choice(preferred, now) != candidate:
                return False
        elif self._is_passed_over(candidate, now):
            return False
        self._voted_for = candidate
        self._vote_until = now + VOTE_S
        return True

    def hears_better(
        self, me: InstanceId, preferred: list[InstanceId], now: float
    ) -> bool:
        """Tell whether a steward before ``me`` asks for votes with success."""
        better = preferred[: preferred.index(me)] if me in preferred else preferred
        return any(self._is_eligible(candidate, now) for candidate in better)

    def hears_leader(self, me: InstanceId, now: float) -> bool:
        """Tell whether a steward other than ``me`` leads."""
        return any(
            known.leading and now - known.heard <= HEARD_S
            for candidate, known in self._candidates_by_id.items()
            if candidate != me
        )

    def _forget_old(self, now: float) -> None:
        self._candidates_by_id = {
            name: known
            for name, known in self._candidates_by_id.items()
            if now - known.heard <= FORGET_S
        }

    def _note(self, candidate: InstanceId, request: VoteRequest, now: float) -> None:
        self._forget_old(now)
        known = self._candidates_by_id.get(candidate)
        if known is None or now - known.heard > HEARD_S:
            passed_over_until = known.passed_over_until if known else 0.0
            known = Candidate(now, now, request.leading, passed_over_until)
            self._candidates_by_id[candidate] = known
        known.heard = now
        known.leading = request.leading
        if request.leading:
            known.asking_since = now
            known.passed_over_until = 0.0
        elif now - known.asking_since > FRUITLESS_S + VOTE_S:
            known.passed_over_until = now + PASSED_OVER_S
            known.asking_since = now

    def _first_choice(
        self, preferred: Iterable[InstanceId], now: float
    ) -> InstanceId | None:
        eligible = (name for name in preferred if self._is_eligible(name, now))
        return next(eligible, None)

    def _is_eligible(self, candidate: InstanceId, now: float) -> bool:
        known = self._candidates_by_id.get(candidate)
        if known is None or now - known.heard > HEARD_S:
            return False
        return not self._is_passed_over(candidate, now)

    def _is_passed_over(self, candidate: InstanceId, now: float) -> bool:
        known = self._candidates_by_id.get(candidate)
        return known is not None and now < known.passed_over_until


class Candidacy:
    """Count leased votes; each lease runs from when the vote was asked for."""

    def __init__(self) -> None:
        self._asked_by_number: dict[int, float] = {}
        self._until_by_voter: dict[InstanceId, float] = {}
        self._number = 0

    def ask(self, now: float) -> int:
        """Return the number of a new request for votes."""
        self._number += 1
        self._asked_by_number[self._number] = now
        for number in [
            n for n, at in self._asked_by_number.items() if now - at > VOTE_S
        ]:
            del self._asked_by_number[number]
        return self._number

    def voted(self, voter: InstanceId, number: int) -> None:
        """Count a vote that answers request ``number``."""
        self._until_by_voter = {
            name: until
            for name, until in self._until_by_voter.items()
            if until > min(self._asked_by_number.values(), default=0.0)
        }
        asked = self._asked_by_number.get(number)
        if asked is not None:
            known = self._until_by_voter.get(voter, 0.0)
            self._until_by_voter[voter] = max(known, asked + VOTE_S)

    def has_majorities(
        self, coordinator_sets: Iterable[Mapping[InstanceId, object]], now: float
    ) -> bool:
        """Tell whether more than half of every set votes for this candidate."""
        sets = list(coordinator_sets)
        if not sets:
            return False
        return all(self._has_majority(stewards, now) for stewards in sets)

    def _has_majority(self, stewards: Mapping[InstanceId, object], now: float) -> bool:
        voting = sum(now < self._until_by_voter.get(voter, 0.0) for voter in stewards)
        return voting * 2 > len(stewards)
