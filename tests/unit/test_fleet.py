from __future__ import annotations

import attrs

from tests.builders_fleet import FleetWorld


class TestFleet:
    def test_three_instances_agree_and_outlast_an_outage(self) -> None:
        world = FleetWorld(3)
        world.advance(8.0)
        assert world.fresh_names() == world.names()
        assert {len(p.fleet.members) for p in world.processes} == {3}
        world.store.outage = True
        world.advance(60.0)
        assert world.fresh_names() == world.names()

    def test_replacement_does_not_inherit_that_its_predecessor_left(self) -> None:
        # Peers passed the standing on by name: it hid the next incarnation.
        world = FleetWorld(3)
        world.advance(8.0)
        old = world.processes[0]
        old.fleet.begin_leaving()
        world.advance(2.0)
        old.kill()
        replaced = attrs.evolve(
            old.member, id=attrs.evolve(old.member.id, incarnation=2)
        )
        world.processes[0] = world.start(replaced)
        world.advance(8.0)
        for process in world.processes:
            assert replaced in process.fleet.live_members(world.now)
