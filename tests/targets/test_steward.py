from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from contextlib import suppress
from functools import partial

import attrs
import pytest

from gentianhitch.decisions.targets.ejection_config import EjectionConfig
from gentianhitch.decisions.targets.ejection_coordinator import EjectionCoordinator
from gentianhitch.decisions.targets.ejection_table import BASE_EJECTION_TIME_S
from gentianhitch.decisions.targets.ejection_table import EJECTION_LEASE_S
from gentianhitch.decisions.targets.ejection_table import MAX_EJECTION_TIME_S
from gentianhitch.decisions.targets.ejection_table import SLOW_START_S
from gentianhitch.decisions.targets.ejection_table import Capacity
from gentianhitch.decisions.targets.ejection_table import EjectionTable
from gentianhitch.decisions.targets.ejection_table import FloorError
from gentianhitch.decisions.targets.messages import Vote
from gentianhitch.decisions.targets.messages import VoteRequest
from gentianhitch.decisions.targets.scopes import Scope
from gentianhitch.instances.identity import InstanceId
from gentianhitch.instances.identity import Member
from tests.builders_targets import member
from tests.targets.naive import ForgetfulSteward
from tests.targets.naive import HastySteward

STEP_S = 0.25
SLOTS = {f"t{index}": 6 for index in range(6)}
CAPACITY = Capacity(SLOTS, 24, frozenset())


class Stewards:
    """Stewards that reach each other at once, each with its own setting."""

    def __init__(
        self, count: int, kind: type[EjectionCoordinator] = EjectionCoordinator
    ) -> None:
        self.now = 0.0
        self.kind = kind
        self.members = [member(index) for index in range(count)]
        self.grants: list[tuple[float, InstanceId, Member, object]] = []
        self.stewards_by_id = {m.id: self.start(m) for m in self.members}
        self.settings_by_id: dict[InstanceId, EjectionConfig] = {}
        self.cut: Callable[[Member, Member], bool] = lambda _, __: False

    def start(self, m: Member) -> EjectionCoordinator:
        return self.kind("stock", m.id, partial(self.send, m), Counter(), self.now)

    def restart(self, *indexes: int) -> None:
        for index in indexes:
            m = self.members[index]
            self.stewards_by_id[m.id] = self.start(m)

    def setting(self, *sets: range) -> EjectionConfig:
        coordinator_sets = tuple(
            {self.members[i].id: self.members[i] for i in s} for s in sets
        )
        return EjectionConfig(coordinator_sets, SLOTS, 24, frozenset())

    def send(self, sender: Member, to: Member, body: object) -> None:
        if self.cut(sender, to):
            return
        steward, setting = self.stewards_by_id[to.id], self.settings_by_id[to.id]
        if isinstance(body, VoteRequest):
            steward.on_request(sender, body, setting, self.now)
        elif isinstance(body, Vote):
            steward.on_vote(sender.id, body, setting, self.now)
        else:
            self.grants.append((self.now, sender.id, to, body))

    def run(self, seconds: float) -> int:
        """Let time pass; return how many led at once at most."""
        most = 0
        end = self.now + seconds
        while self.now < end:
            self.now += STEP_S
            for steward_id, setting in self.settings_by_id.items():
                self.stewards_by_id[steward_id].tick(setting, self.now)
            most = max(most, len(self.leaders()))
        return most

    def leaders(self) -> list[InstanceId]:
        return [i for i, s in self.stewards_by_id.items() if s.may_grant(self.now)]

    def use(self, setting: EjectionConfig, *indexes: int) -> None:
        for index in indexes:
            self.settings_by_id[self.members[index].id] = setting


