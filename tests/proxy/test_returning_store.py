"""Pattern: a store that is away for a moment and returns from a copy.

It has lost what it acknowledged since the copy was made, gives revisions out again, and
the operator and the servers write again what they had written.
"""

from __future__ import annotations

from tests.builders_deployment import SimulatedDeployment
from tests.builders_deployment import make_document

LINK_BYTES_PER_S = 1e6
INSTANCES = 9
SERVERS = 12
CONTACT_S = 3.0
APPLY_S = 2.0
"""Bounds of the deployments of the incident."""


class ReturningStore:
    """A deployment whose store returns from a copy without the newest version, 4."""

    def __init__(self) -> None:
        self.deployment = SimulatedDeployment([LINK_BYTES_PER_S] * INSTANCES, SERVERS)
        self.deployment.advance(5.0)
        self.configure(2)
        self.deployment.advance(1.0)
        self.copy = self.deployment.store.store.copy()
        self.deployment.advance(3.0)
        for version in (3, 4):
            self.configure(version)
            self.deployment.advance(1.0)
        self.deployment.advance(1.0)
        assert self.deployment.versions() == [4] * INSTANCES

    def configure(self, version: int) -> None:
        self.deployment.configure(make_document(version, 20))


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
