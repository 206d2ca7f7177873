from __future__ import annotations

from itertools import pairwise

import pytest

from gentianhitch.proxy.sources import FALLBACK_PEERS_QUERIED
from gentianhitch.proxy.sources import FALLBACK_READ_INTERVAL_S
from gentianhitch.proxy.sources import MAX_READ_INTERVAL_S
from gentianhitch.proxy.sources import PEER_BACKOFF_S
from gentianhitch.proxy.sources import REFRESH_INTERVAL_S
from gentianhitch.proxy.sources import RETURN_MARGIN_S
from gentianhitch.proxy.sources import RefreshPlan
from gentianhitch.proxy.sources import reading_order
from gentianhitch.proxy.sources import refresh_interval
from tests.builders_proxy import make_peer

PEERS = [make_peer(f"e-{number}") for number in range(4)]
FIRST, SECOND, THIRD, LAST = (peer.name for peer in reading_order(PEERS))


class TestWithoutFailures:
    def test_only_the_first_of_the_order_reads_the_store(self) -> None:
        readers = [
            peer.name
            for peer in PEERS
            if RefreshPlan(peer.name, "a").next_step(PEERS, 0.1, 100.0).read_store
        ]
        assert readers == [FIRST]

    def test_the_others_query_it(self) -> None:
        step = RefreshPlan(SECOND, "a").next_step(PEERS, 0.1, 100.0)
        assert [peer.name for peer in step.peers] == [FIRST]

    def test_queries_two_readers_in_case_one_fails(self) -> None:
        step = RefreshPlan(THIRD, "a").next_step(PEERS, 0.1, 100.0)
        assert [peer.name for peer in step.peers] == [FIRST, SECOND]

    def test_reads_once_an_interval(self) -> None:
        plan = RefreshPlan(FIRST, "a")
        reads = 0
        for tick in range(100):
            now = 100.0 + tick * 0.1
            reads += plan.next_step(PEERS, 0.1, now).read_store
        assert reads <= 10 / REFRESH_INTERVAL_S + 1

    @pytest.mark.parametrize(
        ("bound_s", "interval_s"), [(1.0, 0.5), (2.0, 0.5), (2.5, 0.625), (9.0, 0.75)]
    )
    def test_reads_as_often_as_the_bound_needs(
        self, bound_s: float, interval_s: float
    ) -> None:
        assert refresh_interval(bound_s) == interval_s

    def test_each_failure_domain_has_a_reader(self) -> None:
        peers = [*PEERS, make_peer("f-1", "b")]
        assert RefreshPlan("f-1", "b").next_step(peers, 0.1, 100.0).read_store


class TestStart:
    # Guards against a first reader that takes the copy from which the store returned
    # for current, while its peers know a newer configuration.
    def test_the_first_of_the_order_queries_others_until_one_replies(self) -> None:
        plan = RefreshPlan(FIRST, "a")
        step = plan.next_step(PEERS, 0.1, 100.0)
        assert len(step.peers) == FALLBACK_PEERS_QUERIED
        plan.record_reply(step.peers[0].name, 0.1, 100.1)
        assert plan.next_step(PEERS, 0.1, 100.3).peers == ()


class TestLinks:
    # Guards against late changes when the instance that sends them to all others has
    # one of the slowest links.
    def test_the_fastest_link_reads_the_store(self) -> None:
        peers = [
            make_peer(peer.name, link_mbps=100.0 if peer.name == LAST else 5.0)
            for peer in PEERS
        ]
        assert RefreshPlan(LAST, "a", 100.0).next_step(peers, 0.5, 100.0).read_store
        step = RefreshPlan(FIRST, "a", 5.0).next_step(peers, 0.5, 100.0)
        assert [peer.name for peer in step.peers] == [LAST]
        assert not step.read_store


