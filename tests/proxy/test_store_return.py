"""Pattern: a view of a store that has returned from a copy, in a later era."""

from __future__ import annotations

import attrs
import pytest

from gentianhitch.proxy.model import BackendServer
from gentianhitch.proxy.model import Listing
from gentianhitch.proxy.model import StoredConfiguration
from gentianhitch.proxy.store_return import EXPIRY_HEARTBEATS
from gentianhitch.proxy.store_return import REREGISTRATION_S
from gentianhitch.proxy.store_return import StoreReturn
from gentianhitch.proxy.store_view import StoreView
from tests.builders_proxy import at
from tests.builders_proxy import make_configuration
from tests.builders_proxy import make_listing
from tests.builders_proxy import make_server
from tests.builders_proxy import make_stored

HEARTBEAT_S = 1.5
READ_S = 19.0
RETURNED_S = 20.0


def make_version(version: int, revision: int, era: int = 0) -> StoredConfiguration:
    configuration = attrs.evolve(make_configuration(), version=version)
    return make_stored(revision, configuration, era)


def make_store_view(*servers: BackendServer) -> StoreView:
    """Return the view of an instance that read at revision 50, version 4 among it."""
    store_view = StoreView(HEARTBEAT_S)
    store_view.observe_era(0, READ_S)
    store_view.update_listing(make_listing(50, *servers), READ_S, READ_S)
    store_view.update_configuration(make_version(4, 50), READ_S)
    assert store_view.observe_era(1, RETURNED_S)
    return store_view


def read_later(
    revision: int, *servers: BackendServer, writes: dict[str, int] | None = None
) -> Listing:
    """Return what a read of era 1 shows; ``writes`` are revisions by server."""
    listing = make_listing(revision, *servers, era=1)
    for server in servers:
        listing.writes.servers[server.id] = ((writes or {}).get(server.id, 1), b"")
    return listing


class TestConfiguration:
    def test_a_higher_version_is_taken_at_a_lower_revision(self) -> None:
        store_view = make_store_view()
        assert store_view.update_configuration(make_version(5, 20, era=1), 21.0)
        assert store_view.configuration_age_s(21.5) == 0.5

    def test_a_lower_version_is_neither_taken_nor_confirms(self) -> None:
        store_view = make_store_view()
        assert not store_view.update_configuration(make_version(3, 60, era=1), 21.0)
        assert store_view.configuration_revision.version == 4
        assert store_view.configuration_verified_s == READ_S

    # Guards against a configuration that is never verified again: nobody changes it.
    def test_the_same_version_is_confirmed_at_its_new_revision(self) -> None:
        store_view = make_store_view()
        written_again = make_version(4, 20, era=1)
        assert not store_view.update_configuration(written_again, 21.0)
        assert store_view.configuration_revision == written_again.revision
        assert store_view.configuration_verified_s == 21.0

    # Guards against a confirmed change that only instances of the earlier era know.
    def test_a_higher_version_of_the_earlier_era_is_taken_and_not_verified(
        self,
    ) -> None:
        store_view = make_store_view()
        store_view.update_configuration(make_version(4, 20, era=1), 21.0)
        assert store_view.update_configuration(make_version(5, 55), 18.0)
        assert store_view.configuration_verified_s == 18.0
        assert not store_view.update_configuration(make_version(4, 20, era=1), 22.0)
        assert store_view.configuration_verified_s == 18.0

    def test_the_revision_orders_within_an_era(self) -> None:
        store_view = make_store_view()
        store_view.update_configuration(make_version(5, 20, era=1), 21.0)
        assert store_view.update_configuration(make_version(4, 21, era=1), 22.0)


