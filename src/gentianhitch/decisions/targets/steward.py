"""Decide on the ejections of one service, as one of its stewards."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

import attrs
from loguru import logger

from gentianhitch.decisions.interfaces import AgreedState
from gentianhitch.decisions.targets.leadership import Candidacy
from gentianhitch.decisions.targets.leadership import Voter
from gentianhitch.decisions.targets.ledger import EJECTION_S
from gentianhitch.decisions.targets.ledger import Capacity
from gentianhitch.decisions.targets.ledger import FloorError
from gentianhitch.decisions.targets.ledger import Ledger
from gentianhitch.decisions.targets.messages import MAX_SCORES
from gentianhitch.decisions.targets.messages import Ejection
from gentianhitch.decisions.targets.messages import EjectionGrants
from gentianhitch.decisions.targets.messages import EvidenceReport
from gentianhitch.decisions.targets.messages import Vote
from gentianhitch.decisions.targets.messages import VoteRequest
from gentianhitch.decisions.targets.placement import stewards
from gentianhitch.decisions.targets.reports import ReportPool
from gentianhitch.decisions.targets.reports import scope_of
from gentianhitch.decisions.targets.reports import score_of
from gentianhitch.decisions.targets.scopes import Scope
from gentianhitch.instances.identity import InstanceId
from gentianhitch.instances.identity import Member

CONFIRMED_S = 2.0

Send = Callable[[Member, object], None]


@attrs.frozen
class Setting:
    """What the agreed states say about one service.

    ``steward_sets`` holds the stewards of each active state, oldest first; the
    last one also gives the order of preference. ``near`` are the instances to which
    callers of the service are steered.
    """

    steward_sets: tuple[dict[InstanceId, Member], ...]
    slots_by_target: dict[str, int]
    floor_slots: int
    near: frozenset[InstanceId]

    @property
    def preferred(self) -> list[InstanceId]:
        """Return the newest stewards, first choice first."""
        return list(self.steward_sets[-1]) if self.steward_sets else []

    def everyone(self) -> dict[InstanceId, Member]:
        """Return the stewards of all active states."""
        return {
            name: m for stewards_ in self.steward_sets for name, m in stewards_.items()
        }


def setting_of(
    service: str, states: tuple[AgreedState, ...], near: tuple[Member, ...]
) -> Setting:
    """Derive the setting of a service: least slots, highest floor, all stewards."""
    with_document = [state for state in states if state.document is not None]
    floors = [
        declared.floor_slots
        for state in with_document
        if state.document is not None
        for declared in state.document.services
        if declared.name == service
    ]
    return Setting(
        tuple(_stewards_in(service, state) for state in states),
        _least_slots(service, with_document),
        max(floors, default=0),
        frozenset(member.id for member in near),
    )


def _stewards_in(service: str, state: AgreedState) -> dict[InstanceId, Member]:
    chosen = stewards(service, state.members_by_name.values())
    return {member.id: member for member in chosen}


def _least_slots(service: str, states: list[AgreedState]) -> dict[str, int]:
    slots_by_state = [
        {
            t.name: t.slots
            for t in state.document.backend_servers
            if t.service == service
        }
        for state in states
        if state.document is not None
    ]
    if not slots_by_state:
        return {}
    return {
        name: min(slots.get(name, newest) for slots in slots_by_state)
        for name, newest in slots_by_state[-1].items()
    }


class Steward:
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
        self._ledger = Ledger()
        self._reporters_by_id: dict[InstanceId, tuple[Member, int, float]] = {}
        self._confirmed_by_steward: dict[
            InstanceId, tuple[float, frozenset[Scope]]
        ] = {}
        self._votes_by_candidate: dict[InstanceId, tuple[Member, int]] = {}
        self._gray: dict[Scope, float] = {}
        self._leading_since: float | None = None
        self._serial = 0

    def on_report(
        self, sender: Member, report: EvidenceReport, setting: Setting, now: float
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
        if self.may_grant(now):
            self._grant_to(sender, report.number, now)

    def on_request(
        self, sender: Member, request: VoteRequest, setting: Setting, now: float
    ) -> None:
        """Vote for a candidate, or not."""
        self._refresh(setting, now)
        if self._voter.asked(sender.id, request, setting.preferred, now):
            self._votes_by_candidate = {sender.id: (sender, request.number)}
            self._judge(setting, now)
            self._vote(sender, request.number)

    def on_vote(
        self, sender: InstanceId, vote: Vote, setting: Setting, now: float
    ) -> None:
        """Count a vote and keep what its sender confirms."""
        self._refresh(setting, now)
        self._candidacy.voted(sender, vote.number)
        scopes = frozenset(scope_of(score) for score in vote.gray)
        self._confirmed_by_steward[sender] = (now, scopes)
        self._refresh(setting, now)
        self._decide(setting, now)

    def tick(self, setting: Setting, now: float) -> None:
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
        return EJECTION_S

    def _refresh(self, setting: Setting, now: float) -> None:
        if not self._candidacy.has_majorities(setting.steward_sets, now):
            self._leading_since = None
        elif self._leading_since is None:
            self._leading_since = now
            self._ledger = Ledger()

    def _should_ask(self, setting: Setting, now: float) -> bool:
        if self._me not in setting.preferred:
            return False
        if self._leading_since is not None:
            return True
        if self._voter.hears_leader(self._me, now):
            return False
        return not self._voter.hears_better(self._me, setting.preferred, now)

    def _judge(self, setting: Setting, now: float) -> None:
        self._gray = self._pool.gray(len(setting.near), now)

    def _confirm(self, setting: Setting, now: float) -> None:
        for candidate, number in self._votes_by_candidate.values():
            self._vote(candidate, number)

    def _vote(self, candidate: Member, number: int) -> None:
        ranked = sorted(self._gray.items(), key=lambda item: -item[1])[:MAX_SCORES]
        gray = tuple(score_of(scope, pooled) for scope, pooled in ranked)
        self._send(candidate, Vote(self._service, number, gray))

    def _decide(self, setting: Setting, now: float) -> None:
        if not self.may_grant(now):
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

    def _capacity(self, setting: Setting, now: float) -> Capacity:
        return Capacity(
            setting.slots_by_target, setting.floor_slots, self._pool.absent(now)
        )

    def _confirmed(self, setting: Setting, now: float) -> list[Scope]:
        """Return what most stewards of every set judge gray, worst first."""
        recent = {
            steward: scopes
            for steward, (at, scopes) in self._confirmed_by_steward.items()
            if now - at <= CONFIRMED_S
        }
        candidates = {scope for scopes in recent.values() for scope in scopes}
        confirmed = [
            scope
            for scope in candidates
            if all(
                sum(scope in recent.get(name, ()) for name in stewards_) * 2
                > len(stewards_)
                for stewards_ in setting.steward_sets
            )
        ]
        return sorted(
            confirmed, key=lambda scope: (-self._gray.get(scope, 0.0), str(scope))
        )

    def _grant_to_all(self, now: float) -> None:
        self._reporters_by_id = {
            name: known
            for name, known in self._reporters_by_id.items()
            if now - known[2] <= EJECTION_S
        }
        for member, number, _ in self._reporters_by_id.values():
            self._grant_to(member, number, now)

    def _grant_to(self, member: Member, number: int, now: float) -> None:
        self._serial += 1
        ejections = tuple(
            Ejection(scope.target, scope.route, scope.workspace, round(weight, 3))
            for scope, weight in self._ledger.grant(now).items()
        )
        leaving = self._pool.leaving(now)
        self._send(
            member,
            EjectionGrants(self._service, number, self._serial, ejections, leaving),
        )
