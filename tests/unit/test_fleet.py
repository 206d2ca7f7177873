from __future__ import annotations

import attrs
import pytest

from gentianhitch.decisions.freshness import WINDOW_S
from gentianhitch.soak.network import ANY
from gentianhitch.soak.operating import listed
from tests.builders_fleet import FleetWorld

FORMATION_S = 8.0
CUT_DELAY_S = 0.5
"""Covers messages in transit when a cut begins, and the last simulation step."""


@pytest.fixture
def world() -> FleetWorld:
    world = FleetWorld(5)
    world.advance(FORMATION_S)
    assert world.fresh_names() == world.names()
    return world


class TestFleet:
    def test_all_stay_fresh_in_an_outage_of_the_platform(
        self, world: FleetWorld
    ) -> None:
        world.store.outage = True
        for _ in range(60):
            world.advance(1.0)
            assert world.fresh_names() == world.names()

    def test_replaces_every_instance_in_an_outage(self, world: FleetWorld) -> None:
        world.store.outage = True
        for number in range(5):
            world.replace(number)
            world.advance(4.0)
            assert world.fresh_names() == world.names()
        assert {p.member.id.incarnation for p in world.processes} == {2}

    def test_instance_that_receives_nothing_becomes_stale(
        self, world: FleetWorld
    ) -> None:
        process = world.processes[0]
        world.network.cut(ANY, process.member.peers)
        process.platform.replies_lost = True
        world.advance(WINDOW_S + CUT_DELAY_S)
        assert world.fresh_names() == world.names() - {process.member.id.name}

    def test_changes_spread_if_most_get_no_platform_replies(
        self, world: FleetWorld
    ) -> None:
        for process in world.processes[:4]:
            process.platform.replies_lost = True
        for revision in range(3):
            sequence = world.promote(revision)
            world.advance(8.0)
            assert world.fresh_names() == world.names()
            assert world.sequences() == {sequence}

    def test_only_the_majority_side_of_a_partition_stays_fresh(
        self, world: FleetWorld
    ) -> None:
        world.cut(range(2), range(2, 5))
        for process in world.processes[:2]:
            process.platform.requests_lost = True
        world.advance(WINDOW_S + CUT_DELAY_S)
        names = {process.member.id.name for process in world.processes[2:]}
        assert world.fresh_names() == names
        world.promote(1)
        world.advance(8.0)
        assert world.fresh_names() == names
        assert set(world.processes[4].fleet.members) == names
        world.network.heal_all()
        world.advance(12.0)
        assert world.fresh_names() == world.names()
        assert set(world.processes[0].fleet.members) == world.names()

    def test_minority_side_stays_fresh_by_platform_reads(
        self, world: FleetWorld
    ) -> None:
        world.cut(range(2), range(2, 5))
        world.advance(WINDOW_S + CUT_DELAY_S)
        assert world.fresh_names() == world.names()

    def test_instance_resumed_after_minutes_is_not_fresh_on_old_state(
        self, world: FleetWorld
    ) -> None:
        process = world.processes[0]
        process.pause()
        world.advance(180.0)
        sequence = world.promote(1)
        world.advance(4.0)
        assert not process.fleet.is_fresh(world.now)
        process.resume()
        assert process.fleet.freshness.sequence >= sequence or (
            not process.fleet.is_fresh(world.now)
        )
        world.advance(12.0)
        assert world.fresh_names() == world.names()

    def test_keeps_a_live_instance_missing_from_the_listing(
        self, world: FleetWorld
    ) -> None:
        world.store.listed = world.store.listed[1:]
        world.advance(30.0)
        assert world.fresh_names() == world.names()
        assert set(world.processes[1].fleet.members) == world.names()

    def test_killed_instance_leaves_list_and_directory(self, world: FleetWorld) -> None:
        process = world.processes.pop()
        process.kill()
        other = world.processes[0].fleet
        world.advance(4.0)
        assert process.member not in other.live_members(world.now)
        world.advance(8.0)
        assert set(other.members) == world.names()

    def test_leaving_and_gray_instances_are_not_live_at_once(
        self, world: FleetWorld
    ) -> None:
        world.processes[0].fleet.begin_leaving()
        world.processes[1].fleet.report_gray(True)
        world.advance(0.1)
        for process in world.processes:
            live = {m.id.name for m in process.fleet.live_members(world.now)}
            assert live == world.names() - {"entry-000", "entry-001"}
        world.processes[1].fleet.report_gray(False)
        world.advance(0.1)
        assert len(world.processes[2].fleet.live_members(world.now)) == 4

    def test_new_instance_joins(self, world: FleetWorld) -> None:
        process = world.start_number(5)
        world.store.listed += (listed(process.member),)
        world.advance(12.0)
        assert set(world.processes[0].fleet.members) == world.names()
        assert world.fresh_names() == world.names()

    def test_unlisted_instance_is_not_added(self, world: FleetWorld) -> None:
        unlisted = world.start_number(6)
        world.advance(12.0)
        assert unlisted.member.id.name not in world.processes[0].fleet.members

    def test_recovers_after_a_majority_is_replaced_at_once(
        self, world: FleetWorld
    ) -> None:
        for number in range(4):
            world.replace(number)
        world.advance(25.0)
        assert world.fresh_names() == world.names()
        members = world.processes[0].fleet.members.values()
        assert sorted(m.id.incarnation for m in members) == [1, 2, 2, 2, 2]

    def test_relays_a_document_above_a_megabyte(self, world: FleetWorld) -> None:
        for process in world.processes[1:]:
            process.platform.requests_lost = True
        data = b"".join(b"line %d of a large document\n" % n for n in range(60_000))
        assert len(data) > 1_500_000
        sequence = world.promote(1, data)
        world.advance(8.0)
        for process in world.processes:
            newest = process.fleet.active(world.now)[-1]
            assert newest.sequence == sequence
            assert newest.document is not None
            assert newest.document.environment == data.decode()

    def test_loading_old_heads_keeps_the_newest_sequence(
        self, world: FleetWorld
    ) -> None:
        process = world.processes[0]
        old = dict(process.fleet._states._relay.values_by_sequence)
        sequence = world.promote(1)
        world.advance(6.0)
        for value in old.values():
            world.run(process.fleet.load_head(value))
        assert process.fleet.freshness.sequence == sequence

    def test_restarted_instance_is_live_only_once_it_is_fresh(
        self, world: FleetWorld
    ) -> None:
        world.processes[0].fleet.begin_leaving()
        world.advance(1.0)
        world.replace(0)
        restarted = world.processes[-1]
        was_fresh = False
        for _ in range(round(6.0 / world.STEP_S)):
            world.advance(world.STEP_S)
            was_fresh = was_fresh or restarted.fleet.is_fresh(world.now)
            for process in world.processes[:-1]:
                is_live = restarted.member in process.fleet.live_members(world.now)
                assert was_fresh or not is_live
        assert all(
            restarted.member in process.fleet.live_members(world.now)
            for process in world.processes
        )

    def test_replacement_is_live_only_once_it_is_fresh(self) -> None:
        # Guards against a directory that sends callers to a restarted instance while it
        # still refuses every request.
        world = FleetWorld(3)
        world.advance(8.0)
        old = world.processes[0]
        old.kill()
        replacement = attrs.evolve(
            old.member, id=attrs.evolve(old.member.id, incarnation=2)
        )
        world.processes[0] = world.start(replacement)
        live_before_fresh = 0
        for _ in range(200):
            world.advance(0.02)
            fresh = world.processes[0].fleet.is_fresh(world.now)
            live_before_fresh += not fresh and any(
                replacement in process.fleet.live_members(world.now)
                for process in world.processes
            )
        assert fresh
        assert live_before_fresh == 0

    def test_change_is_in_force_within_4_s_with_all_watchers_cut_off(self) -> None:
        world = FleetWorld(9)
        world.advance(FORMATION_S)
        watchers = world.processes[0].fleet.freshness.current.watch_order[:3]
        for process in world.processes:
            if process.member.id.name in watchers:
                process.platform.replies_lost = True
        world.advance(20.0)
        for revision in range(5):
            sequence = world.promote(revision)
            world.advance(4.0)
            for process in world.processes:
                assert process.fleet.freshness.oldest_active(world.now) >= sequence
            world.advance(3.3)

    def test_replacement_does_not_inherit_the_leaving_standing(self) -> None:
        # Guards against relaying a standing by name alone: the leaving standing of the
        # old incarnation then hid the new one.
        world = FleetWorld(3)
        world.advance(8.0)
        old = world.processes[0]
        old.fleet.begin_leaving()
        world.advance(2.0)
        old.kill()
        replacement = attrs.evolve(
            old.member, id=attrs.evolve(old.member.id, incarnation=2)
        )
        world.processes[0] = world.start(replacement)
        world.advance(8.0)
        for process in world.processes:
            assert replacement in process.fleet.live_members(world.now)
