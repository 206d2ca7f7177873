"""Pattern: a store that is away for a moment and returns from a copy.

It has lost what it acknowledged since the copy was made, gives revisions out again, and
the operator and the servers write again what they had written.
"""

from __future__ import annotations

import json
from base64 import b64decode

from gentianhitch.proxy.registration import RENEWALS_PER_LEASE
from gentianhitch.proxy.registration import STANDBY_LEASE_S
from tests.builders_deployment import SimulatedDeployment
from tests.builders_deployment import make_document

LINK_BYTES_PER_S = 1e6
INSTANCES = 9
SERVERS = 12
ROUTES = 20
LARGE_ROUTES = 200
"""The configuration is larger than what is read unconditionally."""
CONTACT_S = 3.0
APPLY_S = 2.0
DRAIN_S = 2.0
MAX_AGE_S = 4.85
"""Bounds of the deployments of the incident."""
REREGISTRATION_S = 2.0
"""Time in which entries are to be back after a return."""


class ReturningStore:
    """A deployment whose store returns from a copy without the newest version, 4."""

    def __init__(
        self,
        zones: str = "a",
        *,
        instances: int = INSTANCES,
        routes: int = ROUTES,
        evacuated: str = "",
    ) -> None:
        self.routes = routes
        links = [LINK_BYTES_PER_S] * instances
        self.deployment = SimulatedDeployment(links, SERVERS, zones)
        for zone in evacuated:
            self.deployment.evacuate(zone)
        self.deployment.advance(5.0)
        self.configure(2)
        self.deployment.advance(1.0)
        self.copy = self.deployment.store.store.copy()
        self.deployment.advance(3.0)
        for version in (3, 4):
            self.configure(version)
            self.deployment.advance(1.0)
        self.deployment.advance(1.0)
        assert self.deployment.versions() == [4] * instances

    def configure(self, version: int) -> None:
        self.deployment.configure(make_document(version, self.routes))

    def configuration_ages_s(self) -> list[float]:
        now = self.deployment.network.clock.seconds()
        views = [each.store_view for each in self.deployment.instances]
        return [each.configuration_age_s(now) for each in views]

    def are_verified(self) -> bool:
        """Return whether all instances admit requests with a key."""
        return max(self.configuration_ages_s()) < MAX_AGE_S

    def evacuated(self) -> set[frozenset[str]]:
        """Return the sets of evacuated domains that the instances have."""
        return {each.store_view.evacuated_domains for each in self.deployment.instances}

    def listed(self) -> set[int]:
        """Return the incarnations of the instances that the store lists."""
        records = self.deployment.store.store.range("peers/", "")
        return {json.loads(b64decode(each.value))["incarnation"] for each in records}


class TestLog:
    # Guards against an incident whose logs can't tell a store that returned from one
    # that could not be read.
    def test_tells_of_a_return_and_of_a_configuration_that_is_not_taken(self) -> None:
        scenario = ReturningStore()
        deployment = scenario.deployment
        deployment.return_store(scenario.copy, 1.0, again_s=2.0)
        deployment.advance(1.5)
        returns = deployment.lines("store_returned")
        assert returns
        assert {line["era"] for line in returns} == {1}
        ignored = deployment.lines("configuration_ignored")
        assert {line["version"] for line in ignored} == {2}
        assert {line["version_in_force"] for line in ignored} == {4}


class TestNewConfiguration:
    # Guards against a confirmed change that is in force nowhere, because the store gave
    # it a revision below that of the version known before the return.
    def test_is_in_force_in_time_at_a_lower_revision(self) -> None:
        scenario = ReturningStore()
        deployment = scenario.deployment
        deployment.return_store(scenario.copy, 1.0, again_s=0.5)
        deployment.advance(CONTACT_S)
        scenario.configure(5)
        deployment.advance(APPLY_S)
        assert deployment.versions() == [5] * INSTANCES

    # Guards against an older version that each read confirms, because the newer one has
    # the revision that the older one had before the return.
    def test_is_in_force_in_time_at_the_revision_of_the_one_before(self) -> None:
        scenario = ReturningStore()
        deployment = scenario.deployment
        store = deployment.store.store
        before = store.records_by_key["op/config"].revision
        deployment.return_store(scenario.copy, 1.0, again_s=0.5)
        deployment.advance(CONTACT_S)
        store.revision = before - 1
        scenario.configure(5)
        deployment.advance(APPLY_S)
        assert deployment.versions() == [5] * INSTANCES

    # Guards against a conditional read that takes "unchanged since this revision" for
    # an answer about the configuration that had it before the return.
    def test_is_in_force_in_time_if_it_is_large(self) -> None:
        scenario = ReturningStore(routes=LARGE_ROUTES)
        deployment = scenario.deployment
        store = deployment.store.store
        before = store.records_by_key["op/config"].revision
        deployment.return_store(scenario.copy, 1.0, again_s=60.0)
        deployment.advance(CONTACT_S)
        store.revision = before - 1
        scenario.configure(5)
        deployment.advance(APPLY_S)
        assert deployment.versions() == [5] * INSTANCES
        assert scenario.are_verified()

    # Guards against the second return being ordered by what the first one had shown.
    def test_is_in_force_in_time_after_two_returns(self) -> None:
        scenario = ReturningStore()
        deployment = scenario.deployment
        for _ in range(2):
            deployment.return_store(scenario.copy, 1.0, again_s=0.5)
            deployment.advance(1.0)
        deployment.advance(CONTACT_S)
        scenario.configure(5)
        deployment.advance(APPLY_S)
        assert deployment.versions() == [5] * INSTANCES

    # Guards against an instance without a past that is offered an older configuration
    # at a higher revision.
    def test_is_in_force_at_instances_that_start_after_the_return(self) -> None:
        scenario = ReturningStore()
        deployment = scenario.deployment
        deployment.return_store(scenario.copy, 1.0, again_s=0.5)
        deployment.advance(CONTACT_S)
        scenario.configure(5)
        for number in (0, 4, 8):
            deployment.restart(number)
        deployment.advance(APPLY_S)
        assert deployment.versions() == [5] * INSTANCES


