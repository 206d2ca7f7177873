from __future__ import annotations

from twisted.internet.task import Clock

from standins.platform_store import Store


class Scenario:
    """A store with two versions of one key, of which a copy has the first."""

    def __init__(self) -> None:
        self.clock = Clock()
        self.store = Store(self.clock.seconds)
        self.store.put("op/config", "1", 0, None)
        self.copy = self.store.copy()
        self.store.put("op/config", "2", 1, None)
        self.store.put("servers/a", "new", 0, None)

    def value(self, key: str) -> str | None:
        record = self.store.get(key)
        return None if record is None else record.value


class TestReturn:
    def test_gives_revisions_out_again(self) -> None:
        scenario = Scenario()
        scenario.store.return_from(scenario.copy, 0.0)
        assert (scenario.store.era, scenario.store.revision) == (1, 1)
        assert scenario.value("op/config") == "1"
        assert scenario.store.put("op/config", "3", 1, None).revision == 2

    def test_what_was_lost_is_written_again(self) -> None:
        scenario = Scenario()
        lost = scenario.store.return_from(scenario.copy, 0.0)
        scenario.store.write_again(lost)
        assert scenario.value("op/config") == "2"
        assert scenario.value("servers/a") == "new"

    def test_a_write_since_the_return_stays(self) -> None:
        scenario = Scenario()
        lost = scenario.store.return_from(scenario.copy, 0.0)
        scenario.store.put("op/config", "3", 1, None)
        scenario.store.write_again(lost)
        assert scenario.value("op/config") == "3"

    def test_leases_go_on_after_a_pause(self) -> None:
        scenario = Scenario()
        lease = scenario.store.grant(3.0)
        copy = scenario.store.copy()
        scenario.clock.advance(4.0)
        scenario.store.return_from(copy, 4.0)
        scenario.store.renew(lease)
