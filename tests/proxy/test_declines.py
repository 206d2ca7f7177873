"""Pattern: servers decline requests while others of their service have free slots.

Seen in a replay: 77 of 117 servers declined about half of their requests for 8.5 s. A
declined attempt taught nothing, and a server that declines at once looked idle, so that
3,410 of 21,138 sends were declined and 1,983 requests refused while the other servers
could have served them.
"""

from __future__ import annotations

from random import Random

import msgspec
import pytest

from gentianhitch.instances.datagrams import AttemptSample
from gentianhitch.instances.datagrams import LoadReport
from gentianhitch.instances.datagrams import RunningRequests
from gentianhitch.instances.datagrams import decode
from gentianhitch.proxy.balancing import Balancer
from gentianhitch.proxy.declines import FINAL_DECLINE_COST
from gentianhitch.proxy.declines import MIN_PROBABILITY
from gentianhitch.proxy.declines import RETRIED_DECLINE_COST
from gentianhitch.proxy.declines import DeclineFilter
from gentianhitch.proxy.declines import decline_cost
from gentianhitch.proxy.server_records import AttemptResult
from gentianhitch.proxy.server_records import Observation
from gentianhitch.proxy.server_records import RunningRequest
from tests.builders_declining_service import DECLINED
from tests.builders_declining_service import ORDERS
from tests.builders_declining_service import BalancerWithoutDeclines
from tests.builders_declining_service import DecliningService
from tests.builders_dispatch import make_response
from tests.builders_proxy import make_route
from tests.builders_proxy import make_server
from tests.builders_reports import ROUTE
from tests.builders_reports import SERVERS
from tests.builders_reports import ReportingFleet
from tests.proxy.test_dispatch import Run

RECOVERY_S = 3.0
LEARNING_S = 1.0


class TestFilter:
    def test_one_decline_of_a_free_server_is_strong_evidence(self) -> None:
        declines = DeclineFilter()
        declines.record_decline(0, 2, 1.0)
        assert declines.probability(1.0) > 0.5

    def test_declines_of_a_full_server_are_weak_evidence(self) -> None:
        # Guards against a sound server that is left out after a burst filled it.
        declines = DeclineFilter()
        for _ in range(20):
            declines.record_decline(2, 2, 1.0)
        assert declines.probability(1.0) < 0.1

    def test_a_nearly_full_server_is_in_between(self) -> None:
        free, busy, full = DeclineFilter(), DeclineFilter(), DeclineFilter()
        for running, declines in enumerate((free, busy, full)):
            declines.record_decline(running, 2, 1.0)
        probabilities = [each.probability(1.0) for each in (free, busy, full)]
        assert probabilities == sorted(probabilities, reverse=True)
        assert probabilities[1] > 2 * probabilities[2]

    def test_a_server_that_declines_everything_is_told_from_one_that_does_half(
        self,
    ) -> None:
        half, everything = DeclineFilter(), DeclineFilter()
        for step in range(20):
            now = 1.0 + 0.05 * step
            everything.record_decline(0, 2, now)
            if step % 2:
                half.record_accepted(0.0, now)
            else:
                half.record_decline(0, 2, now)
        assert everything.probability(2.0) > 0.9
        assert 0.3 < half.probability(2.0) < 0.6

    @pytest.mark.parametrize("accepted_per_s", [0, 2, 10])
    def test_is_forgotten_when_the_server_ceases_to_decline(
        self, accepted_per_s: int
    ) -> None:
        declines = DeclineFilter()
        for step in range(40):
            declines.record_decline(0, 2, 0.1 * step)
        for step in range(int(RECOVERY_S * accepted_per_s)):
            declines.record_accepted(0.1, 4.0 + step / accepted_per_s)
        assert declines.probability(4.0 + RECOVERY_S) < 0.1

    def test_many_good_responses_do_not_hide_the_first_declines(self) -> None:
        # Guards against a share of declines among the last requests, which lags behind
        # a server that begins to decline under load.
        declines = DeclineFilter()
        for step in range(100):
            declines.record_accepted(0.1, 0.01 * step)
        declines.record_decline(0, 2, 1.0)
        assert declines.probability(1.0) > 0.5

    def test_an_old_request_shows_little_of_the_server_now(self) -> None:
        # Guards against responses to requests that were accepted before the fault.
        recent, old = DeclineFilter(), DeclineFilter()
        for declines, age_s in ((recent, 0.1), (old, 4.0)):
            declines.record_decline(0, 2, 1.0)
            declines.record_accepted(age_s, 1.0)
        assert old.probability(1.0) > 0.5 > 0.3 > recent.probability(1.0)

    def test_no_evidence_leaves_the_prior(self) -> None:
        declines = DeclineFilter()
        declines.record_accepted(0.1, 5.0)
        assert declines.probability(9.0) == MIN_PROBABILITY

    def test_a_clock_that_stands_still_or_steps_back_is_no_evidence(self) -> None:
        declines = DeclineFilter()
        declines.record_decline(0, 2, 5.0)
        assert declines.probability(4.0) == declines.probability(5.0)


