"""Pattern: connects to many servers fail at once, while these servers are sound.

An upload wave fills the instance's own link, or the instance is cut off. That must be
told from a dead server and from a dead failure domain of servers.
"""

from __future__ import annotations

from random import Random
from typing import Any
from typing import cast

import pytest
from twisted.internet.task import Clock

from gentianhitch.backend_servers.errors import ConnectError
from gentianhitch.proxy.balancing import Balancer
from gentianhitch.proxy.own_link import CONNECT_WINDOW_S
from gentianhitch.proxy.own_link import MAX_SUSPECTED_S
from gentianhitch.proxy.own_link import MIN_TIMED_OUT_SERVERS
from gentianhitch.proxy.own_link import ROUND_TRIP_S
from gentianhitch.proxy.own_link import LinkBelief
from gentianhitch.proxy.own_link import OwnLink
from gentianhitch.proxy.server_reach import ServerReach
from tests.builders_deployment import server_host
from tests.builders_proxy import make_server
from tests.builders_uploads import UploadDeployment

SLOW_LINK = 5e6 / 8
"""Bytes a second of 5 Mbit/s, the slowest link of the large deployments."""

TWICE_THE_LINK_PER_S = 20.0
"""Uploads of 60 kB a second that need twice such a link."""

AT_ONCE_S = 0.05
DOMAINS = "abc"


def time_out(link: OwnLink, count: int, now: float, domains: str = DOMAINS) -> None:
    """Have connects to ``count`` servers of ``domains`` time out, 0.01 s apart."""
    for number in range(count):
        domain = domains[number % len(domains)]
        link.record_timeout(f"{domain}-{number}", domain, now + number / 100)


def answer(link: OwnLink, count: int, now: float, domains: str = DOMAINS) -> None:
    """Have ``count`` other servers of ``domains`` answer, 0.01 s apart."""
    for number in range(count):
        domain = domains[number % len(domains)]
        link.record_answer(
            f"{domain}-{100 + number}", domain, now + number / 100, is_connect=True
        )


def make_link() -> OwnLink:
    return OwnLink(failure_domains=len(DOMAINS))


class TestEvidence:
    def test_servers_of_several_domains_that_time_out_point_at_the_link(self) -> None:
        link = make_link()
        time_out(link, MIN_TIMED_OUT_SERVERS - 1, 10.0)
        assert not link.is_suspected(10.1)
        time_out(link, MIN_TIMED_OUT_SERVERS, 10.1)
        assert link.is_suspected(10.2)

    def test_a_few_answers_do_not_excuse_the_link(self) -> None:
        # Guards against evidence against 118 servers from a full link over which one
        # connect in twenty still succeeded.
        link = make_link()
        answer(link, 1, 10.0)
        time_out(link, 10, 10.0)
        answer(link, 1, 10.2)
        assert link.is_suspected(10.3)

    def test_answers_from_before_the_failures_do_not_count(self) -> None:
        link = make_link()
        answer(link, 30, 10.0 - 2 * ROUND_TRIP_S)
        time_out(link, 6, 10.0)
        assert link.is_suspected(10.1)

    def test_one_dead_server_does_not_point_at_the_link(self) -> None:
        link = make_link()
        for number in range(20):
            link.record_timeout("a-1", "a", 10.0 + number / 50)
        assert not link.is_suspected(10.5)
        assert not link.silent_domains(10.5)

    def test_a_dead_domain_does_not_point_at_the_link(self) -> None:
        # Guards against refusals while the servers of two domains are sound.
        link = make_link()
        time_out(link, 40, 10.0, "a")
        assert not link.is_suspected(10.5)
        assert link.silent_domains(10.5) == {"a"}
        answer(link, 5, 10.5, "bc")
        time_out(link, 10, 10.6, "a")
        assert not link.is_suspected(10.7)
        assert link.silent_domains(10.7) == {"a"}

    def test_a_dead_domain_and_a_dead_server_elsewhere(self) -> None:
        link = make_link()
        answer(link, 4, 10.0, "bc")
        time_out(link, 10, 10.05, "a")
        link.record_timeout("b-1", "b", 10.2)
        assert not link.is_suspected(10.3)

    def test_two_dead_domains_of_three(self) -> None:
        # The third may not have been tried yet; its answers end the suspicion for good.
        link = make_link()
        time_out(link, 12, 10.0, "ab")
        answer(link, 6, 10.2, "c")
        assert not link.is_suspected(10.3)
        time_out(link, 8, 10.35, "ab")
        assert not link.is_suspected(10.5)
        assert link.silent_domains(10.5) == {"a", "b"}

    def test_a_domain_with_dead_servers_that_also_answers_is_not_avoided(self) -> None:
        link = make_link()
        time_out(link, 3, 10.0, "a")
        answer(link, 2, 10.0, "a")
        assert not link.silent_domains(10.1)

    def test_servers_of_a_single_domain(self) -> None:
        link = OwnLink(failure_domains=1)
        time_out(link, MIN_TIMED_OUT_SERVERS, 10.0, "a")
        assert link.is_suspected(10.1)


