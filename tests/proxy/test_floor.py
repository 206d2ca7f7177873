"""Pattern: much of a service fails for some seconds and recovers unseen.

The evidence against the recovered servers must not keep most of the sound ones out of
use while the rest of the service fails more than a tenth of its requests.
"""

from __future__ import annotations

from random import Random
from typing import Any
from typing import cast

import pytest

from gentianhitch.proxy.balancing import Balancer
from gentianhitch.proxy.changes import ChangeHandler
from gentianhitch.proxy.events import Events
from gentianhitch.proxy.floor import ServerUse
from gentianhitch.proxy.floor import is_below_floor
from gentianhitch.proxy.server_records import AttemptResult
from gentianhitch.proxy.server_records import Observation
from gentianhitch.proxy.server_records import RunningRequest
from tests.builders_deployment import RecordedEvents
from tests.builders_gray_service import GrayService
from tests.builders_proxy import make_route
from tests.builders_proxy import make_server

ORDERS = make_route(name="order", idempotent=False, max_attempts=1)
FLOOR_SHARE = 0.7

MEAN_USED_SHARE = 0.9
"""The floor holds for any part of the sound servers: those that nothing disrupted."""

LONG_SOUND_S = 6.0
MEAN_LONG_SOUND_SHARE = 0.98
"""Nothing speaks against these."""

SERVICES = [
    {"server_count": 79, "rate_per_s": 80.0, "service_s": 0.8},
    {"server_count": 59, "rate_per_s": 275.0, "service_s": 0.3},
    {"server_count": 30, "rate_per_s": 150.0, "service_s": 0.4},
]
SERVICE_IDS = ["few requests a server", "many requests a server", "half the size"]


def make_hanging_service(seed: int, **changes: Any) -> GrayService:
    """Return a service of which a quarter hangs, before eight instances."""
    values: dict[str, Any] = {
        "route": ORDERS,
        "instances": 8,
        "gray_share": 0.25,
        "spell_s": 4.5,
        "failure_share": 0.9,
        "healthy_failure_share": 0.012,
        "hangs": True,
        "deadline_s": 3.0,
        "failure_domains": 4,
        "slots": 4,
    }
    return GrayService(seed, **{**values, **changes})


class TestRecoveredServers:
    def test_sound_servers_get_requests_while_others_fail(self) -> None:
        balancer = Balancer("e-1", "a", Random(1))
        servers = [make_server(f"s-{number}") for number in range(7)]
        balancer.update(servers, 0.0)
        for server in servers[:5]:
            for _ in range(3):
                error = Observation(server.key, "order", 0.01, AttemptResult.ERROR)
                balancer.merge_observation(error, 1.0)
        used: dict[str, int] = {}
        now = 3.2
        while now < 5.2:
            now += 0.04
            chosen = balancer.choose("stock", ORDERS, now)
            assert chosen is not None
            token = balancer.record_start(chosen, ORDERS, now)
            fails = chosen.id in ("s-5", "s-6") and used.get(chosen.id, 0) % 4 == 0
            result = AttemptResult.ERROR if fails else AttemptResult.GOOD
            balancer.record_end(chosen, ORDERS, token, result, now + 0.01)
            used[chosen.id] = used.get(chosen.id, 0) + 1
        assert len(used) >= FLOOR_SHARE * len(servers)

    @pytest.mark.parametrize("errors", [1, 2, 3, 5])
    @pytest.mark.parametrize("seed", range(3))
    def test_sound_servers_get_requests_while_others_decline(
        self, seed: int, errors: int
    ) -> None:
        # Guards against requests that two servers turn away while five sound ones get
        # none (FLOOR): a declined attempt didn't count as a failure.
        balancer = Balancer("e-1", "a", Random(seed))
        servers = [make_server(f"s-{number}") for number in range(7)]
        balancer.update(servers, 0.0)
        for server in servers[:5]:
            for _ in range(errors):
                error = Observation(server.key, "order", 0.01, AttemptResult.ERROR)
                balancer.merge_observation(error, 1.0)
        used: dict[str, int] = {}
        now = 3.2
        while now < 5.2:
            now += 0.04
            chosen = balancer.choose("stock", ORDERS, now)
            assert chosen is not None
            token = balancer.record_start(chosen, ORDERS, now)
            declines = chosen.id in ("s-5", "s-6") and used.get(chosen.id, 0) % 4 == 0
            result = AttemptResult.DECLINED if declines else AttemptResult.GOOD
            balancer.record_end(chosen, ORDERS, token, result, now + 0.01)
            used[chosen.id] = used.get(chosen.id, 0) + 1
        assert len(used) >= FLOOR_SHARE * len(servers)

    @pytest.mark.parametrize("seed", range(2))
    @pytest.mark.parametrize("service", SERVICES, ids=SERVICE_IDS)
    def test_servers_that_hung_return_to_use(
        self, service: dict[str, Any], seed: int
    ) -> None:
        # Guards against sound servers that get no request for seconds after they hung,
        # so that too few are in use when something else fails (FLOOR).
        simulated = make_hanging_service(seed, **service)
        simulated.run(16.0)
        shares = [used for _, used, _ in simulated.floor_shares(from_s=6.0)]
        assert min(shares) >= FLOOR_SHARE
        assert sum(shares) / len(shares) >= MEAN_USED_SHARE

    @pytest.mark.parametrize("seed", range(2))
    @pytest.mark.parametrize("service", SERVICES, ids=SERVICE_IDS)
    def test_servers_that_last_hung_long_ago_are_in_use(
        self, service: dict[str, Any], seed: int
    ) -> None:
        # Guards against servers that get no request any more once they hung: just these
        # are sound when the others fail now and then (FLOOR).
        simulated = make_hanging_service(
            seed, gray_share=0.12, spell_s=3.6, are_spells_alike=True, **service
        )
        simulated.run(20.0)
        shares = [used for _, used, _ in simulated.floor_shares(8.0, LONG_SOUND_S)]
        assert min(shares) >= FLOOR_SHARE
        assert sum(shares) / len(shares) >= MEAN_LONG_SOUND_SHARE

    @pytest.mark.parametrize("seed", range(6))
    def test_few_windows_are_below_the_floor(self, seed: int) -> None:
        service = GrayService(seed, 14, 60.0, ORDERS)
        service.run(30.0)
        windows = list(service.floor_shares(from_s=4.0))
        below = [
            start_s
            for start_s, used, failed in windows
            if used < FLOOR_SHARE and 0.1 < failed < 0.5
        ]
        assert below == []