class TestCost:
    def test_grows_as_the_retry_budget_is_used_up(self) -> None:
        costs = [
            decline_cost(can_retry=True, budget_used=used / 10) for used in range(11)
        ]
        assert costs[:6] == [RETRIED_DECLINE_COST] * 6
        assert costs == sorted(costs)
        assert costs[-1] == FINAL_DECLINE_COST

    def test_is_highest_without_another_attempt(self) -> None:
        assert decline_cost(can_retry=False, budget_used=0.0) == FINAL_DECLINE_COST


class TestChoice:
    def make_balancer(self) -> Balancer:
        """Return a balancer before s-0, which declined of late, and a busy s-1."""
        balancer = Balancer("e-1", "a", Random(1))
        servers = [make_server(f"s-{number}", slots=2) for number in range(2)]
        balancer.update(servers, 0.0)
        for _ in range(3):
            balancer.merge_declined(servers[0].key, [0], 1.0)
        queue = (RunningRequest("orders", 0.9),) * 4
        balancer.merge_running("e-2", {servers[1].key: queue}, 1.0)
        return balancer

    def test_a_last_attempt_prefers_the_queue_of_a_sound_server(self) -> None:
        # Guards against requests that are refused after two declines.
        balancer = self.make_balancer()
        for decline_cost_ in (FINAL_DECLINE_COST, RETRIED_DECLINE_COST):
            chosen = balancer.choose("stock", ORDERS, 1.1, decline_cost=decline_cost_)
            assert chosen is not None
            is_last = decline_cost_ == FINAL_DECLINE_COST
            assert chosen.id == ("s-1" if is_last else "s-0")

    def test_a_declining_server_gets_what_the_others_cannot_hold(self) -> None:
        balancer = self.make_balancer()
        held = (RunningRequest("orders", 0.9),) * 20
        balancer.merge_running("e-2", {("s-1", 1_000): held}, 1.0)
        chosen = balancer.choose("stock", ORDERS, 1.1, decline_cost=FINAL_DECLINE_COST)
        assert chosen is not None
        assert chosen.id == "s-0"

    def test_declines_of_other_instances_count(self) -> None:
        balancer = Balancer("e-1", "a", Random(1))
        servers = [make_server(f"s-{number}") for number in range(2)]
        balancer.update(servers, 0.0)
        balancer.merge_declined(servers[0].key, [0], 1.0)
        chosen = {balancer.choose("stock", ORDERS, 1.1) for _ in range(20)}
        assert chosen == {servers[1]}

    def test_an_unused_server_that_declined_is_tried_again(self) -> None:
        # Guards against servers that get no request for longer than the floor allows.
        balancer = Balancer("e-1", "a", Random(1))
        servers = [make_server(f"s-{number}") for number in range(2)]
        balancer.update(servers, 0.0)
        for _ in range(5):
            balancer.merge_declined(servers[0].key, [0], 1.0)
        chosen = []
        for step in range(20):
            now = 1.05 + 0.1 * step
            good = Observation(servers[1].key, "orders", 0.01, AttemptResult.GOOD)
            balancer.merge_observation(good, now)
            server = balancer.choose("stock", ORDERS, now)
            assert server is not None
            chosen += [server.id]
        assert chosen[:11] == ["s-1"] * 11
        assert chosen[11:].count("s-0") == 1


class TestDispatch:
    @pytest.mark.parametrize("status", [400, 421])
    def test_a_request_turned_away_for_its_own_sake_says_nothing_of_the_server(
        self, status: int
    ) -> None:
        # Guards against a caller whose bad requests make all servers look faulty.
        run = Run(make_route(idempotent=False))
        declined = make_server(run.connections.made[0].server)
        run.waiter(0).response_received(make_response(status, DECLINED))
        assert run.balancer.decline_probability(declined, 0.0) == MIN_PROBABILITY
        assert run.balancer.declined_by_server == {}

    @pytest.mark.parametrize("status", [429, 503])
    def test_a_declined_attempt_is_evidence_and_is_reported(self, status: int) -> None:
        run = Run(make_route(idempotent=False))
        declined = make_server(run.connections.made[0].server)
        run.waiter(0).response_received(make_response(status, DECLINED))
        assert run.balancer.decline_probability(declined, 0.0) > 0.5
        assert run.balancer.declined_by_server == {declined.key: [0]}


