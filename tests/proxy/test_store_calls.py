"""Pattern: a calm day, on which the calls to the store are a large part of the price.

Each failure domain reads the store once an interval, whatever its size; only a large
configuration takes a second call, which returns nothing while it is unchanged.
"""

from __future__ import annotations

import pytest

from gentianhitch.proxy.sources import REFRESH_INTERVAL_S
from tests.builders_deployment import SimulatedDeployment
from tests.builders_deployment import make_document

LINK_BYTES_PER_S = 1e6
DOMAINS = 3
CALM_S = 10.0
MAX_RECOVERY_S = 1.0

CONTACT_S = 3.0
"""After this time without a disruption an instance may not use servers that left."""

READS = ("kv-range", "kv-key", "kv-txn")


def count_reads(deployment: SimulatedDeployment) -> int:
    """Return the reads of a calm time after the instances have registered."""
    deployment.advance(4.0)
    before = deployment.store.calls_by_name.copy()
    deployment.advance(CALM_S)
    return sum(deployment.store.calls_by_name[name] - before[name] for name in READS)


@pytest.mark.parametrize("instances", [6, 24])
class TestCalmDay:
    def test_each_failure_domain_reads_once_an_interval(self, instances: int) -> None:
        deployment = SimulatedDeployment([LINK_BYTES_PER_S] * instances, servers=20)
        reads = DOMAINS * (CALM_S / REFRESH_INTERVAL_S + 1)
        assert count_reads(deployment) <= reads
        assert deployment.versions() == [1] * instances

    def test_a_large_configuration_takes_a_second_call(self, instances: int) -> None:
        deployment = SimulatedDeployment([LINK_BYTES_PER_S] * instances, servers=20)
        deployment.configure(make_document(2, 400))
        reads = 2 * DOMAINS * (CALM_S / REFRESH_INTERVAL_S + 1)
        assert count_reads(deployment) <= reads
        assert deployment.versions() == [2] * instances


class TestReturnOfTheStore:
    @pytest.mark.parametrize("instances", [12, 36])
    @pytest.mark.parametrize("outage_s", [3.0, 4.5, 7.0, 9.3])
    def test_all_instances_are_fresh_within_a_second(
        self, instances: int, outage_s: float
    ) -> None:
        # Guards against a second outage after the store's: all instances read in step,
        # the last time 1.1 s before it was back, the next 1.7 s after.
        deployment = SimulatedDeployment([LINK_BYTES_PER_S] * instances, servers=20)
        deployment.advance(5.0)
        deployment.store.is_down = True
        deployment.advance(outage_s)
        calls = deployment.store.calls_by_name["kv-range"]
        deployment.store.is_down = False
        deployment.advance(MAX_RECOVERY_S)
        now = deployment.network.clock.seconds()
        ages_s = [each.store_view.age_s(now) for each in deployment.instances]
        assert max(ages_s) < MAX_RECOVERY_S
        assert deployment.store.calls_by_name["kv-range"] - calls <= 2 * instances


class TestLoneInstance:
    @pytest.mark.parametrize("outage_s", [3.2, 3.6, 4.5, 5.0, 7.0, 9.3])
    def test_drops_a_server_that_left_soon_after_the_return(
        self, outage_s: float
    ) -> None:
        # Guards against orders to a server that left while the only instance was
        # cut from the store: it was retained for 2 s from a first read 2.8 s late.
        deployment = SimulatedDeployment([LINK_BYTES_PER_S], servers=9)
        deployment.advance(5.0)
        deployment.store.is_down = True
        deployment.advance(1.0)
        deployment.remove_server(1)
        deployment.advance(outage_s - 1.0)
        deployment.store.is_down = False
        deployment.advance(CONTACT_S - 0.1)
        assert deployment.users_of(1) == []


class TestOneRead:
    def test_servers_are_updated_though_the_configuration_is_malformed(self) -> None:
        deployment = SimulatedDeployment([LINK_BYTES_PER_S] * 6, servers=4)
        deployment.advance(4.0)
        deployment.configure({"version": "two"})
        deployment.remove_server(1)
        deployment.advance(3.0)
        assert deployment.users_of(1) == []
        assert deployment.versions() == [1] * 6
