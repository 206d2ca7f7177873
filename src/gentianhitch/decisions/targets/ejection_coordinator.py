"""Coordinate the ejections of one service with its other coordinators."""

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
from gentianhitch.decisions.targets.leadership import VoteCounter
from gentianhitch.decisions.targets.leadership import Voter
from gentianhitch.decisions.targets.messages import MAX_SCORES
from gentianhitch.decisions.targets.messages import MAX_TARGETS
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

FINDINGS_LIFETIME_S = 2.0
"""Age up to which the findings of a coordinator confirm a gray scope."""

Send = Callable[[Member, object], None]


@attrs.frozen
class Findings:
    """Gray scopes and absent targets by the reports that one coordinator has."""

    received_at: float
    gray: frozenset[Scope]
    absent: frozenset[str]


class EjectionCoordinator:
    """One coordinator of a service: votes for a leader and leads when elected.

    Only the leader ejects, so a single table is enough to keep the floor. A new
    leader grants nothing for one ejection lease, until every ejection that an
    earlier leader granted has expired.
    """

    def __init__(
        self, service: str, me: InstanceId, send: Send, counts: Counter[str], now: float
    ) -> None:
        self._service = service
        self._me = me
        self._send = send
        self._counts = counts
        self._voter = Voter(now)
        self._votes = VoteCounter()
        self._pool = ReportPool()
        self._table = EjectionTable()
        self._reporters_by_id: dict[InstanceId, tuple[Member, int, float]] = {}
        self._findings_by_id: dict[InstanceId, Findings] = {}
        self._votes_by_candidate: dict[InstanceId, tuple[Member, int]] = {}
        self._gray: dict[Scope, float] = {}
        self._leading_since: float | None = None
        self._absences: tuple[tuple[str, ...], tuple[str, ...]] = ((), ())
        self._serial = 0

    def on_report(
        self, sender: Member, report: EvidenceReport, config: EjectionConfig, now: float
    ) -> None:
        """Pool a report; the leader replies with grants."""
        self._update_leadership(config, now)
        if not self._pool.add(sender.id, report, now):
            return
        self._reporters_by_id[sender.id] = (sender, report.number, now)
        before = frozenset(self._gray)
        self._update_gray(config, now)
        if frozenset(self._gray) != before:
            self._confirm(config, now)
        if self._leading_since is not None:
            self._reply(sender, report.number, config, now)

    def _reply(
        self, sender: Member, number: int, config: EjectionConfig, now: float
    ) -> None:
        if not self._pool.has_quorum(config.steered_names, now):
            return
        absences = (self._pool.leaving(now), self._pool.cold(now))
        if absences != self._absences:
            self._absences = absences
            self._grant_to_all(now)
        else:
            self._grant_to(sender, number, now)

    def on_vote_request(
        self, sender: Member, request: VoteRequest, config: EjectionConfig, now: float
    ) -> None:
        """Send a vote if this coordinator votes for the candidate."""
        self._update_leadership(config, now)
        if self._voter.grant_vote(sender.id, request, config.ranked_coordinators, now):
            self._votes_by_candidate = {sender.id: (sender, request.number)}
            self._update_gray(config, now)
            self._vote(sender, request.number, now)

    def on_vote(
        self, sender: InstanceId, vote: Vote, config: EjectionConfig, now: float
    ) -> None:
        """Count a vote and record the findings in it."""
        self._update_leadership(config, now)
        self._votes.record_vote(sender, vote.number)
        self._findings_by_id[sender] = Findings(
            now,
            frozenset(scope_of(score) for score in vote.gray),
            frozenset(vote.absent),
        )
        self._update_leadership(config, now)
        self._decide_ejections(config, now)

    def tick(self, config: EjectionConfig, now: float) -> None:
        """Request votes if this coordinator should lead; update the ejections."""
        self._update_leadership(config, now)
        self._update_gray(config, now)
        if self._should_request_votes(config, now):
            request = VoteRequest(
                self._service,
                self._votes.start_request(now),
                self._leading_since is not None,
            )
            for coordinator in config.all_coordinators().values():
                self._send(coordinator, request)
        self._decide_ejections(config, now)

    def may_grant(self, now: float) -> bool:
        """Return whether this coordinator leads and all older leases have expired."""
        if self._leading_since is None:
            return False
        return now >= self._leading_since + self.takeover_wait_s()

    def takeover_wait_s(self) -> float:
        """Return how long a new leader waits before its first grant, in seconds."""
        return EJECTION_LEASE_S

    def _update_leadership(self, config: EjectionConfig, now: float) -> None:
        if not self._votes.has_all_majorities(config.coordinator_sets, now):
            self._leading_since = None
        elif self._leading_since is None:
            self._leading_since = now
            self._table = EjectionTable()

    def _should_request_votes(self, config: EjectionConfig, now: float) -> bool:
        if self._me not in config.ranked_coordinators:
            return False
        if self._leading_since is not None:
            return True
        if self._voter.has_other_leader(self._me, now):
            return False
        return not self._voter.has_better_candidate(
            self._me, config.ranked_coordinators, now
        )

    def _update_gray(self, config: EjectionConfig, now: float) -> None:
        self._gray = self._pool.gray(config.steered_names, now)

    def _confirm(self, config: EjectionConfig, now: float) -> None:
        for candidate, number in self._votes_by_candidate.values():
            self._vote(candidate, number, now)

    def _vote(self, candidate: Member, number: int, now: float) -> None:
        ranked = sorted(self._gray.items(), key=lambda item: -item[1])[:MAX_SCORES]
        gray = tuple(score_of(scope, pooled) for scope, pooled in ranked)
        absent = tuple(sorted(self._pool.absent(now)))[:MAX_TARGETS]
        self._send(candidate, Vote(self._service, number, gray, absent))

    def _decide_ejections(self, config: EjectionConfig, now: float) -> None:
        if not self.may_grant(now) or not self._pool.has_quorum(
            config.steered_names, now
        ):
            return
        capacity = self._capacity(config, now)
        confirmed = self._confirmed(config, now)
        changed = bool(self._table.restore_floor(capacity, now))
        for scope in self._table.release_due(confirmed, now):
            logger.info(
                "returning {} of service {} by slow start", scope, self._service
            )
            self._counts["ejection.returned"] += 1
            changed = True
        for scope in confirmed:
            changed = self._eject(scope, capacity, now) or changed
        self._table.expire_records(now)
        if changed:
            self._grant_to_all(now)

    def _eject(self, scope: Scope, capacity: Capacity, now: float) -> bool:
        try:
            ejected = self._table.eject(scope, capacity, now)
        except FloorError:
            self._counts["ejection.held_by_floor"] += 1
            return False
        if ejected:
            logger.info("ejecting {} of service {}", scope, self._service)
            self._counts["ejection.ejected"] += 1
        return ejected

    def _capacity(self, config: EjectionConfig, now: float) -> Capacity:
        absent = self._pool.absent(now).union(
            *(found.absent for found in self._recent_findings(now).values())
        )
        return Capacity(config.slots_by_target, config.floor_slots, absent)

    def _recent_findings(self, now: float) -> dict[InstanceId, Findings]:
        self._findings_by_id = {
            name: found
            for name, found in self._findings_by_id.items()
            if now - found.received_at <= FINDINGS_LIFETIME_S
        }
        return self._findings_by_id

    def _confirmed(self, config: EjectionConfig, now: float) -> list[Scope]:
        """Return the scopes that a majority of every set finds gray, worst first."""
        findings_by_id = self._recent_findings(now)
        candidates = {s for found in findings_by_id.values() for s in found.gray}
        confirmed = [
            scope
            for scope in candidates
            if all(
                _majority_confirms(scope, coordinators, findings_by_id)
                for coordinators in config.coordinator_sets
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
            for scope, weight in self._table.grant_weights(now).items()
        )
        self._send(
            member,
            EjectionGrants(
                self._service, number, self._serial, ejections, *self._absences
            ),
        )


def _majority_confirms(
    scope: Scope,
    coordinators: dict[InstanceId, Member],
    findings_by_id: dict[InstanceId, Findings],
) -> bool:
    confirming = sum(
        name in findings_by_id and scope in findings_by_id[name].gray
        for name in coordinators
    )
    return confirming * 2 > len(coordinators)
