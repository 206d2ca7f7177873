from __future__ import annotations

from random import Random

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from gentianhitch.proxy.balancing import Balancer
from gentianhitch.proxy.gray_filter import GRAY_PRIOR
from gentianhitch.proxy.gray_filter import ROUTE_GRAY_PRIOR
from gentianhitch.proxy.gray_filter import GrayFilter
from gentianhitch.proxy.gray_filter import PendingRequest
from gentianhitch.proxy.gray_filter import hedge_survival
from gentianhitch.proxy.latencies import LatencyEstimate
from gentianhitch.proxy.server_records import AttemptResult
from gentianhitch.proxy.server_records import Observation
from gentianhitch.proxy.server_records import RunningRequest
from tests.builders_proxy import make_route
from tests.builders_proxy import make_server

ROUTE = make_route()
ROUTE_PRIOR = GRAY_PRIOR + ROUTE_GRAY_PRIOR


def make_balancer(*names: str, **changes: object) -> Balancer:
    balancer = Balancer("e-1", "a", Random(1))
    balancer.update([make_server(name, **changes) for name in names], 0.0)
    return balancer


class TestChoice:
    def test_avoids_a_server_that_failed(self) -> None:
        balancer = make_balancer("s-1", "s-2")
        server = make_server("s-1")
        token = balancer.record_start(server, ROUTE, 1.0)
        balancer.record_end(server, ROUTE, token, AttemptResult.FAILED, 1.5)
        chosen = [balancer.choose("stock", ROUTE, 1.6) for _ in range(20)]
        assert {each.id for each in chosen if each} == {"s-2"}

    def test_avoids_a_server_that_hangs(self) -> None:
        balancer = make_balancer("s-1", "s-2")
        balancer.latencies("stock", ROUTE)
        balancer.record_start(make_server("s-1"), ROUTE, 1.0)
        chosen = [balancer.choose("stock", ROUTE, 3.0) for _ in range(20)]
        assert {each.id for each in chosen if each} == {"s-2"}

    def test_a_request_cancelled_after_a_hedge_counts_against_its_server(self) -> None:
        # Guards against a hung server that is never detected, since a hedge at another
        # server always responds first.
        balancer = make_balancer("s-1", "s-2")
        balancer.latencies("stock", ROUTE)
        server = make_server("s-1")
        token = balancer.record_start(server, ROUTE, 1.0)
        balancer.record_end(server, ROUTE, token, AttemptResult.CANCELLED, 3.0)
        chosen = [balancer.choose("stock", ROUTE, 3.1) for _ in range(20)]
        assert {each.id for each in chosen if each} == {"s-2"}

    def test_uses_the_results_of_other_instances(self) -> None:
        balancer = make_balancer("s-1", "s-2")
        balancer.merge_observation(
            Observation(("s-1", 1_000), "read", 0.1, AttemptResult.FAILED), 1.0
        )
        chosen = [balancer.choose("stock", ROUTE, 1.1) for _ in range(20)]
        assert {each.id for each in chosen if each} == {"s-2"}

    def test_a_pending_non_idempotent_request_counts_against_its_server(self) -> None:
        # Guards against a latency estimate that is created only when a hedge is
        # scheduled: requests that may run once are never hedged, so pending ones gave
        # no evidence until their deadline, and hung servers got four on average.
        order = make_route(name="order", idempotent=False)
        balancer = make_balancer("s-1", "s-2")
        balancer.record_start(make_server("s-1"), order, 1.0)
        assert balancer.gray_probability(make_server("s-1"), order, 3.0) > 0.5
        chosen = [balancer.choose("stock", order, 3.0) for _ in range(20)]
        assert {each.id for each in chosen if each} == {"s-2"}

    def test_responses_on_one_route_do_not_hide_failures_on_another(self) -> None:
        # Guards against one estimate for all routes of a server. Servers hung all
        # requests of one route, while 45 of 53 other responses from them were good.
        order = make_route(name="order")
        balancer = make_balancer("s-1", "s-2")
        server = ("s-1", 1_000)
        balancer.merge_observation(
            Observation(server, "order", 3.0, AttemptResult.FAILED), 4.0
        )
        for _ in range(20):
            balancer.merge_observation(
                Observation(server, "read", 0.1, AttemptResult.GOOD), 4.0
            )
        chosen = [balancer.choose("stock", order, 4.1) for _ in range(20)]
        assert {each.id for each in chosen if each} == {"s-2"}

    def test_failures_on_one_route_do_not_outweigh_responses_on_another(self) -> None:
        balancer = make_balancer("s-1")
        server = make_server("s-1")
        order = make_route(name="order")
        before = balancer.gray_probability(server, ROUTE, 1.0)
        failure = Observation(server.key, "order", 0.1, AttemptResult.FAILED)
        good = Observation(server.key, ROUTE.name, 0.1, AttemptResult.GOOD)
        for step in range(3):
            balancer.merge_observation(failure, 1.0 + step * 0.1)
            balancer.merge_observation(good, 1.0 + step * 0.1)
        assert balancer.gray_probability(server, ROUTE, 1.2) <= before
        assert balancer.gray_probability(server, order, 1.2) > 0.5

    def test_a_failed_server_is_used_again_later(self) -> None:
        balancer = make_balancer("s-1", "s-2")
        balancer.merge_observation(
            Observation(("s-1", 1_000), "read", 0.1, AttemptResult.FAILED), 1.0
        )
        busy = (RunningRequest("read", 1.0),)
        balancer.merge_running("e-2", {("s-2", 1_000): busy}, 1.1)
        soon = balancer.choose("stock", ROUTE, 1.1)
        balancer.merge_running("e-2", {("s-2", 1_000): busy}, 40.0)
        later = balancer.choose("stock", ROUTE, 40.0)
        assert soon is not None
        assert later is not None
        assert (soon.id, later.id) == ("s-2", "s-1")

    def test_never_chooses_a_draining_server(self) -> None:
        assert make_balancer("s-1", draining=True).choose("stock", ROUTE, 1.0) is None

    def test_counts_the_running_requests_of_other_instances(self) -> None:
        balancer = make_balancer("s-1", "s-2")
        requests = (RunningRequest("read", 1.0),) * 6
        balancer.merge_running("e-2", {("s-1", 1_000): requests}, 1.0)
        chosen = [balancer.choose("stock", ROUTE, 1.1) for _ in range(20)]
        assert {each.id for each in chosen if each} == {"s-2"}

    def test_avoids_a_server_that_hangs_for_another_instance(self) -> None:
        # Guards against reports that hold the number of running requests but not their
        # ages, so that other instances can't detect a hung server.
        balancer = make_balancer("s-1", "s-2")
        balancer.latencies("stock", ROUTE)
        requests = (RunningRequest("read", 1.0),)
        balancer.merge_running("e-2", {("s-1", 1_000): requests}, 3.0)
        chosen = [balancer.choose("stock", ROUTE, 3.1) for _ in range(20)]
        assert {each.id for each in chosen if each} == {"s-2"}

    def test_instances_with_equal_evidence_choose_different_servers(self) -> None:
        # Guards against overload: six instances all chose the same best server between
        # two reports.
        chosen = set()
        for number in range(12):
            balancer = Balancer(f"e-{number}", "a", Random(1))
            balancer.update([make_server(f"s-{n}") for n in range(12)], 0.0)
            best = balancer.choose("stock", ROUTE, 1.0)
            assert best is not None
            chosen.add(best.id)
        assert len(chosen) >= 6

    def test_a_queue_at_a_healthy_server_is_better_than_a_gray_one(self) -> None:
        # Guards against requests to gray servers whenever the healthy ones have no free
        # slot. Five of six servers hung one route, and its requests still went to them.
        balancer = make_balancer("s-1", "s-2")
        for _ in range(8):
            balancer.record_start(make_server("s-1"), ROUTE, 1.0)
        failure = Observation(("s-2", 1_000), "read", 0.1, AttemptResult.FAILED)
        balancer.merge_observation(failure, 1.0)
        balancer.merge_observation(failure, 1.0)
        chosen = [balancer.choose("stock", ROUTE, 1.01) for _ in range(20)]
        assert {each.id for each in chosen if each} == {"s-1"}

    def test_a_server_that_joined_gets_requests(self) -> None:
        # Guards against penalties for warm-up and new connections that exclude a new
        # server for good, although its capacity is paid for.
        balancer = make_balancer("s-1", "s-2")
        servers = [make_server("s-1"), make_server("s-2")]
        balancer.update([*servers, make_server("s-3", warmup_s=3.0)], 1.0)
        used = set()
        for step in range(120):
            now = 1.0 + step * 0.05
            chosen = balancer.choose(
                "stock", ROUTE, now, connected=frozenset({"s-1", "s-2"})
            )
            assert chosen is not None
            used.add(chosen.id)
            token = balancer.record_start(chosen, ROUTE, now)
            balancer.record_end(chosen, ROUTE, token, AttemptResult.GOOD, now + 0.04)
        assert "s-3" in used

    def test_one_error_response_does_not_make_a_server_gray(self) -> None:
        # Guards against a loss of capacity: one response in 80 is an error at healthy
        # servers too, and the floor was broken while the servers that sent one were
        # avoided.
        balancer = make_balancer("s-1")
        server = make_server("s-1")
        for result in (AttemptResult.GOOD, AttemptResult.ERROR):
            token = balancer.record_start(server, ROUTE, 1.0)
            balancer.record_end(server, ROUTE, token, result, 1.1)
        assert balancer.gray_probability(server, ROUTE, 1.1) < 0.5

    def test_an_error_response_does_not_count_against_the_path(self) -> None:
        server = make_server("s-1")
        own, other = make_balancer("s-1"), make_balancer("s-1")
        token = own.record_start(server, ROUTE, 1.0)
        own.record_end(server, ROUTE, token, AttemptResult.ERROR, 1.1)
        (observation,) = own.observations
        other.merge_observation(observation, 1.1)
        by_path = own.gray_probability(server, ROUTE, 1.1)
        assert by_path == other.gray_probability(server, ROUTE, 1.1)

    def test_a_full_service_has_no_server(self) -> None:
        balancer = make_balancer("s-1")
        for _ in range(100):
            balancer.record_start(make_server("s-1"), ROUTE, 1.0)
        assert balancer.choose("stock", ROUTE, 1.0) is None

    def test_lower_priorities_have_a_lower_limit_of_requests(self) -> None:
        balancer = make_balancer("s-1")
        while balancer.choose("stock", ROUTE, 1.0, priority=2):
            balancer.record_start(make_server("s-1"), ROUTE, 1.0)
        assert balancer.choose("stock", ROUTE, 1.0, priority=0) is not None

    def test_a_restarted_server_starts_at_the_prior(self) -> None:
        balancer = make_balancer("s-1")
        old = make_server("s-1")
        token = balancer.record_start(old, ROUTE, 1.0)
        balancer.record_end(old, ROUTE, token, AttemptResult.FAILED, 1.0)
        new = make_server("s-1", started_ms=2_000)
        balancer.update([new], 1.0)
        assert balancer.gray_probability(new, ROUTE, 1.0) <= ROUTE_PRIOR + 0.01

    @settings(max_examples=50, deadline=None, derandomize=True)
    @given(st.integers(2, 12), st.integers(0, 10_000))
    def test_most_healthy_servers_get_requests(self, count: int, seed: int) -> None:
        balancer = Balancer("e-1", "a", Random(seed))
        servers = [make_server(f"s-{number}") for number in range(count)]
        balancer.update(servers, 0.0)
        used: set[str] = set()
        now = 0.0
        running: list[tuple[float, object, int]] = []
        for _ in range(count * 10):
            now += 0.05
            for started, server, token in [r for r in running if now - r[0] > 0.5]:
                balancer.record_end(server, ROUTE, token, AttemptResult.GOOD, now)  # type: ignore[arg-type]
                running.remove((started, server, token))
            chosen = balancer.choose("stock", ROUTE, now)
            assert chosen is not None
            used.add(chosen.id)
            running.append((now, chosen, balancer.record_start(chosen, ROUTE, now)))
        assert len(used) >= 0.7 * count