class TestElection:
    def test_first_choice_leads_after_waiting_for_older_ejections(self) -> None:
        stewards = Stewards(5)
        stewards.use(stewards.setting(range(5)), *range(5))
        stewards.run(EJECTION_LEASE_S + 2.0)
        assert stewards.leaders() == []
        stewards.run(2.0)
        assert stewards.leaders() == [stewards.members[0].id]

    def test_candidate_that_hears_no_votes_is_passed_over(self) -> None:
        stewards = Stewards(5)
        stewards.use(stewards.setting(range(5)), *range(5))
        stewards.cut = lambda _, to: to is stewards.members[0]
        stewards.run(40.0)
        assert stewards.leaders() == [stewards.members[1].id]

    def test_minority_elects_nobody(self) -> None:
        stewards = Stewards(5)
        stewards.use(stewards.setting(range(5)), *range(5))
        near = stewards.members[:2]
        stewards.cut = lambda sender, to: (sender in near) != (to in near)
        assert stewards.run(60.0) == 1
        assert stewards.leaders()[0] not in [m.id for m in near]

    @pytest.mark.parametrize(
        ("sets_of_new", "leaders"),
        [
            pytest.param((range(5), range(5, 10)), 1, id="both sets grant"),
            pytest.param((range(5, 10),), 2, id="naive: newest set alone"),
        ],
    )
    def test_leaders_at_once_while_the_list_changes(
        self, sets_of_new: tuple[range, ...], leaders: int
    ) -> None:
        stewards = Stewards(10)
        stewards.use(stewards.setting(range(5)), *range(10))
        stewards.run(12.0)
        stewards.use(stewards.setting(*sets_of_new), *range(5, 10))
        assert stewards.run(30.0) == leaders

    @pytest.mark.parametrize(
        ("kind", "restarts", "holds"),
        [
            pytest.param(EjectionCoordinator, False, True, id="leader lost"),
            pytest.param(EjectionCoordinator, True, True, id="voters restarted"),
            pytest.param(HastySteward, False, False, id="naive: grants at once"),
            pytest.param(ForgetfulSteward, True, False, id="naive: votes at once"),
        ],
    )
    def test_new_leader_grants_after_the_last_lease_of_the_old_one(
        self, kind: type[EjectionCoordinator], restarts: bool, holds: bool
    ) -> None:
        stewards = Stewards(5, kind)
        stewards.use(stewards.setting(range(5)), *range(5))
        stewards.run(12.0)
        old, new = stewards.members[:2]
        assert stewards.leaders() == [old.id]
        stewards.cut = lambda sender, to: (sender is old) != (to is old)
        if restarts:
            stewards.restart(1, 2, 3, 4)
        last_grant = first_grant = 0.0
        while not first_grant:
            stewards.run(STEP_S)
            if old.id in stewards.leaders():
                last_grant = stewards.now
            if new.id in stewards.leaders():
                first_grant = stewards.now
        assert (first_grant >= last_grant + EJECTION_LEASE_S) is holds

    def test_new_list_in_force_moves_the_lead(self) -> None:
        stewards = Stewards(10)
        stewards.use(stewards.setting(range(5)), *range(10))
        stewards.run(12.0)
        stewards.use(stewards.setting(range(5, 10)), *range(10))
        assert stewards.run(30.0) == 1
        assert stewards.leaders() == [stewards.members[5].id]


class MajorityOfLedgers:
    """Eject what most of five ledgers grant (the naive way)."""

    def __init__(self) -> None:
        self.ledgers = [EjectionTable() for _ in range(5)]

    def eject(self, target: str, asked: tuple[int, ...]) -> bool:
        granted = 0
        for index in asked:
            with suppress(FloorError):
                granted += self.ledgers[index].eject(Scope(target), CAPACITY, 0.0)
        return granted * 2 > len(self.ledgers)


class TestLedger:
    def test_majorities_that_meet_in_pairs_do_not_hold_the_floor(self) -> None:
        naive = MajorityOfLedgers()
        asked_by_target = {"t0": (0, 1, 2), "t1": (0, 3, 4), "t2": (1, 3, 4)}
        ejected = [t for t, asked in asked_by_target.items() if naive.eject(t, asked)]
        assert CAPACITY.left_without(ejected) < CAPACITY.floor_slots

    def test_one_ledger_refuses_at_the_floor_until_the_lease_ends(self) -> None:
        ledger = EjectionTable()
        for target in ("t0", "t1"):
            assert ledger.eject(Scope(target), CAPACITY, 0.0)
        ledger.grant(0.0)
        with pytest.raises(FloorError):
            ledger.eject(Scope("t2"), CAPACITY, 0.0)
        assert ledger.release_due((), BASE_EJECTION_TIME_S)
        with pytest.raises(FloorError):
            ledger.eject(Scope("t2"), CAPACITY, EJECTION_LEASE_S - 0.1)

    def test_leaving_target_takes_its_part_of_the_room(self) -> None:
        ledger = EjectionTable()
        ledger.eject(Scope("t0"), CAPACITY, 0.0)
        ledger.eject(Scope("t1"), CAPACITY, 1.0)
        smaller = attrs.evolve(CAPACITY, absent=frozenset({"t5"}))
        assert ledger.keep_floor(smaller, 2.0) == [Scope("t1")]

    def test_target_that_flaps_stays_out_longer_each_time_up_to_a_bound(self) -> None:
        ledger = EjectionTable()
        now = 0.0
        stays = []
        for _ in range(10):
            ledger.eject(Scope("t0"), CAPACITY, now)
            start = now
            while not ledger.release_due((), now):
                now += 1.0
            stays.append(now - start)
        assert stays[:3] == [
            BASE_EJECTION_TIME_S,
            BASE_EJECTION_TIME_S * 2,
            BASE_EJECTION_TIME_S * 4,
        ]
        assert stays[-1] == MAX_EJECTION_TIME_S

    def test_return_is_gradual(self) -> None:
        ledger = EjectionTable()
        ledger.eject(Scope("t0"), CAPACITY, 0.0)
        assert ledger.grant(0.0) == {Scope("t0"): 0.0}
        ledger.release_due((), BASE_EJECTION_TIME_S)
        later = BASE_EJECTION_TIME_S + SLOW_START_S / 2
        assert ledger.grant(later) == {Scope("t0"): pytest.approx(0.5)}
        assert ledger.grant(BASE_EJECTION_TIME_S + SLOW_START_S) == {}