class TestRecovery:
    def test_two_answers_in_a_row_end_the_suspicion(self) -> None:
        link = make_link()
        time_out(link, 6, 10.0)
        answer(link, 1, 10.2)
        assert link.is_suspected(10.2)
        time_out(link, 1, 10.2 + ROUND_TRIP_S)
        answer(link, 1, 10.7)
        assert link.is_suspected(10.7)
        answer(link, 1, 10.8)
        assert not link.is_suspected(10.8)

    def test_responses_on_open_connections_do_not_end_it(self) -> None:
        link = make_link()
        time_out(link, 6, 10.0)
        for number in range(5):
            link.record_answer(f"a-{number}", "a", 10.2, is_connect=False)
        assert link.is_suspected(10.3)

    def test_connects_that_began_before_do_not_renew_it(self) -> None:
        link = make_link()
        time_out(link, 6, 10.0)
        answer(link, 2, 10.2)
        time_out(link, 6, 10.21)
        assert not link.is_suspected(10.3)

    def test_it_ends_when_nothing_is_known_any_more(self) -> None:
        link = make_link()
        time_out(link, 6, 10.0)
        assert link.is_suspected(10.0 + MAX_SUSPECTED_S)
        assert not link.is_suspected(10.1 + MAX_SUSPECTED_S)

    @pytest.mark.parametrize("half_period_s", [0.3, 0.7, 1.5])
    def test_a_flapping_link_changes_the_belief_rarely(
        self, half_period_s: float
    ) -> None:
        # Guards against a belief that swings with every probe.
        link = make_link()
        beliefs = []
        now = 10.0
        while now < 30.0:
            if int(now / half_period_s) % 2:
                answer(link, 1, now)
            else:
                time_out(link, 3, now)
            beliefs.append(link.is_suspected(now + 0.05))
            now += 0.1
        changes = sum(
            before != after for before, after in zip(beliefs, beliefs[1:], strict=False)
        )
        assert changes <= 2 * 20.0 / (2 * half_period_s) + 2

    def test_probes_are_spaced(self) -> None:
        link = make_link()
        probes = sum(link.try_probe(10.0 + step / 100) for step in range(100))
        assert probes == 5


class TestReach:
    def test_evacuated_domains_are_not_expected_to_answer(self) -> None:
        # Guards against a full link that is not noticed since all connects go to the
        # one failure domain that is not evacuated.
        balancer = Balancer("e-1", "a", Random(1))
        servers = [
            make_server(f"{domain}-{number}", failure_domain=domain)
            for domain in DOMAINS
            for number in range(4)
        ]
        balancer.update(servers, 0.0)
        balancer.set_evacuated(frozenset("bc"), 0.0)
        beliefs: list[LinkBelief] = []
        reach = ServerReach(Clock(), balancer, cast("Any", None), beliefs.append)
        for server in servers[:MIN_TIMED_OUT_SERVERS]:
            reach.record_failure(server, ConnectError("timed out"))
        assert reach.is_suspected()
        assert [belief.is_suspected for belief in beliefs] == [True]