class TestReports:
    def test_all_instances_learn_of_a_declining_server(self) -> None:
        fleet = ReportingFleet("abcde", 3)
        sender, now = fleet.balancers_by_name["a-1"], fleet.clock.seconds()
        token = sender.record_start(SERVERS[0], ROUTE, now)
        sender.record_end(SERVERS[0], ROUTE, token, AttemptResult.DECLINED, now)
        for _ in range(int(LEARNING_S / 0.1)):
            fleet.clock.advance(0.1)
        now = fleet.clock.seconds()
        for balancer in fleet.balancers_by_name.values():
            assert balancer.decline_probability(SERVERS[0], now) > 0.2
            assert balancer.decline_probability(SERVERS[1], now) == MIN_PROBABILITY

    def test_an_older_version_ignores_declined_attempts(self) -> None:
        # Guards against declines that an older version counts as good responses, as it
        # would samples of kind DECLINED.
        older = msgspec.defstruct(
            "LoadReport",
            [
                ("sender", str),
                ("incarnation", int),
                ("sent_s", float),
                ("is_complete", bool),
                ("totals_by_workspace", dict[str, tuple[int, int, int]]),
                ("running", list[RunningRequests]),
                ("samples", list[AttemptSample]),
                ("is_to_forward", bool, False),
                ("leaving", list[int], []),
            ],
            array_like=True,
            tag=4,
        )
        newer = LoadReport(
            "a-1", 1, 5.0, True, {}, [], [], declined_by_server={2**32 - 1: [0, 1]}
        )
        read = msgspec.msgpack.decode(msgspec.msgpack.encode(newer), type=older)
        assert read == older("a-1", 1, 5.0, True, {}, [], [])
        assert decode(msgspec.msgpack.encode(read)) == msgspec.structs.replace(
            newer, declined_by_server={}
        )

    def test_a_declined_attempt_takes_few_bytes(self) -> None:
        # Traffic between failure domains is charged by the byte.
        empty = LoadReport("a-1", 1, 5.0, True, {}, [], [])
        news = {2**32 - 1 - number: [0] for number in range(10)}
        full = msgspec.structs.replace(empty, declined_by_server=news)
        sizes = [len(msgspec.msgpack.encode(each)) for each in (empty, full)]
        assert sizes[1] - sizes[0] <= 10 * 7


BEFORE, AFTER = BalancerWithoutDeclines, Balancer


def _run(
    seed: int, *makers: type[Balancer], report_loss: float = 0.0
) -> DecliningService:
    """Return a service after two thirds of its servers declined half for 6 s."""
    service = DecliningService(seed, makers=makers, report_loss=report_loss)
    service.at(1.0, service.set_decline_share, 20, 0.55)
    service.at(7.0, service.set_decline_share, 20, 0.0)
    service.run(9.0)
    return service


class TestService:
    @pytest.mark.parametrize("seed", range(3))
    def test_two_thirds_of_the_servers_decline_half(self, seed: int) -> None:
        before, after = _run(seed, BEFORE), _run(seed, AFTER)
        assert after.declined() < 0.5 * before.declined()
        assert after.refused() < 0.1 * before.refused()
        assert after.timely_share(1.0, 7.0) > 0.95

    @pytest.mark.parametrize("seed", range(3))
    def test_half_of_the_reports_are_lost(self, seed: int) -> None:
        before = _run(seed, BEFORE, report_loss=0.5)
        after = _run(seed, AFTER, report_loss=0.5)
        assert after.declined() < 0.5 * before.declined()
        assert after.refused() < 0.2 * before.refused()

    @pytest.mark.parametrize("seed", range(3))
    def test_one_of_three_instances_is_of_an_older_version(self, seed: int) -> None:
        before, after = _run(seed, BEFORE), _run(seed, BEFORE, AFTER, AFTER)
        assert after.declined() < before.declined()
        assert after.refused() < 2 / 3 * before.refused()

    @pytest.mark.parametrize("queue_length", [1, 8])
    @pytest.mark.parametrize("seed", range(2))
    def test_all_servers_are_full_for_a_moment(
        self, seed: int, queue_length: int
    ) -> None:
        # Guards against sound servers that are taken for faulty after a burst.
        refused, timely = [], []
        for maker in (BEFORE, AFTER):
            service = DecliningService(
                seed, rate_per_s=250.0, makers=(maker,), queue_length=queue_length
            )
            service.at(2.0, service.send_burst, 500)
            service.run(5.0)
            refused.append(service.refused())
            timely.append(service.timely_share(2.5))
            assert service.declined(to_s=2.2) > 100
        assert refused[1] <= 1.1 * refused[0]
        assert timely[1] >= timely[0] - 0.01

    @pytest.mark.parametrize("seed", range(3))
    def test_one_server_declines_everything(self, seed: int) -> None:
        service = DecliningService(seed, rate_per_s=250.0)
        service.at(1.0, service.set_decline_share, 1, 1.0)
        service.run(6.0)
        # Single tries after 1.2 s without use.
        assert service.declined() <= 10
        assert service.refused() == 0
        assert service.timely_share() > 0.99

    @pytest.mark.parametrize("seed", range(3))
    def test_load_returns_after_the_declines(self, seed: int) -> None:
        service = DecliningService(seed, rate_per_s=400.0)
        service.at(1.0, service.set_decline_share, 20, 0.55)
        service.at(5.0, service.set_decline_share, 20, 0.0)
        end_s = 5.0 + RECOVERY_S
        service.run(end_s + 1.0)
        recovered = [service.models_by_id[each.id] for each in service.servers[:20]]
        accepted = sum(
            at_s >= end_s for model in recovered for at_s in model.accepted_at_s
        )
        assert accepted / service.sends(from_s=end_s) == pytest.approx(2 / 3, abs=0.1)
        for instance in service.instances:
            for server in service.servers:
                believed = instance.balancer.decline_probability(server, end_s)
                assert believed < 0.2