class TestGrayFilter:
    def test_one_failure_outweighs_the_prior(self) -> None:
        gray_filter = GrayFilter(0.0)
        gray_filter.record_failure(ROUTE.name, 1.0)
        assert gray_filter.probability(ROUTE.name, 1.0) > 0.5

    def test_good_responses_lower_the_probability(self) -> None:
        gray_filter = GrayFilter(0.0)
        gray_filter.record_failure(ROUTE.name, 1.0)
        for _ in range(6):
            gray_filter.record_success(ROUTE.name, 1.1, 0.1, slow=False)
        assert gray_filter.probability(ROUTE.name, 1.1) < 0.1

    def test_returns_to_the_mean(self) -> None:
        gray_filter = GrayFilter(0.0)
        gray_filter.record_failure(ROUTE.name, 1.0)
        assert abs(gray_filter.probability(ROUTE.name, 100.0) - ROUTE_PRIOR) < 0.01

    @settings(max_examples=100, deadline=None, derandomize=True)
    @given(
        st.lists(
            st.tuples(st.floats(0.0, 20.0), st.floats(0.0, 1.0)), min_size=1, max_size=9
        )
    )
    def test_a_pending_request_never_lowers_the_probability(
        self, requests: list[tuple[float, float]]
    ) -> None:
        gray_filter = GrayFilter(0.0)
        pending = [PendingRequest(age_s, survival) for age_s, survival in requests]
        before = gray_filter.probability(ROUTE.name, 1.0)
        assert (
            gray_filter.probability_with_pending(ROUTE.name, {ROUTE.name: pending}, 1.0)
            >= before - 1e-9
        )

    def test_an_old_failure_weighs_less_than_a_new_one(self) -> None:
        # Guards against a timeout that excludes a server which has recovered since the
        # request was sent.
        new, old = GrayFilter(0.0), GrayFilter(0.0)
        new.record_failure(ROUTE.name, 10.0, 0.1)
        old.record_failure(ROUTE.name, 10.0, 6.0)
        assert old.probability(ROUTE.name, 10.0) < new.probability(ROUTE.name, 10.0)

    def test_a_probably_gray_server_is_hedged_sooner(self) -> None:
        assert hedge_survival(0.5) > hedge_survival(0.05)