class TestUploadWave:
    """An upload wave of twice the link fills the queue before it.

    The settings do not tell the link's rate, as when a link is slower than they say.
    """

    def make_wave(self) -> UploadDeployment:
        wave = UploadDeployment([SLOW_LINK] * 3, tells_links=False)
        wave.send_wave(TWICE_THE_LINK_PER_S, 6.0)
        return wave

    def test_there_is_no_evidence_against_the_servers(self) -> None:
        # Guards against 606 failed connects to 116 sound servers, each of which took
        # it for a broken path.
        wave = self.make_wave()
        assert wave.servers_with_path_evidence() == 0

    def test_requests_are_refused_at_once_while_connects_fail(self) -> None:
        # Guards against requests that are held for four connects of 0.41 s and then
        # refused; the first ones may wait for two.
        wave = self.make_wave()
        wave.advance(8.0)
        refused_after_s = wave.refused_after_s()
        assert len(refused_after_s) > 50
        assert max(refused_after_s) < 2 * ROUND_TRIP_S + AT_ONCE_S
        at_once = [each for each in refused_after_s if each < AT_ONCE_S]
        assert len(at_once) >= 0.9 * len(refused_after_s)
        refused = [each for each in wave.uploads if each.status == 503]
        assert all(float(each.retry_after) > 0 for each in refused)

    def test_uploads_are_served_once_connects_succeed_again(self) -> None:
        wave = self.make_wave()
        wave.advance(8.0)
        events = wave.count_events()
        assert events["own_link_suspected"] >= 1
        assert events["own_link_trusted"] == events["own_link_suspected"]
        upload = wave.send()
        wave.advance(2.0)
        assert upload.status == 200


class TestUnreachableServers:
    """Connects time out at a link that has room."""

    def make_deployment(self, *numbers: int) -> UploadDeployment:
        deployment = UploadDeployment([SLOW_LINK] * 3, servers=60)
        deployment.network.cut_hosts |= {server_host(number) for number in numbers}
        return deployment

    def test_a_dead_domain_costs_one_connect(self) -> None:
        # Guards against requests that try one server of a dead domain after another.
        deployment = self.make_deployment(*range(0, 60, 3))
        deployment.send_wave(4.0, 5.0)
        deployment.advance(2.0)
        assert {each.status for each in deployment.uploads} == {200}
        assert max(each.elapsed_s for each in deployment.uploads) < 3 * ROUND_TRIP_S
        assert not deployment.count_events()["own_link_suspected"]

    def test_one_dead_server_is_avoided(self) -> None:
        deployment = self.make_deployment(0)
        deployment.send_wave(4.0, 5.0)
        deployment.advance(2.0)
        assert {each.status for each in deployment.uploads} == {200}
        assert not deployment.count_events()["own_link_suspected"]

    def test_an_instance_that_is_cut_off_refuses_at_once(self) -> None:
        # Guards against an instance that is back and avoids all servers, since it could
        # reach none before.
        deployment = self.make_deployment(*range(60))
        deployment.send_wave(4.0, 4.0)
        refused_after_s = deployment.refused_after_s()
        assert max(refused_after_s) < 2 * ROUND_TRIP_S + AT_ONCE_S
        assert sorted(refused_after_s)[len(refused_after_s) // 2] < AT_ONCE_S
        assert deployment.servers_with_path_evidence() == 0
        deployment.network.cut_hosts.clear()
        deployment.send_wave(4.0, 1.0)
        last = [deployment.send() for _ in range(3)]
        deployment.advance(2.0)
        assert {each.status for each in last} == {200}

    def test_open_connections_are_used_while_connects_fail(self) -> None:
        deployment = self.make_deployment()
        # The connection of a large body is not used again.
        deployment.send_wave(4.0, 1.0, size=2_000)
        deployment.network.cut_hosts |= {server_host(number) for number in range(60)}
        for _ in range(20):
            deployment.send(size=2_000)
        deployment.advance(2.0 * CONNECT_WINDOW_S)
        assert deployment.count_events()["own_link_suspected"] == 1
        upload = deployment.send(size=2_000)
        deployment.advance(1.0)
        assert upload.status == 200
