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
from tests.targets.naive import ImmediateCoordinator
from tests.targets.naive import ImmediateVoter

STEP_S = 0.25
SLOTS = {f"t{index}": 6 for index in range(6)}
CAPACITY = Capacity(SLOTS, 24, frozenset())


class CoordinatorGroup:
    """Coordinators with instant message delivery, each with its own config."""

    def __init__(
        self, count: int, kind: type[EjectionCoordinator] = EjectionCoordinator
    ) -> None:
        self.now = 0.0
        self.kind = kind
        self.members = [member(index) for index in range(count)]
        self.grants: list[tuple[float, InstanceId, Member, object]] = []
        self.coordinators_by_id = {m.id: self.start(m) for m in self.members}
        self.configs_by_id: dict[InstanceId, EjectionConfig] = {}
        self.cut: Callable[[Member, Member], bool] = lambda _, __: False

    def start(self, m: Member) -> EjectionCoordinator:
        return self.kind("stock", m.id, partial(self.send, m), Counter(), self.now)

    def restart(self, *indexes: int) -> None:
        for index in indexes:
            m = self.members[index]
            self.coordinators_by_id[m.id] = self.start(m)

    def config(self, *sets: range) -> EjectionConfig:
        coordinator_sets = tuple(
            {self.members[i].id: self.members[i] for i in s} for s in sets
        )
        return EjectionConfig(coordinator_sets, SLOTS, 24, frozenset())

    def send(self, sender: Member, to: Member, body: object) -> None:
        if self.cut(sender, to):
            return
        coordinator, config = self.coordinators_by_id[to.id], self.configs_by_id[to.id]
        if isinstance(body, VoteRequest):
            coordinator.on_vote_request(sender, body, config, self.now)
        elif isinstance(body, Vote):
            coordinator.on_vote(sender.id, body, config, self.now)
        else:
            self.grants.append((self.now, sender.id, to, body))

    def run(self, seconds: float) -> int:
        """Advance the time; return the most leaders there were at once."""
        max_leaders = 0
        end = self.now + seconds
        while self.now < end:
            self.now += STEP_S
            for coordinator_id, config in self.configs_by_id.items():
                self.coordinators_by_id[coordinator_id].tick(config, self.now)
            max_leaders = max(max_leaders, len(self.leaders()))
        return max_leaders

    def leaders(self) -> list[InstanceId]:
        return [i for i, c in self.coordinators_by_id.items() if c.may_grant(self.now)]

    def use(self, config: EjectionConfig, *indexes: int) -> None:
        for index in indexes:
            self.configs_by_id[self.members[index].id] = config


class TestElection:
    def test_first_coordinator_leads_after_one_ejection_lease(self) -> None:
        coordinators = CoordinatorGroup(5)
        coordinators.use(coordinators.config(range(5)), *range(5))
        coordinators.run(EJECTION_LEASE_S + 2.0)
        assert coordinators.leaders() == []
        coordinators.run(2.0)
        assert coordinators.leaders() == [coordinators.members[0].id]

    def test_candidate_that_receives_no_votes_does_not_block_the_next(self) -> None:
        coordinators = CoordinatorGroup(5)
        coordinators.use(coordinators.config(range(5)), *range(5))
        coordinators.cut = lambda _, to: to is coordinators.members[0]
        coordinators.run(40.0)
        assert coordinators.leaders() == [coordinators.members[1].id]

    def test_minority_elects_nobody(self) -> None:
        coordinators = CoordinatorGroup(5)
        coordinators.use(coordinators.config(range(5)), *range(5))
        minority = coordinators.members[:2]
        coordinators.cut = lambda sender, to: (sender in minority) != (to in minority)
        assert coordinators.run(60.0) == 1
        assert coordinators.leaders()[0] not in [m.id for m in minority]

    @pytest.mark.parametrize(
        ("new_sets", "leaders"),
        [
            pytest.param((range(5), range(5, 10)), 1, id="both sets grant"),
            pytest.param((range(5, 10),), 2, id="naive: newest set alone"),
        ],
    )
    def test_leaders_at_once_while_the_instance_list_changes(
        self, new_sets: tuple[range, ...], leaders: int
    ) -> None:
        coordinators = CoordinatorGroup(10)
        coordinators.use(coordinators.config(range(5)), *range(10))
        coordinators.run(12.0)
        coordinators.use(coordinators.config(*new_sets), *range(5, 10))
        assert coordinators.run(30.0) == leaders

    @pytest.mark.parametrize(
        ("kind", "restarts", "holds"),
        [
            pytest.param(EjectionCoordinator, False, True, id="leader lost"),
            pytest.param(EjectionCoordinator, True, True, id="voters restarted"),
            pytest.param(
                ImmediateCoordinator, False, False, id="naive: grants at once"
            ),
            pytest.param(ImmediateVoter, True, False, id="naive: votes at once"),
        ],
    )
    def test_new_leader_grants_after_the_last_lease_of_the_old_one(
        self, kind: type[EjectionCoordinator], restarts: bool, holds: bool
    ) -> None:
        coordinators = CoordinatorGroup(5, kind)
        coordinators.use(coordinators.config(range(5)), *range(5))
        coordinators.run(12.0)
        old, new = coordinators.members[:2]
        assert coordinators.leaders() == [old.id]
        coordinators.cut = lambda sender, to: (sender is old) != (to is old)
        if restarts:
            coordinators.restart(1, 2, 3, 4)
        last_grant_s = first_grant_s = 0.0
        while not first_grant_s:
            coordinators.run(STEP_S)
            if old.id in coordinators.leaders():
                last_grant_s = coordinators.now
            if new.id in coordinators.leaders():
                first_grant_s = coordinators.now
        assert (first_grant_s >= last_grant_s + EJECTION_LEASE_S) is holds

    def test_leader_moves_to_the_new_list_once_it_is_in_force(self) -> None:
        coordinators = CoordinatorGroup(10)
        coordinators.use(coordinators.config(range(5)), *range(10))
        coordinators.run(12.0)
        coordinators.use(coordinators.config(range(5, 10)), *range(10))
        assert coordinators.run(30.0) == 1
        assert coordinators.leaders() == [coordinators.members[5].id]


