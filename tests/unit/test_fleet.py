from __future__ import annotations

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