class TestIsBelowFloor:
    def test_a_server_that_just_failed_is_not_sound(self) -> None:
        uses = [ServerUse(10.0, 0.0, 0.0)] * 3 + [ServerUse(5.0, 9.5, 0.0)] * 7
        assert not is_below_floor(uses, FLOOR_SHARE, 10.0)

    def test_sound_servers_out_of_use_count(self) -> None:
        uses = [ServerUse(10.0, 0.0, 0.0)] * 7 + [ServerUse(5.0, 1.0, 0.0)] * 3
        assert is_below_floor(uses, FLOOR_SHARE, 10.0)
        assert not is_below_floor(uses[:8], FLOOR_SHARE, 10.0)

    def test_suspect_servers_count_by_their_probability(self) -> None:
        # Guards against orders for servers that are still gray: eight of fourteen
        # failed at the start of a day, and each was tried again two seconds later.
        used = [ServerUse(10.0, 0.0, 0.0)] * 6
        assert not is_below_floor(
            [*used, *[ServerUse(5.0, 1.0, 0.9)] * 8], FLOOR_SHARE, 10.0
        )
        assert is_below_floor(
            [*used, *[ServerUse(5.0, 1.0, 0.6)] * 8], FLOOR_SHARE, 10.0
        )


class TestSecondAttempts:
    def test_go_on_when_the_unused_servers_are_excluded_or_full(self) -> None:
        # Guards against second attempts that find no server, as the first one went to
        # the only server that counts as unused, and hangs there.
        balancer = Balancer("e-1", "a", Random(1))
        servers = [make_server("s-0", slots=1), make_server("s-1")]
        balancer.update(servers, 0.0)
        good = Observation(servers[1].key, "order", 0.1, AttemptResult.GOOD)
        balancer.merge_observation(good, 2.9)
        excluded = frozenset({"s-0"})
        assert balancer.choose("stock", ORDERS, 3.0, exclude=excluded) == servers[1]
        running = {servers[0].key: (RunningRequest("order", 0.1),) * 9}
        balancer.merge_running("e-2", running, 2.9)
        assert balancer.choose("stock", ORDERS, 3.0) == servers[1]


class TestTurns:
    def test_one_instance_tries_an_unused_server_at_a_time(self) -> None:
        # Guards against an order from each instance at once, for a server that is
        # still gray: callers send in clumps, and reports take 0.1 s.
        names = frozenset(f"e-{number}" for number in range(8))
        servers = [make_server(f"s-{number}") for number in range(6)]
        tried = []
        for name in names:
            balancer = Balancer(name, "a", Random(name))
            balancer.set_instances(names, 0.0)
            balancer.update(servers, 0.0)
            for server in servers[1:]:
                for at_s in (1.0, 1.2):
                    good = Observation(server.key, "order", 0.1, AttemptResult.GOOD)
                    balancer.merge_observation(good, at_s)
            chosen = balancer.choose("stock", ORDERS, 1.25)
            tried += [name] if chosen == servers[0] else []
        assert 0 < len(tried) <= 2


class TestServiceUse:
    def test_use_counts_requests_sent_of_late(self) -> None:
        balancer = Balancer("e-1", "a", Random(1))
        servers = [make_server(f"s-{number}") for number in range(4)]
        balancer.update(servers, 0.0)
        for server in servers[:2]:
            good = Observation(server.key, "order", 0.1, AttemptResult.GOOD)
            balancer.merge_observation(good, 5.0)
        running = {servers[2].key: (RunningRequest("order", 1.0),)}
        balancer.merge_running("e-2", running, 5.0)
        use = balancer.use_by_service(5.5)["stock"]
        assert (use.servers, use.used, use.failed_share) == (4, 2, 0.0)
        assert balancer.use_by_service(8.0) == {}

    def test_changes_of_the_state_are_logged_once(self) -> None:
        balancer = Balancer("e-1", "a", Random(1))
        servers = [make_server(f"s-{number}") for number in range(4)]
        balancer.update(servers, 0.0)
        events = RecordedEvents()
        unused: Any = None
        changes = ChangeHandler(
            unused,
            unused,
            unused,
            balancer,
            unused,
            unused,
            unused,
            cast("Events", events),
            unused,
        )
        good = Observation(servers[0].key, "order", 0.1, AttemptResult.GOOD)
        balancer.merge_observation(good, 5.0)
        for now in (5.0, 5.5, 6.0):
            changes.log_service_use(now)
        logged = [fields for event, fields in events.lines if event == "service_use"]
        assert [each["service"] for each in logged] == ["stock"]
        assert logged[0]["is_below_floor"]
        assert changes.count_services_below_floor() == 1
