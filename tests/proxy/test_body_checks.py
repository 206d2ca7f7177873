"""Pattern: uploads of 60 kB, at twice what an instance's link carries.

A body that can't be served is refused at the head of its request.
"""

from __future__ import annotations

import re

import pytest

from gentianhitch.backend_servers.server_connections import CONNECT_TIMEOUT_S
from gentianhitch.backend_servers.server_connections import MAX_QUEUE_TIMEOUT_S
from gentianhitch.callers.complete_requests import CallerRequest
from gentianhitch.callers.refusals import Cause
from gentianhitch.proxy.admission_queue import MAX_HELD_SHARE
from gentianhitch.proxy.own_limits import BYTES_PER_MBIT
from gentianhitch.proxy.own_limits import MAX_QUEUE_S
from gentianhitch.proxy.own_limits import OwnLimits
from gentianhitch.proxy.own_link import ROUND_TRIP_S
from tests.builders_body_checks import SLOW_MBPS
from tests.builders_body_checks import CheckedServer
from tests.builders_uploads import UPLOAD_BYTES
from tests.builders_uploads import UploadDeployment

SLOW_LINK = SLOW_MBPS * BYTES_PER_MBIT
LARGEST_BODY_BYTES = 64 * 1024 * 1024
AT_ONCE_S = 0.05


class TestHead:
    def test_an_upload_that_can_be_served_is_read(self) -> None:
        server = CheckedServer()
        assert server.check(UPLOAD_BYTES) is None
        assert server.limits.crossing_s(0, server.clock.seconds()) > 0

    def test_an_unknown_key_or_route_is_refused(self) -> None:
        server = CheckedServer()
        refusals = [
            server.check(UPLOAD_BYTES, key="other"),
            server.check(UPLOAD_BYTES, target=b"/elsewhere"),
        ]
        causes = [None if each is None else each.cause for each in refusals]
        assert causes == [Cause.UNAUTHORISED, Cause.UNKNOWN_ROUTE]

    def test_without_quota_left(self) -> None:
        # Guards against a body of 60 kB that was read for 2.2 s, and its request then
        # refused for its workspace's quota.
        server = CheckedServer()
        server.use_up_quota()
        refusal = server.check(UPLOAD_BYTES)
        assert refusal is not None
        assert refusal.cause is Cause.OVER_RATE
        assert refusal.retry_after_s is not None
        assert refusal.retry_after_s > MAX_HELD_SHARE

    def test_bodies_that_are_being_read_count_for_the_quota(self) -> None:
        server = CheckedServer(link_mbps=99.0)
        accepted = 0
        while server.check(UPLOAD_BYTES) is None:
            accepted += 1
        # One more may be held for the quota, as a request that is complete.
        assert server.quota <= accepted <= server.quota + 1
        # One is complete: it is counted by the quota itself from now on.
        server.serve(UPLOAD_BYTES)
        assert server.check(UPLOAD_BYTES) is not None

    def test_bodies_that_were_given_up_do_not_count_for_long(self) -> None:
        server = CheckedServer(link_mbps=99.0)
        while server.check(UPLOAD_BYTES) is None:
            pass
        server.clock.advance(1.0)
        assert server.check(UPLOAD_BYTES) is None

    def test_a_busy_link(self) -> None:
        server = CheckedServer()
        while server.check(UPLOAD_BYTES) is None:
            assert server.limits.crossing_s(0, server.clock.seconds()) < 1.0
        refusal = server.check(UPLOAD_BYTES)
        assert refusal is not None
        assert refusal.cause is Cause.LINK_FULL
        assert refusal.retry_after_s is not None
        server.clock.advance(refusal.retry_after_s)
        assert server.check(UPLOAD_BYTES) is None

    def test_connects_wait_for_less_than_their_timeout(self) -> None:
        server = CheckedServer()
        for _ in range(100):
            server.clock.advance(0.05)
            server.check(UPLOAD_BYTES)
            queue_s = server.limits.queue_s(server.clock.seconds())
            assert queue_s < MAX_QUEUE_S + 1.1 * UPLOAD_BYTES / SLOW_LINK
            assert queue_s < CONNECT_TIMEOUT_S + MAX_QUEUE_TIMEOUT_S

    def test_a_body_too_large_for_its_objective_beside_others(self) -> None:
        server = CheckedServer()
        assert server.check(UPLOAD_BYTES) is None
        refusal = server.check(700_000)
        assert refusal is not None
        assert refusal.cause is Cause.LINK_FULL

    def test_a_large_body_alone_is_read_if_it_meets_its_deadline(self) -> None:
        server = CheckedServer(remaining_s=300.0)
        assert server.check(LARGEST_BODY_BYTES) is None
        server = CheckedServer(remaining_s=10.0)
        assert server.check(LARGEST_BODY_BYTES) is not None

    def test_a_body_that_grows(self) -> None:
        server = CheckedServer()
        size = 16_384
        assert server.check(size) is None
        for _ in range(20):
            before, size = size, 2 * size
            refusal = server.check(size, added=size - before)
            if refusal is not None:
                break
        assert refusal is not None
        assert refusal.cause is Cause.LINK_FULL
        assert size < LARGEST_BODY_BYTES

    @pytest.mark.parametrize("link_mbps", [100.0, 1000.0])
    def test_fast_links_refuse_nothing(self, link_mbps: float) -> None:
        server = CheckedServer(link_mbps=link_mbps)
        server.use_up_quota()
        assert server.check(10**9, key="other") is None

    def test_an_error_leaves_the_request_to_be_answered(self) -> None:
        server = CheckedServer()
        server.server.dispatch.limits = None  # type: ignore[assignment]
        server.server.dispatch.limits = OwnLimits(SLOW_MBPS)
        server.server.quotas = None  # type: ignore[assignment]
        server.server.bodies._quotas = None  # type: ignore[assignment]
        assert server.check(UPLOAD_BYTES) is None
        assert server.events.failures == ["AttributeError"]