class TestLatencyEstimate:
    def test_survival_falls_with_age(self) -> None:
        latencies = LatencyEstimate.from_objective(2.0)
        assert latencies.survival(0.01) > latencies.survival(0.5)
        assert latencies.survival(0.5) > latencies.survival(10.0)

    def test_old_samples_are_dropped(self) -> None:
        latencies = LatencyEstimate.from_objective(2.0)
        for _ in range(1_000):
            latencies.add(5.0)
        assert latencies.quantile(0.1) == 5.0


class TestEvacuations:
    def make_balancer(self) -> Balancer:
        """Return a balancer of which all servers outside the domain "b" are gray."""
        balancer = Balancer("e-1", "a", Random(1))
        servers = [make_server(f"a-{number}") for number in range(2)]
        remote = [make_server(f"b-{n}", failure_domain="b") for n in range(8)]
        balancer.update([*servers, *remote], 0.0)
        for server in servers:
            for _ in range(10):
                token = balancer.record_start(server, ROUTE, 1.0)
                balancer.record_end(server, ROUTE, token, AttemptResult.FAILED, 1.1)
        return balancer

    # Guards against the floor and the preference for unused servers, which bring
    # servers back into use while others fail.
    def test_its_servers_are_not_chosen_though_all_others_are_gray(self) -> None:
        balancer = self.make_balancer()
        balancer.set_evacuated(frozenset({"b"}), 1.1)
        for step in range(200):
            chosen = balancer.choose("stock", ROUTE, 1.1 + step * 0.05)
            assert chosen is not None
            assert chosen.failure_domain == "a"

    def test_its_servers_are_not_counted_as_usable(self) -> None:
        balancer = self.make_balancer()
        assert balancer.use_by_service(1.2)["stock"].servers == 10
        balancer.set_evacuated(frozenset({"b"}), 1.1)
        assert balancer.use_by_service(1.2)["stock"].servers == 2
        assert balancer.count_evacuated() == 8
        balancer.set_evacuated(frozenset({"a", "b"}), 1.1)
        assert balancer.choose("stock", ROUTE, 1.2) is None
        assert balancer.free_in_s("stock", 1.2) is None
