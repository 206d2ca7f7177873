from __future__ import annotations

from tests.builders_deployment import SimulatedDeployment
from tests.builders_deployment import make_document

SLOW_LINK = 5e6 / 8
"""Bytes a second of 5 Mbit/s, the slowest link of the large deployments."""

INSTANCES = 24
SERVERS = 262
APPLY_S = 2.5
DRAIN_S = 2.5
"""The bounds of the large deployments."""


def make_deployment() -> SimulatedDeployment:
    deployment = SimulatedDeployment([SLOW_LINK] * INSTANCES, SERVERS)
    deployment.advance(6.0)
    assert deployment.versions() == [1] * INSTANCES
    return deployment


class TestLargeConfiguration:
    # Guards against changes that come into force late or never, if every change sends
    # the complete view over links on which that takes longer than the timeout.
    def test_later_changes_are_in_force_everywhere_in_time(self) -> None:
        deployment = make_deployment()
        for version in (2, 3, 4):
            deployment.configure(make_document(version, 1_420))
            deployment.advance(APPLY_S)
            assert deployment.versions() == [version] * INSTANCES

    # Guards against requests to stopped servers when the update of the listing waits
    # for the transfer of a large configuration.
    def test_a_stopped_server_gets_no_requests_after_the_bound(self) -> None:
        deployment = make_deployment()
        deployment.configure(make_document(2, 1_420))
        deployment.advance(0.5)
        deployment.drain_server(7)
        deployment.remove_server(8)
        deployment.advance(DRAIN_S)
        assert deployment.users_of(7) == []
        assert deployment.users_of(8) == []

    # Guards against leases that expire because transfers fill their holders' links.
    def test_every_instance_stays_listed(self) -> None:
        deployment = make_deployment()
        for version in range(2, 8):
            deployment.configure(make_document(version, 1_420))
            deployment.advance(1.0)
            assert deployment.listed() == INSTANCES


class TestRelease:
    # Guards against failing transfers during a release: each replaced server changes
    # the view, and each change sent the complete view.
    def test_each_removed_server_is_dropped_everywhere_in_time(self) -> None:
        deployment = make_deployment()
        for number in range(12):
            deployment.remove_server(number)
            deployment.advance(0.25)
        deployment.advance(DRAIN_S - 0.25)
        assert [deployment.users_of(number) for number in range(12)] == [[]] * 12