class TestKnownConfiguration:
    # Guards against a configuration that came back older: the copy has version 2.
    def test_stays_in_force_until_it_is_written_again(self) -> None:
        scenario = ReturningStore()
        deployment = scenario.deployment
        deployment.return_store(scenario.copy, 1.0, again_s=1.5)
        for _ in range(40):
            deployment.advance(0.1)
            assert deployment.versions() == [4] * INSTANCES
        assert scenario.are_verified()

    # Guards against an answer without a doubt where a key may have been withdrawn.
    def test_is_not_confirmed_by_the_copy(self) -> None:
        scenario = ReturningStore()
        deployment = scenario.deployment
        deployment.return_store(scenario.copy, 1.0, again_s=60.0)
        deployment.advance(5.0)
        assert deployment.versions() == [4] * INSTANCES
        assert min(scenario.configuration_ages_s()) > 5.0

    def test_reaches_an_instance_that_starts_after_the_return(self) -> None:
        scenario = ReturningStore()
        deployment = scenario.deployment
        deployment.return_store(scenario.copy, 1.0, again_s=60.0)
        deployment.restart(4)
        deployment.advance(1.5)
        assert deployment.versions() == [4] * INSTANCES


class TestListing:
    # Guards against requests that go to a server which has left.
    def test_a_removed_server_does_not_come_back(self) -> None:
        scenario = ReturningStore()
        deployment = scenario.deployment
        deployment.remove_server(3)
        deployment.advance(2.0)
        deployment.return_store(scenario.copy, 1.0, again_s=0.5)
        for _ in range(40):
            deployment.advance(0.1)
            assert deployment.users_of(3) == []

    # Guards against requests to a server that drains, which the copy shows as ready.
    def test_a_draining_server_stays_unused(self) -> None:
        scenario = ReturningStore()
        deployment = scenario.deployment
        deployment.drain_server(3)
        deployment.advance(2.0)
        deployment.return_store(scenario.copy, 1.0, again_s=0.5)
        for _ in range(40):
            deployment.advance(0.1)
            assert deployment.users_of(3) == []

    def test_an_added_server_stays_in_use(self) -> None:
        scenario = ReturningStore()
        deployment = scenario.deployment
        deployment.add_server(SERVERS, "a")
        deployment.advance(2.0)
        deployment.return_store(scenario.copy, 1.0, again_s=0.5)
        for _ in range(40):
            deployment.advance(0.1)
            assert len(deployment.users_of(SERVERS)) == INSTANCES

    # Guards against departures that are missed while revisions are lower than before.
    def test_a_server_that_leaves_after_the_return_is_not_used(self) -> None:
        scenario = ReturningStore()
        deployment = scenario.deployment
        deployment.return_store(scenario.copy, 1.0, again_s=0.5)
        deployment.advance(1.0)
        deployment.drain_server(3)
        deployment.advance(DRAIN_S)
        assert deployment.users_of(3) == []


class TestEvacuations:
    # Guards against servers of an evacuated failure domain that are used again.
    def test_an_evacuated_domain_stays_unused(self) -> None:
        scenario = ReturningStore("abc")
        deployment = scenario.deployment
        deployment.evacuate("b")
        deployment.advance(2.0)
        deployment.return_store(scenario.copy, 1.0, again_s=1.0)
        for _ in range(40):
            deployment.advance(0.1)
            assert scenario.evacuated() == {frozenset("b")}

    def test_an_ended_evacuation_does_not_come_back(self) -> None:
        scenario = ReturningStore("abc", evacuated="b")
        deployment = scenario.deployment
        deployment.cancel_evacuation("b")
        deployment.advance(2.0)
        deployment.return_store(scenario.copy, 1.0, again_s=1.0)
        for _ in range(40):
            deployment.advance(0.1)
            assert scenario.evacuated() == {frozenset()}

    # Guards against an evacuation that is missed while revisions are lower than before.
    def test_an_evacuation_after_the_return_is_in_force(self) -> None:
        scenario = ReturningStore("abc")
        deployment = scenario.deployment
        deployment.return_store(scenario.copy, 1.0, again_s=1.0)
        deployment.advance(0.5)
        deployment.evacuate("b")
        deployment.advance(APPLY_S)
        assert scenario.evacuated() == {frozenset("b")}


class TestRegistration:
    # Guards against instances that callers and others don't find, because the copy
    # lacks their lease and each learns of it only when the next renewal is due.
    def test_instances_are_listed_again_in_time(self) -> None:
        scenario = ReturningStore(instances=INSTANCES * 4)
        deployment = scenario.deployment
        for number in range(len(deployment.instances)):
            deployment.restart(number)
        # Those in standby have just renewed their lease.
        deployment.advance(STANDBY_LEASE_S / RENEWALS_PER_LEASE + 0.5)
        started = {each._incarnation for each in deployment.instances}
        assert scenario.listed() == started
        deployment.return_store(scenario.copy, 0.5, again_s=0.5)
        deployment.advance(REREGISTRATION_S)
        assert scenario.listed() == started