class TestProof:
    # Guards against requests with a withdrawn key: the copy lacks the withdrawal.
    def test_the_first_read_proves_nothing_until_the_operator_has_written(self) -> None:
        after = StoreReturn(RETURNED_S, HEARTBEAT_S)
        assert not after.proves_configuration(at(20, era=1), 20.5)
        assert not after.proves_configuration(at(20, era=1), 21.0)
        assert after.proves_configuration(at(21, era=1), 21.0)

    def test_a_read_proves_after_the_time_in_which_operators_write_again(self) -> None:
        after = StoreReturn(RETURNED_S, HEARTBEAT_S)
        assert not after.proves_configuration(None, 20.5)
        assert after.proves_configuration(None, RETURNED_S + REREGISTRATION_S)

    def test_each_return_has_its_own_first_read(self) -> None:
        store_view = make_store_view()
        store_view.proves_configuration(at(20, era=1), 20.5)
        assert store_view.proves_configuration(at(21, era=1), 21.0)
        store_view.observe_era(2, 21.5)
        assert not store_view.proves_configuration(at(22, era=2), 21.6)

    def test_a_late_read_of_the_earlier_era_proves_nothing(self) -> None:
        store_view = make_store_view()
        late_s = RETURNED_S + 60.0
        assert not store_view.proves_configuration(at(50), late_s)

    def test_an_instance_that_saw_no_return_is_shown_the_truth(self) -> None:
        store_view = StoreView(HEARTBEAT_S)
        assert not store_view.observe_era(3, RETURNED_S)
        assert store_view.proves_configuration(at(20, era=3), 20.5)


class TestEarlierEra:
    # Guards against late responses and messages that bring back what has gone.
    def test_a_late_listing_changes_nothing(self) -> None:
        store_view = make_store_view()
        late = make_listing(90, make_server())
        assert store_view.update_listing(late, 21.0, 21.0) is None
        assert not store_view.servers_by_id
        assert store_view.listing_verified_s == READ_S

    def test_a_message_of_a_peer_changes_nothing(self) -> None:
        store_view = make_store_view()
        peer = StoreView(HEARTBEAT_S)
        peer.update_listing(make_listing(90, make_server()), 21.0, 21.0)
        buckets = peer.registry.differing_buckets(store_view.registry.digests())
        digest = peer.registry.digest
        assert store_view.merge_buckets(at(90), digest, buckets, 21.0) is None
        assert store_view.merge_evacuations(at(90), ["a"]) is None
        assert not store_view.confirm_listing(
            at(90), store_view.registry.digest, started_s=21.0
        )
        assert store_view.listing_verified_s == READ_S

    def test_an_earlier_era_is_no_return(self) -> None:
        store_view = make_store_view()
        assert not store_view.observe_era(0, 21.0)
        assert not store_view.observe_era(1, 21.0)


class TestServers:
    def test_the_copy_of_an_earlier_incarnation_is_not_taken(self) -> None:
        store_view = make_store_view(make_server(started_ms=2_000))
        store_view.update_listing(
            read_later(20, make_server(started_ms=1_000)), 21.0, 21.0
        )
        assert store_view.servers_by_id["s-1"].started_ms == 2_000

    def test_what_was_written_since_is_taken(self) -> None:
        store_view = make_store_view(make_server(draining=True))
        store_view.update_listing(read_later(20, make_server()), 21.0, 21.0)
        assert store_view.servers_by_id["s-1"].draining
        again = read_later(21, make_server(slots=3), writes={"s-1": 21})
        store_view.update_listing(again, 21.5, 21.5)
        assert not store_view.servers_by_id["s-1"].draining

    @pytest.mark.parametrize("is_expired", [False, True])
    def test_a_removed_one_is_left_out_until_the_store_has_expired_it(
        self, *, is_expired: bool
    ) -> None:
        store_view = StoreView(HEARTBEAT_S)
        store_view.observe_era(0, READ_S)
        store_view.update_listing(make_listing(49, make_server()), 18.5, 18.5)
        store_view.update_listing(make_listing(50), READ_S, READ_S)
        store_view.observe_era(1, RETURNED_S)
        expired_s = RETURNED_S + REREGISTRATION_S + EXPIRY_HEARTBEATS * HEARTBEAT_S
        now = expired_s + (0.1 if is_expired else -0.1)
        copied = read_later(20, make_server())
        store_view.update_listing(copied, RETURNED_S + 0.5, RETURNED_S + 0.5)
        store_view.update_listing(copied, now, now)
        assert bool(store_view.servers_by_id) == is_expired

    def test_a_new_one_is_taken(self) -> None:
        store_view = make_store_view()
        store_view.update_listing(read_later(20, make_server()), 21.0, 21.0)
        assert set(store_view.servers_by_id) == {"s-1"}

    def test_a_missing_one_is_retained_for_a_time(self) -> None:
        store_view = make_store_view(make_server())
        store_view.update_listing(read_later(20), 20.5, 20.5)
        assert set(store_view.servers_by_id) == {"s-1"}
        assert store_view.drop_expired(20.5 + REREGISTRATION_S) is not None
        assert not store_view.servers_by_id