class TestFailures:
    def test_the_next_instance_reads_when_the_first_times_out(self) -> None:
        plan = RefreshPlan(SECOND, "a")
        plan.next_step(PEERS, 0.1, 100.0)
        assert plan.next_step(PEERS, 0.5, 100.4).read_store

    def test_a_reply_that_is_too_old_counts_as_a_timeout(self) -> None:
        plan = RefreshPlan(SECOND, "a")
        plan.next_step(PEERS, 0.1, 100.0)
        plan.record_reply(FIRST, 5.0, 100.01)
        assert plan.next_step(PEERS, 0.5, 100.6).read_store

    def test_a_reader_that_timed_out_is_queried_again_later(self) -> None:
        plan = RefreshPlan(SECOND, "a")
        plan.next_step(PEERS, 0.1, 100.0)
        plan.next_step(PEERS, 0.5, 100.4)
        later = 100.4 + PEER_BACKOFF_S + 0.1
        assert [p.name for p in plan.next_step(PEERS, 0.1, later).peers] == [FIRST]

    def test_the_backoff_grows_with_each_timeout(self) -> None:
        # Guards against queries to dead readers every 3 s without end.
        plan = RefreshPlan(SECOND, "a")
        queried = 0
        for tick in range(300):
            step = plan.next_step(PEERS, 0.1, 100.0 + tick * 0.1)
            queried += bool(step.peers)
        # Rounds at 0, 3, 9 and 22 s, each of two queries until the timeout.
        assert queried <= 4 * 2

    def test_an_old_view_causes_reads_and_queries_to_all_domains(self) -> None:
        peers = [*PEERS, make_peer("f-1", "b")]
        plan = RefreshPlan(peers[0].name, "a")
        queried: set[str] = set()
        reads = 0
        for tick in range(40):
            step = plan.next_step(peers, 3.0, 100.0 + tick * 0.1)
            reads += step.read_store
            queried |= {peer.name for peer in step.peers}
        assert reads >= 4
        assert "f-1" in queried


class TestRefusedReads:
    def test_reads_less_often_while_the_store_refuses(self) -> None:
        # Guards against charges for refused calls: the store refused a third of the
        # instances for 9 s, they retried at full rate, and half of all calls were such.
        plan = RefreshPlan(FIRST, "a")
        reads = 0
        for tick in range(100):
            if plan.next_step(PEERS, 2.0 + tick * 0.1, 100.0 + tick * 0.1).read_store:
                reads += 1
                plan.record_read(100.0 + tick * 0.1, succeeded=False)
        assert reads <= 3 + 10 / MAX_READ_INTERVAL_S

    def test_one_good_read_restores_the_usual_interval(self) -> None:
        plan = RefreshPlan(FIRST, "a")
        plan.next_step(PEERS, 2.0, 100.0)
        for _ in range(20):
            plan.record_read(100.0, succeeded=False)
        plan.record_read(100.0, succeeded=True)
        later = 100.0 + REFRESH_INTERVAL_S + 0.01
        assert plan.next_step(PEERS, 0.1, later).read_store


class TestReturnOfTheStore:
    def test_a_lone_instance_keeps_reading_often(self) -> None:
        # Guards against a server that left, retained for 2 s from a first read that
        # came 2.8 s after the return of the store.
        plan, lone = RefreshPlan(FIRST, "a"), [make_peer(FIRST)]
        times_s = []
        for tick in range(100):
            now = 100.0 + tick * 0.1
            if plan.next_step(lone, 2.0, now).read_store:
                times_s.append(now)
                plan.record_read(now, succeeded=False)
        gaps_s = [later - time for time, later in pairwise(times_s)]
        assert max(gaps_s) <= FALLBACK_READ_INTERVAL_S + RETURN_MARGIN_S

    def test_a_read_that_hangs_does_not_delay_the_return(self) -> None:
        plan = RefreshPlan(FIRST, "a")
        plan.next_step([make_peer(FIRST)], 2.0, 100.0)
        assert plan.latest_return_s(100.0) == 100.0
        plan.record_read(100.0, succeeded=False)
        assert plan.latest_return_s(100.5) == 100.5
        longest_s = FALLBACK_READ_INTERVAL_S + RETURN_MARGIN_S
        assert plan.latest_return_s(103.0) == 100.0 + longest_s
