"""Decide on the ejections of one service, as one of its stewards."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

import attrs
from loguru import logger

from gentianhitch.decisions.targets.ejection_config import EjectionConfig
from gentianhitch.decisions.targets.ejection_table import EJECTION_LEASE_S
from gentianhitch.decisions.targets.ejection_table import Capacity
from gentianhitch.decisions.targets.ejection_table import EjectionTable
from gentianhitch.decisions.targets.ejection_table import FloorError
from gentianhitch.decisions.targets.leadership import Candidacy
from gentianhitch.decisions.targets.leadership import Voter
from gentianhitch.decisions.targets.messages import MAX_NAMES
from gentianhitch.decisions.targets.messages import MAX_SCORES
from gentianhitch.decisions.targets.messages import Ejection
from gentianhitch.decisions.targets.messages import EjectionGrants
from gentianhitch.decisions.targets.messages import EvidenceReport
from gentianhitch.decisions.targets.messages import Vote
from gentianhitch.decisions.targets.messages import VoteRequest
from gentianhitch.decisions.targets.reports import ReportPool
from gentianhitch.decisions.targets.reports import scope_of
from gentianhitch.decisions.targets.reports import score_of
from gentianhitch.decisions.targets.scopes import Scope
from gentianhitch.instances.identity import InstanceId
from gentianhitch.instances.identity import Member

CONFIRMED_S = 2.0

Send = Callable[[Member, object], None]


@attrs.frozen
class Shown:
    """What the reports that one steward heard show."""

    at: float
    gray: frozenset[Scope]
    absent: frozenset[str]


class EjectionCoordinator:
    """Vote for a leader, confirm gray scopes, and lead when elected.

    Only the leader ejects, so one ledger holds the floor. It may grant after one
    ejection lease, when what an earlier leader granted has ended.
    """

    def __init__(
        self, service: str, me: InstanceId, send: Send, counts: Counter[str], now: float
    ) -> None:
        self._service = service
        self._me = me
        self._send = send
        self._counts = counts
        self._voter = Voter(now)
        self._candidacy = Candidacy()
        self._pool = ReportPool()
        self._ledger = EjectionTable()
        self._reporters_by_id: dict[InstanceId, tuple[Member, int, float]] = {}
        self._shown_by_steward: dict[InstanceId, Shown] = {}
        self._votes_by_candidate: dict[InstanceId, tuple[Member, int]] = {}
        self._gray: dict[Scope, float] = {}
        self._leading_since: float | None = None
        self._told: tuple[tuple[str, ...], tuple[str, ...]] = ((), ())
        self._serial = 0

    def on_report(
        self,
        sender: Member,
        report: EvidenceReport,
        setting: EjectionConfig,
        now: float,
    ) -> None:
        """Pool a report; answer with grants when leading."""
        self._refresh(setting, now)
        if not self._pool.add(sender.id, report, now):
            return
        self._reporters_by_id[sender.id] = (sender, report.number, now)
        before = frozenset(self._gray)
        self._judge(setting, now)
        if frozenset(self._gray) != before:
            self._confirm(setting, now)
        if self._leading_since is not None:
            self._answer(sender, report.number, setting, now)

    def _answer(
        self, sender: Member, number: int, setting: EjectionConfig, now: float
    ) -> None:
        if not self._pool.hears_most(setting.near, now):
            return
        told = (self._pool.leaving(now), self._pool.cold(now))
        if told != self._told:
            self._told = told
            self._grant_to_all(now)
        else:
            self._grant_to(sender, number, now)

    def on_request(
        self, sender: Member, request: VoteRequest, setting: EjectionConfig, now: float
    ) -> None:
        """Vote for a candidate, or not."""
        self._refresh(setting, now)
        if self._voter.asked(sender.id, request, setting.preferred, now):
            self._votes_by_candidate = {sender.id: (sender, request.number)}
            self._judge(setting, now)
            self._vote(sender, request.number, now)

    def on_vote(
        self, sender: InstanceId, vote: Vote, setting: EjectionConfig, now: float
    ) -> None:
        """Count a vote and keep what its sender confirms."""
        self._refresh(setting, now)
        self._candidacy.voted(sender, vote.number)
        self._shown_by_steward[sender] = Shown(
            now,
            frozenset(scope_of(score) for score in vote.gray),
            frozenset(vote.absent),
        )
        self._refresh(setting, now)
        self._decide(setting, now)

    def tick(self, setting: EjectionConfig, now: float) -> None:
        """Ask for votes if this steward should lead; move ejections on."""
        self._refresh(setting, now)
        self._judge(setting, now)
        if self._should_ask(setting, now):
            request = VoteRequest(
                self._service, self._candidacy.ask(now), self._leading_since is not None
            )
            for steward in setting.everyone().values():
                self._send(steward, request)
        self._decide(setting, now)

    def may_grant(self, now: float) -> bool:
        """Tell whether this steward leads and every older ejection has ended."""
        if self._leading_since is None:
            return False
        return now >= self._leading_since + self.wait_s()

    def wait_s(self) -> float:
        """Return how long a new leader waits before it grants anything."""
        return EJECTION_LEASE_S

    def _refresh(self, setting: EjectionConfig, now: float) -> None:
        if not self._candidacy.has_majorities(setting.coordinator_sets, now):
            self._leading_since = None
        elif self._leading_since is None:
            self._leading_since = now
            self._ledger = EjectionTable()

    def _should_ask(self, setting: EjectionConfig, now: float) -> bool:
        if self._me not in setting.preferred:
            return False
        if self._leading_since is not None:
            return True
        if self._voter.hears_leader(self._me, now):
            return False
        return not self._voter.hears_better(self._me, setting.preferred, now)

    def _judge(self, setting: EjectionConfig, now: float) -> None:
        self._gray = self._pool.gray(setting.near, now)

    def _confirm(self, setting: EjectionConfig, now: float) -> None:
        for candidate, number in self._votes_by_candidate.values():
            self._vote(candidate, number, now)

    def _vote(self, candidate: Member, number: int, now: float) -> None:
        ranked = sorted(self._gray.items(), key=lambda item: -item[1])[:MAX_SCORES]
        gray = tuple(score_of(scope, pooled) for scope, pooled in ranked)
        absent = tuple(sorted(self._pool.absent(now)))[:MAX_NAMES]
        self._send(candidate, Vote(self._service, number, gray, absent))

    def _decide(self, setting: EjectionConfig, now: float) -> None:
        if not self.may_grant(now) or not self._pool.hears_most(setting.near, now):
            return
        capacity = self._capacity(setting, now)
        confirmed = self._confirmed(setting, now)
        changed = bool(self._ledger.keep_floor(capacity, now))
        for scope in self._ledger.release_due(confirmed, now):
            logger.info("returning {} of {}", scope, self._service)
            self._counts["ejection.returned"] += 1
            changed = True
        for scope in confirmed:
            changed = self._eject(scope, capacity, now) or changed
        self._ledger.forget(now)
        if changed:
            self._grant_to_all(now)

    def _eject(self, scope: Scope, capacity: Capacity, now: float) -> bool:
        try:
            ejected = self._ledger.eject(scope, capacity, now)
        except FloorError:
            self._counts["ejection.held_by_floor"] += 1
            return False
        if ejected:
            logger.info("ejecting {} of {}", scope, self._service)
            self._counts["ejection.ejected"] += 1
        return ejected

    def _capacity(self, setting: EjectionConfig, now: float) -> Capacity:
        absent = self._pool.absent(now).union(
            *(shown.absent for shown in self._recently_shown(now).values())
        )
        return Capacity(setting.slots_by_target, setting.floor_slots, absent)

    def _recently_shown(self, now: float) -> dict[InstanceId, Shown]:
        self._shown_by_steward = {
            steward: shown
            for steward, shown in self._shown_by_steward.items()
            if now - shown.at <= CONFIRMED_S
        }
        return self._shown_by_steward

    def _confirmed(self, setting: EjectionConfig, now: float) -> list[Scope]:
        """Return what most stewards of every set judge gray, worst first."""
        shown_by_steward = self._recently_shown(now)
        candidates = {s for shown in shown_by_steward.values() for s in shown.gray}
        confirmed = [
            scope
            for scope in candidates
            if all(
                _most_confirm(scope, stewards_, shown_by_steward)
                for stewards_ in setting.coordinator_sets
            )
        ]
        return sorted(
            confirmed, key=lambda scope: (-self._gray.get(scope, 0.0), str(scope))
        )

    def _grant_to_all(self, now: float) -> None:
        self._reporters_by_id = {
            name: known
            for name, known in self._reporters_by_id.items()
            if now - known[2] <= EJECTION_LEASE_S
        }
        for member, number, _ in self._reporters_by_id.values():
            self._grant_to(member, number, now)

    def _grant_to(self, member: Member, number: int, now: float) -> None:
        self._serial += 1
        ejections = tuple(
            Ejection(scope.target, scope.route, scope.workspace, round(weight, 3))
            for scope, weight in self._ledger.grant(now).items()
        )
        self._send(
            member,
            EjectionGrants(self._service, number, self._serial, ejections, *self._told),
        )


def _most_confirm(
    scope: Scope,
    stewards_: dict[InstanceId, Member],
    shown_by_steward: dict[InstanceId, Shown],
) -> bool:
    confirming = sum(
        name in shown_by_steward and scope in shown_by_steward[name].gray
        for name in stewards_
    )
    return confirming * 2 > len(stewards_)