class TestRefused:
    def test_is_answered_and_logged_like_any_other(self) -> None:
        server = CheckedServer()
        server.use_up_quota()
        request: CallerRequest = server.make_request(UPLOAD_BYTES)
        request.refusal = server.check(UPLOAD_BYTES)
        response = server.answer(request)
        assert response.startswith(b"HTTP/1.1 429 ")
        assert b"Gentianhitch-Outcome: not-run" in response
        assert re.search(rb"Retry-After: \d", response)
        assert server.events.names == ["finished"]


class TestUploadWave:
    """Whole instances behind links of 5 Mbit/s whose settings tell so."""

    @pytest.mark.parametrize("per_s", [20.0, 40.0])
    def test_the_link_serves_what_it_can_carry(self, per_s: float) -> None:
        # Guards against a link that is filled by bodies of which none is served: 8 of
        # 120 uploads were.
        wave = UploadDeployment([SLOW_LINK] * 3)
        wave.send_wave(per_s, 6.0)
        wave.advance(8.0)
        outcomes = wave.count_outcomes()
        carried = 6.0 * SLOW_LINK / UPLOAD_BYTES
        assert outcomes["200"] >= 0.5 * carried
        assert outcomes["0"] == 0

    def test_refusals_come_early(self) -> None:
        wave = UploadDeployment([SLOW_LINK] * 3)
        wave.send_wave(20.0, 6.0)
        wave.advance(8.0)
        refused = [each for each in wave.uploads if each.status == 503]
        assert max(wave.refused_after_s()) < 2 * ROUND_TRIP_S + AT_ONCE_S
        early = [each for each in refused if each.sent_bytes < UPLOAD_BYTES / 2]
        assert len(early) >= 0.9 * len(refused)
        assert all(float(each.retry_after) > 0 for each in refused)

    def test_what_the_link_carries_is_served(self) -> None:
        wave = UploadDeployment([SLOW_LINK] * 3)
        wave.send_wave(8.0, 6.0)
        wave.advance(4.0)
        assert wave.count_outcomes() == {"200": 48}
