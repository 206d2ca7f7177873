from __future__ import annotations

import pytest
from klein import Klein
from twisted.internet import reactor
from twisted.internet.defer import Deferred

from gentianhitch.addresses import Address
from gentianhitch.platform.client import HttpPlatform
from gentianhitch.platform.interface import ABSENT
from gentianhitch.platform.interface import ConflictError
from gentianhitch.platform.interface import Entry
from gentianhitch.platform.interface import ListedInstance
from gentianhitch.platform.interface import ListedState
from gentianhitch.platform.interface import OutcomeUnknownError
from gentianhitch.platform.interface import UnavailableError
from standins.platform import StandInPlatform
from tests.running import run_on_reactor
from tests.running import serve

KEY = "gentianhitch/production/head"
SHORT_TIMEOUT_S = 0.2
REFUSING = Address("127.0.0.1", 1)


def client(*addresses: Address, name: str = "a", timeout_s: float = 5) -> HttpPlatform:
    return HttpPlatform(reactor, addresses, name, timeout_s)


async def put(platform: HttpPlatform, value: bytes, revision: int = ABSENT) -> Entry:
    return await platform.put(KEY, value, expected_revision=revision)


class TestKeys:
    def test_compare_and_swap(self) -> None:
        async def scenario() -> None:
            platform = client(serve(StandInPlatform().app))
            assert await platform.get(KEY) is None
            first = await put(platform, b"\x00one")
            assert await platform.get(KEY) == first
            with pytest.raises(ConflictError) as caught:
                await put(platform, b"two")
            assert caught.value.current == first
            await platform.delete(KEY, expected_revision=first.revision)
            with pytest.raises(ConflictError) as caught:
                await platform.delete(KEY, expected_revision=first.revision)
            assert caught.value.current is None

        run_on_reactor(scenario())

    def test_watch_returns_on_a_write_and_counts_as_one_call(self) -> None:
        async def scenario() -> None:
            stand_in = StandInPlatform()
            platform = client(serve(stand_in.app))
            assert await platform.watch(KEY, after_revision=0, wait_s=0.01) is None
            waiting = Deferred.fromCoroutine(
                platform.watch(KEY, after_revision=0, wait_s=10)
            )
            written = await put(platform, b"x")
            assert await waiting == written
            assert stand_in.calls_by_kind == {"watch": 2, "put": 1}

        run_on_reactor(scenario())

    def test_ended_lease_deletes_its_key(self) -> None:
        async def scenario() -> None:
            now = [0.0]
            platform = client(serve(StandInPlatform(lambda: now[0]).app))
            lease = await platform.grant_lease(5)
            await platform.put(KEY, b"x", expected_revision=ABSENT, lease=lease)
            now[0] = 4.0
            await platform.renew_lease(lease)
            now[0] = 8.0
            assert await platform.get(KEY)
            now[0] = 9.0
            assert await platform.get(KEY) is None
            with pytest.raises(ConflictError):
                await platform.renew_lease(lease)

        run_on_reactor(scenario())

    def test_list_shows_instances_after_its_lag(self) -> None:
        async def scenario() -> None:
            now = [0.0]
            stand_in = StandInPlatform(lambda: now[0])
            platform = client(serve(stand_in.app))
            stand_in.list.lag_s = 3.0
            address = "127.0.0.1:9"
            stand_in.list.upsert(
                {
                    "name": "e1",
                    "failure_domain": "d1",
                    "callers": address,
                    "peers": address,
                    "state": "leaving",
                }
            )
            assert await platform.list_instances() == ()
            now[0] = 3.0
            at = Address.parse(address)
            expected = ListedInstance("e1", "d1", at, at, ListedState.LEAVING)
            assert await platform.list_instances() == (expected,)

        run_on_reactor(scenario())


class TestFailures:
    def test_next_address_is_tried_if_connect_fails(self) -> None:
        async def scenario() -> None:
            platform = client(REFUSING, serve(StandInPlatform().app))
            await put(platform, b"x")
            assert platform.addresses[1] == REFUSING
            with pytest.raises(UnavailableError):
                await put(client(REFUSING), b"x")

        run_on_reactor(scenario())

    @pytest.mark.parametrize(
        ("faults", "raised", "applied"),
        [
            ({"outage": "refuse"}, UnavailableError, False),
            ({"outage": "drop"}, OutcomeUnknownError, False),
            ({"outage": "silent"}, OutcomeUnknownError, False),
            ({"lost_replies": 1}, OutcomeUnknownError, True),
            ({"cuts_by_instance": {"a": "request"}}, OutcomeUnknownError, False),
            ({"cuts_by_instance": {"a": "reply"}}, OutcomeUnknownError, True),
            ({"cuts_by_instance": {"b": "both"}}, None, True),
        ],
    )
    def test_write_under_fault(
        self, faults: dict[str, object], raised: type[Exception] | None, applied: bool
    ) -> None:
        async def scenario() -> None:
            stand_in = StandInPlatform()
            stand_in.faults = stand_in.faults.edited(faults)
            platform = client(serve(stand_in.app), timeout_s=SHORT_TIMEOUT_S)
            caught = None
            try:
                await put(platform, b"x")
            except (UnavailableError, OutcomeUnknownError) as error:
                caught = type(error)
            assert caught is raised
            assert (KEY in stand_in.store.records_by_key) is applied

        run_on_reactor(scenario())

    def test_read_without_a_response_raises_unavailable(self) -> None:
        async def scenario() -> None:
            stand_in = StandInPlatform()
            stand_in.faults = stand_in.faults.edited({"outage": "silent"})
            platform = client(serve(stand_in.app), timeout_s=SHORT_TIMEOUT_S)
            with pytest.raises(UnavailableError):
                await platform.get(KEY)

        run_on_reactor(scenario())

    @pytest.mark.parametrize(
        ("status", "raised"),
        [
            (200, OutcomeUnknownError),
            (500, OutcomeUnknownError),
            (400, UnavailableError),
        ],
    )
    def test_malformed_response_to_a_write(
        self, status: int, raised: type[Exception]
    ) -> None:
        app = Klein()

        @app.route("/", branch=True)
        def respond(request: object) -> bytes:
            request.setResponseCode(status)
            return b"nonsense"

        async def scenario() -> None:
            with pytest.raises(raised):
                await put(client(serve(app)), b"x")

        run_on_reactor(scenario())
