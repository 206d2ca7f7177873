"""Pattern: a datagram that is well-formed but wrong, or meant for a predecessor.

It costs at most itself: no server becomes unusable, and nothing counts as verified that
this process did not ask about.
"""

from __future__ import annotations

import math

import msgspec
import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from gentianhitch.instances.datagrams import Datagrams
from gentianhitch.instances.datagrams import FreshnessReply
from gentianhitch.instances.datagrams import LoadReport
from gentianhitch.instances.datagrams import Message
from gentianhitch.proxy.digests import route_digest
from gentianhitch.proxy.digests import server_digest
from tests.builders_deployment import SimulatedDeployment
from tests.builders_proxy import make_workspace
from tests.builders_reports import ROUTE
from tests.builders_reports import SERVERS
from tests.builders_reports import ReportingFleet

LINK_BYTES_PER_S = 1e6
SENDER = ("127.0.0.1", 7000)

numbers = st.integers(-(2**63), 2**64 - 1)
floats = st.floats()
values = st.recursive(
    st.none() | st.booleans() | numbers | floats | st.binary(max_size=8) | st.text(),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.text(max_size=4), inner, max_size=3)
    ),
    max_leaves=12,
)
servers = numbers | st.sampled_from([server_digest(each.key) for each in SERVERS])
routes = numbers | st.just(route_digest(ROUTE.name))


@st.composite
def load_reports(draw: st.DrawFn) -> list[object]:
    """Draw a report of the right shape, each field from all values of its type."""
    count = st.integers(-(2**40), 2**40)
    return [
        4,
        draw(st.sampled_from(["a-0", "b-1", "", "other"])),
        draw(count),
        draw(floats),
        draw(st.booleans()),
        draw(
            st.dictionaries(
                st.sampled_from(["north", "other"]), st.tuples(count, count, count)
            )
        ),
        draw(st.lists(st.tuples(servers, routes, st.lists(numbers, max_size=3)))),
        draw(st.lists(st.tuples(servers, routes, numbers, st.integers(-1, 9)))),
        False,
        draw(st.lists(servers, max_size=3)),
        draw(st.dictionaries(servers, st.lists(numbers, max_size=3), max_size=3)),
    ]


def receive_all(data: bytes) -> ReportingFleet:
    """Have an instance receive one datagram, then serve for two seconds."""
    fleet = ReportingFleet("ab", 2)
    received: list[Message] = []
    counts: list[str] = []
    port = Datagrams(lambda message, sender: received.append(message), counts.append)
    port.datagramReceived(data, SENDER)
    assert len(received) + len(counts) == 1
    for message in received:
        if isinstance(message, LoadReport):
            fleet.reports_by_name["a-1"].receive(message)
    for _ in range(20):
        fleet.clock.advance(0.1)
    return fleet


class TestReports:
    @settings(max_examples=150, deadline=None, derandomize=True)
    @given(load_reports())
    def test_a_report_with_any_values_leaves_the_servers_usable(
        self, report: list[object]
    ) -> None:
        fleet = receive_all(msgspec.msgpack.encode(report))
        balancer, now = fleet.balancers_by_name["a-1"], fleet.clock.seconds()
        assert balancer.choose("stock", ROUTE, now) is not None
        for server in SERVERS:
            assert 0.0 <= balancer.gray_probability(server, ROUTE, now) <= 1.0

    @settings(max_examples=150, deadline=None, derandomize=True)
    @given(load_reports())
    def test_a_report_with_any_values_breaks_no_limit(
        self, report: list[object]
    ) -> None:
        fleet = receive_all(msgspec.msgpack.encode(report))
        quotas, now = fleet.quotas_by_name["a-1"], fleet.clock.seconds()
        workspace = make_workspace()
        admitted = 0
        while quotas.admit(workspace, now) == 0 and admitted < 1_000:
            admitted += 1
        tolerance = quotas.tolerance
        assert admitted <= tolerance.window_limit(
            workspace
        ) + tolerance.window_tolerance(workspace)

    @settings(max_examples=300, deadline=None, derandomize=True)
    @given(st.binary(max_size=64) | values.map(msgspec.msgpack.encode))
    def test_any_bytes_are_a_message_or_counted(self, data: bytes) -> None:
        receive_all(data)


class TestReplies:
    @pytest.mark.parametrize("ahead_s", [1_000.0, 0.001, -0.001, -5.0])
    @pytest.mark.parametrize("age_s", [0.0, -1_000.0, math.nan, -math.inf])
    def test_a_reply_to_a_query_never_sent_verifies_nothing(
        self, ahead_s: float, age_s: float
    ) -> None:
        # Guards against a withdrawn key that goes on working: a peer that was suspended
        # replies to a predecessor's query, whose clock began before the last boot.
        deployment = SimulatedDeployment([LINK_BYTES_PER_S] * 3, servers=4)
        deployment.advance(5.0)
        instance, peer = deployment.instances[:2]
        now = deployment.network.clock.seconds()
        view = instance.store_view
        before_s = (view.listing_verified_s, view.configuration_verified_s)
        reply = FreshnessReply(
            "e-1",
            now + ahead_s,
            age_s,
            peer.store_view.registry.revision,
            peer.store_view.registry.digest,
            age_s,
            peer.store_view.configuration_revision,
        )
        data = msgspec.msgpack.encode(reply)
        instance._datagrams.datagramReceived(data, SENDER)
        assert (view.listing_verified_s, view.configuration_verified_s) == before_s
