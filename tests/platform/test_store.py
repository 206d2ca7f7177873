from __future__ import annotations

import pytest
from twisted.internet import reactor

from gentianhitch.addresses import Address
from gentianhitch.platform.interface import OutcomeUnknownError
from gentianhitch.platform.interface import UnavailableError
from gentianhitch.platform.store import KeyValueStore
from gentianhitch.platform.store import LeaseEndedError
from standins import key_value_store
from standins import platform_store
from standins import serving
from standins import store_calls
from tests.builders_proxy import at
from tests.running import run_on_reactor


class Scenario:
    """A client connected to a store stand-in over loopback."""

    def __init__(self) -> None:
        self.server = key_value_store.KeyValueStore(
            platform_store.Store(serving.seconds)
        )
        address = Address.parse(serving.listen(self.server.app, 0))
        self.eras: list[int] = []
        self.client = KeyValueStore(reactor, address, self.eras.append)


class TestRange:
    def test_reads_every_item_under_the_prefix(self) -> None:
        scenario = Scenario()
        scenario.server.write("servers/a", b"1")
        scenario.server.write("op/config", b"2")

        async def read() -> dict[str, bytes]:
            page = await scenario.client.read_range("")
            return {item.key: item.value for item in page.items}

        expected = {"servers/a": b"1", "op/config": b"2"}
        assert run_on_reactor(read()) == expected

    def test_reads_all_pages(self) -> None:
        scenario = Scenario()
        for number in range(store_calls.PAGE_ITEMS + 10):
            scenario.server.write(f"servers/{number:04}", b"x")

        async def read() -> int:
            return len((await scenario.client.read_range("servers/")).items)

        assert run_on_reactor(read()) == store_calls.PAGE_ITEMS + 10

    @pytest.mark.parametrize("outage", ["busy", "many"])
    def test_error_status_means_nothing_changed(self, outage: str) -> None:
        scenario = Scenario()
        scenario.server.faults.outage = outage  # type: ignore[assignment]

        async def read() -> None:
            with pytest.raises(UnavailableError, match="status"):
                await scenario.client.read_range("")

        run_on_reactor(read())

    @pytest.mark.parametrize("outage", ["reset", "silent"])
    def test_call_without_a_response_times_out(self, outage: str) -> None:
        scenario = Scenario()
        scenario.server.faults.outage = outage  # type: ignore[assignment]

        async def read() -> None:
            with pytest.raises(OutcomeUnknownError):
                await scenario.client.read_range("")

        run_on_reactor(read())


class TestItems:
    def test_reads_only_keys_after_the_given_one(self) -> None:
        scenario = Scenario()
        for key in ("op/config", "peers/e-1", "servers/a"):
            scenario.server.write(key, b"1")

        async def read() -> list[str]:
            page = await scenario.client.read_range("", "op/config")
            return [item.key for item in page.items]

        assert run_on_reactor(read()) == ["peers/e-1", "servers/a"]

    def test_reads_one_item(self) -> None:
        scenario = Scenario()
        scenario.server.write("op/config", b"2")

        async def read() -> tuple[bytes, object]:
            item = await scenario.client.read("op/config")
            assert item is not None
            return item.value, await scenario.client.read("op/none")

        assert run_on_reactor(read()) == (b"2", None)

    # Guards against responses that transfer a value the reader already has.
    def test_reads_an_item_only_if_it_changed(self) -> None:
        scenario = Scenario()
        scenario.server.write("op/config", b"2")

        async def read() -> tuple[bytes, object]:
            item = await scenario.client.read_if_changed("op/config", at(0))
            assert item is not None
            unchanged = await scenario.client.read_if_changed("op/config", item.written)
            return item.value, unchanged

        assert run_on_reactor(read()) == (b"2", None)

    def test_conditional_read_with_error_status_fails(self) -> None:
        scenario = Scenario()
        scenario.server.faults.outage = "busy"

        async def read() -> None:
            with pytest.raises(UnavailableError, match="status"):
                await scenario.client.read_if_changed("op/config", at(1))

        run_on_reactor(read())


class TestLeases:
    def test_item_is_deleted_with_its_lease(self) -> None:
        scenario = Scenario()

        async def write() -> list[str]:
            lease = (await scenario.client.grant_lease(5.0)).number
            await scenario.client.put("instances/e-1", b"{}", lease=lease)
            await scenario.client.renew_lease(lease)
            await scenario.client.end_lease(lease)
            page = await scenario.client.read_range("")
            return [item.key for item in page.items]

        assert run_on_reactor(write()) == []

    def test_ended_lease_cannot_be_renewed(self) -> None:
        scenario = Scenario()

        async def renew() -> None:
            with pytest.raises(LeaseEndedError):
                await scenario.client.renew_lease(4711)

        run_on_reactor(renew())

    def test_lost_response_to_a_write_raises_outcome_unknown(self) -> None:
        scenario = Scenario()
        scenario.server.faults.lost_answers = 1

        async def write() -> bytes:
            lease = await scenario.client.grant_lease(5.0)
            return b"%d" % lease.number

        async def expect_error() -> None:
            with pytest.raises(OutcomeUnknownError):
                await write()

        run_on_reactor(expect_error())


class TestEra:
    # Guards against a return that goes unnoticed until a read succeeds: a conditional
    # read is answered by a conflict, a renewal by "not found".
    def test_is_taken_from_each_response(self) -> None:
        scenario = Scenario()
        scenario.server.write("op/config", b"2")
        scenario.server.store.era = 3

        async def read() -> None:
            item = await scenario.client.read_if_changed("op/config", at(0))
            assert item is not None
            assert item.written == at(item.revision, era=3)
            with pytest.raises(LeaseEndedError):
                await scenario.client.renew_lease(4711)

        run_on_reactor(read())
        assert scenario.eras == [3, 3]

    # Guards against "unchanged" about a write that has the number of an earlier one.
    def test_an_item_of_another_era_is_read_in_full(self) -> None:
        scenario = Scenario()
        scenario.server.write("op/config", b"2")

        async def read() -> bytes:
            item = await scenario.client.read("op/config")
            assert item is not None
            scenario.server.store.era += 1
            again = await scenario.client.read_if_changed("op/config", item.written)
            assert again is not None
            return again.value

        assert run_on_reactor(read()) == b"2"

    def test_a_malformed_era_fails_the_call(self) -> None:
        scenario = Scenario()
        scenario.server.store.era = "new"  # type: ignore[assignment]

        async def read() -> None:
            with pytest.raises(UnavailableError, match="era"):
                await scenario.client.read_range("")

        run_on_reactor(read())
        assert scenario.eras == []