class MajorityOfTables:
    """Naive: eject what a majority of five tables grants, without a leader."""

    def __init__(self) -> None:
        self.tables = [EjectionTable() for _ in range(5)]

    def eject(self, target: str, indexes: tuple[int, ...]) -> bool:
        granted = 0
        for index in indexes:
            with suppress(FloorError):
                granted += self.tables[index].eject(Scope(target), CAPACITY, 0.0)
        return granted * 2 > len(self.tables)


class TestEjectionTable:
    def test_majority_of_tables_does_not_keep_the_floor(self) -> None:
        naive = MajorityOfTables()
        tables_by_target = {"t0": (0, 1, 2), "t1": (0, 3, 4), "t2": (1, 3, 4)}
        ejected = [
            t for t, indexes in tables_by_target.items() if naive.eject(t, indexes)
        ]
        assert CAPACITY.slots_without(ejected) < CAPACITY.floor_slots

    def test_ejection_at_the_floor_is_refused_until_the_lease_expires(self) -> None:
        table = EjectionTable()
        for target in ("t0", "t1"):
            assert table.eject(Scope(target), CAPACITY, 0.0)
        table.grant_weights(0.0)
        with pytest.raises(FloorError):
            table.eject(Scope("t2"), CAPACITY, 0.0)
        assert table.release_due((), BASE_EJECTION_TIME_S)
        with pytest.raises(FloorError):
            table.eject(Scope("t2"), CAPACITY, EJECTION_LEASE_S - 0.1)

    def test_leaving_target_releases_the_latest_ejection_at_the_floor(self) -> None:
        table = EjectionTable()
        table.eject(Scope("t0"), CAPACITY, 0.0)
        table.eject(Scope("t1"), CAPACITY, 1.0)
        smaller = attrs.evolve(CAPACITY, absent=frozenset({"t5"}))
        assert table.restore_floor(smaller, 2.0) == [Scope("t1")]

    def test_ejection_time_doubles_up_to_a_bound_for_a_flapping_target(self) -> None:
        table = EjectionTable()
        now = 0.0
        ejection_times_s = []
        for _ in range(10):
            table.eject(Scope("t0"), CAPACITY, now)
            start = now
            while not table.release_due((), now):
                now += 1.0
            ejection_times_s.append(now - start)
        assert ejection_times_s[:3] == [
            BASE_EJECTION_TIME_S,
            BASE_EJECTION_TIME_S * 2,
            BASE_EJECTION_TIME_S * 4,
        ]
        assert ejection_times_s[-1] == MAX_EJECTION_TIME_S

    def test_released_target_returns_by_slow_start(self) -> None:
        table = EjectionTable()
        table.eject(Scope("t0"), CAPACITY, 0.0)
        assert table.grant_weights(0.0) == {Scope("t0"): 0.0}
        table.release_due((), BASE_EJECTION_TIME_S)
        later = BASE_EJECTION_TIME_S + SLOW_START_S / 2
        assert table.grant_weights(later) == {Scope("t0"): pytest.approx(0.5)}
        assert table.grant_weights(BASE_EJECTION_TIME_S + SLOW_START_S) == {}
