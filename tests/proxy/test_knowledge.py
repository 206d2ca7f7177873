from __future__ import annotations

from gentianhitch.proxy.registry import Registry
from gentianhitch.proxy.store_return import REREGISTRATION_S
from gentianhitch.proxy.store_revision import NO_CONFIGURATION
from gentianhitch.proxy.store_view import ListingChange
from gentianhitch.proxy.store_view import StoreView
from tests.builders_proxy import at
from tests.builders_proxy import make_listing
from tests.builders_proxy import make_peer
from tests.builders_proxy import make_server
from tests.builders_proxy import make_stored

HEARTBEAT_S = 1.5


def make_store_view(*servers: str) -> StoreView:
    store_view = StoreView(HEARTBEAT_S)
    listing = make_listing(5, *(make_server(name) for name in servers))
    store_view.update_listing(listing, started_s=10.0, now=10.0)
    return store_view


def follow(
    store_view: StoreView, source: StoreView, verified_s: float
) -> ListingChange | None:
    """Merge all buckets that differ from those of a peer."""
    registry = source.registry
    buckets = registry.differing_buckets(store_view.registry.digests())
    return store_view.merge_buckets(
        registry.revision, registry.digest, buckets, verified_s
    )


class TestVerification:
    def test_age_counts_from_the_start_of_the_read(self) -> None:
        store_view = StoreView(HEARTBEAT_S)
        store_view.update_listing(make_listing(5), started_s=10.0, now=10.4)
        store_view.update_configuration(make_stored(3), started_s=10.2)
        assert store_view.listing_age_s(11.0) == 1.0
        assert store_view.configuration_age_s(11.2) == 1.0

    def test_a_peer_with_the_same_listing_verifies_it(self) -> None:
        store_view = make_store_view()
        assert store_view.confirm_listing(at(6), store_view.registry.digest, 12.0)
        assert store_view.listing_age_s(12.5) == 0.5

    def test_a_peer_with_another_listing_verifies_nothing(self) -> None:
        store_view = make_store_view()
        other = make_store_view("s-1")
        assert not store_view.confirm_listing(at(6), other.registry.digest, 12.0)
        assert store_view.listing_age_s(12.0) == 2.0

    def test_a_peer_with_the_same_configuration_verifies_it(self) -> None:
        store_view = StoreView(HEARTBEAT_S)
        store_view.update_configuration(make_stored(3), 10.0)
        assert store_view.confirm_configuration(make_stored(3).revision, 12.0)
        assert not store_view.confirm_configuration(make_stored(4).revision, 13.0)
        assert store_view.configuration_age_s(12.5) == 0.5

    def test_an_older_read_does_not_increase_the_age(self) -> None:
        store_view = make_store_view()
        store_view.update_configuration(make_stored(3), 10.0)
        store_view.confirm_listing(at(5), store_view.registry.digest, 9.0)
        store_view.confirm_configuration(make_stored(3).revision, 9.0)
        assert store_view.listing_verified_s == 10.0
        assert store_view.configuration_verified_s == 10.0

    # Guards against instances that all read the store themselves, at every interval,
    # until the operator writes the first configuration.
    def test_a_missing_configuration_can_be_verified(self) -> None:
        store_view = StoreView(HEARTBEAT_S)
        assert store_view.confirm_configuration(NO_CONFIGURATION, 10.0)
        assert store_view.configuration_age_s(10.5) == 0.5

    # Guards against a listing that counts as fresh although a peer's reply held only
    # some of the buckets that differ.
    def test_a_part_of_a_newer_listing_does_not_verify_it(self) -> None:
        source = make_store_view()
        servers = [make_server(f"s-{number}") for number in range(20)]
        source.update_listing(make_listing(9, *servers), 12.0, 12.0)
        store_view = make_store_view()
        registry = source.registry
        buckets = registry.differing_buckets(store_view.registry.digests())
        change = store_view.merge_buckets(at(9), registry.digest, buckets[:1], 12.0)
        assert change is not None
        assert store_view.listing_verified_s == 10.0
        follow(store_view, source, 12.0)
        assert store_view.listing_verified_s == 12.0
        assert store_view.servers_by_id == source.servers_by_id


class TestOrder:
    def test_an_older_listing_is_dropped(self) -> None:
        store_view = StoreView(HEARTBEAT_S)
        store_view.update_listing(make_listing(6, make_server()), 10.0, 10.0)
        assert store_view.update_listing(make_listing(5), 11.0, 11.0) is None
        assert set(store_view.servers_by_id) == {"s-1"}

    def test_an_older_bucket_is_dropped(self) -> None:
        store_view = StoreView(HEARTBEAT_S)
        store_view.update_listing(make_listing(6, make_server()), 10.0, 10.0)
        buckets = Registry().differing_buckets(store_view.registry.digests())
        assert store_view.merge_buckets(at(5), b"", buckets, 11.0) is None
        assert set(store_view.servers_by_id) == {"s-1"}

    def test_an_older_configuration_is_dropped(self) -> None:
        store_view = StoreView(HEARTBEAT_S)
        store_view.update_configuration(make_stored(4), 10.0)
        assert not store_view.update_configuration(make_stored(3), 11.0)
        assert store_view.configuration_revision.written == at(4)
        assert store_view.configuration_verified_s == 10.0

    def test_a_restart_under_the_same_id_is_another_server(self) -> None:
        store_view = make_store_view("s-1")
        change = store_view.update_listing(
            make_listing(6, make_server(started_ms=2_000)), 10.5, 10.5
        )
        assert change is not None
        assert len(change.added) == len(change.removed) == 1

    # Guards against requests to a draining server when its state is all that changes
    # and no part is notified.
    def test_a_server_that_starts_to_drain_is_a_change(self) -> None:
        store_view = make_store_view("s-1")
        change = store_view.update_listing(
            make_listing(6, make_server(draining=True)), 10.5, 10.5
        )
        assert change is not None
        assert [server.id for server in change.draining] == ["s-1"]

    def test_a_heartbeat_is_no_change(self) -> None:
        store_view = make_store_view("s-1")
        listing = make_listing(6, make_server())
        assert store_view.update_listing(listing, 10.5, 10.5) is None
        assert store_view.registry.revision == at(6)
        listing = make_listing(7, make_server(warmup_s=2.0))
        store_view.update_listing(listing, 11.0, 11.0)
        listing = make_listing(8, make_server(warmup_s=1.0))
        assert store_view.update_listing(listing, 11.5, 11.5) is None
        assert store_view.registry.revision == at(8)

    # Guards against requests in numbers to a server that turned cold, if that is all
    # that changes and no part is notified.
    def test_a_server_that_turns_cold_or_warm_is_a_change(self) -> None:
        store_view = make_store_view("s-1")
        cold = make_listing(6, make_server(warmup_s=2.0))
        change = store_view.update_listing(cold, 10.5, 10.5)
        assert change is not None
        assert [server.id for server in change.cold] == ["s-1"]
        change = store_view.update_listing(make_listing(7, make_server()), 11.0, 11.0)
        assert change is not None
        assert [server.id for server in change.warm] == ["s-1"]


class TestOutages:
    def test_entries_that_expired_in_an_outage_are_retained_for_a_time(self) -> None:
        store_view = StoreView(HEARTBEAT_S)
        listing = make_listing(5, make_server(), peers=(make_peer("e-1"),))
        store_view.update_listing(listing, 10.0, 10.0)
        store_view.update_listing(make_listing(9), started_s=16.0, now=16.0)
        assert set(store_view.servers_by_id) == {"s-1"}
        assert set(store_view.peers_by_name) == {"e-1"}
        assert store_view.drop_expired(16.0 + REREGISTRATION_S - 0.01) is None
        change = store_view.drop_expired(16.0 + REREGISTRATION_S)
        assert change is not None
        assert [server.id for server in change.removed] == ["s-1"]
        assert not store_view.servers_by_id
        assert not store_view.peers_by_name

    def test_an_entry_removed_without_an_outage_is_dropped(self) -> None:
        store_view = make_store_view("s-1")
        store_view.update_listing(make_listing(6), 10.5, 10.5)
        assert not store_view.servers_by_id

    def test_an_entry_removed_in_a_short_gap_of_reads_is_dropped(self) -> None:
        # Guards against requests to a stopped server for 2 s more: a partitioned reader
        # verified its view 1.6 s late, which counted as an outage of the store.
        store_view = make_store_view("s-1")
        store_view.update_listing(make_listing(6), 11.6, 11.6)
        assert not store_view.servers_by_id

    def test_an_entry_removed_after_it_was_written_again_is_dropped(self) -> None:
        store_view = make_store_view("s-1")
        store_view.update_listing(make_listing(9), 16.0, 16.0)
        store_view.update_listing(make_listing(10, make_server()), 16.5, 16.5)
        store_view.update_listing(make_listing(11), 17.0, 17.0)
        assert not store_view.servers_by_id

    def test_a_draining_server_is_not_retained(self) -> None:
        store_view = StoreView(HEARTBEAT_S)
        draining = make_listing(5, make_server(draining=True))
        store_view.update_listing(draining, 10.0, 10.0)
        store_view.update_listing(make_listing(9), 16.0, 16.0)
        assert not store_view.servers_by_id

    # Guards against requests to stopped servers when an instance takes a gap in its own
    # updates, for example failed transfers, for an outage of the store.
    def test_a_gap_of_this_instance_alone_is_no_outage(self) -> None:
        store_view, source = make_store_view("s-1"), make_store_view("s-1")
        for revision, at_s in ((6, 12.0), (7, 14.0), (9, 16.0)):
            source.update_listing(make_listing(revision), at_s, at_s)
        follow(store_view, source, 16.0)
        assert not store_view.servers_by_id
        assert store_view.listing_verified_s == 16.0

    # Guards against servers that only the reader retains after an outage of the store,
    # while the other instances drop them.
    def test_others_retain_what_the_reader_retains(self) -> None:
        reader, other = make_store_view("s-1"), make_store_view("s-1")
        reader.update_listing(make_listing(9), 16.0, 16.0)
        follow(other, reader, 16.0)
        assert set(other.servers_by_id) == {"s-1"}
        assert other.listing_verified_s == 16.0

    # Guards against dropping a server that was written again, by an instance that
    # retained it and now copies the listing of another reader.
    def test_an_entry_in_a_later_read_is_not_dropped(self) -> None:
        store_view, source = make_store_view("s-1"), make_store_view("s-1")
        store_view.update_listing(make_listing(9), 16.0, 16.0)
        source.update_listing(make_listing(10, make_server()), 16.3, 16.3)
        follow(store_view, source, 16.3)
        assert store_view.drop_expired(16.0 + REREGISTRATION_S) is None
        assert set(store_view.servers_by_id) == {"s-1"}


class TestEvacuations:
    def test_begins_and_ends_with_the_key(self) -> None:
        store_view = make_store_view("s-1")
        evacuated = make_listing(6, make_server(), evacuated=("a",))
        change = store_view.update_listing(evacuated, 10.5, 10.5)
        assert change is not None
        assert (change.evacuated, change.has_entries) == (("a",), False)
        assert store_view.evacuated_domains == {"a"}
        change = store_view.update_listing(make_listing(7, make_server()), 11.0, 11.0)
        assert change is not None
        assert change.returned == ("a",)
        assert store_view.evacuated_domains == frozenset()

    def test_a_read_without_a_change_is_no_change(self) -> None:
        store_view = make_store_view("s-1")
        listing = make_listing(6, make_server(), evacuated=("a",))
        store_view.update_listing(listing, 10.5, 10.5)
        listing = make_listing(7, make_server(), evacuated=("a",))
        assert store_view.update_listing(listing, 11.0, 11.0) is None

    # Guards against an evacuation that a late reply of a peer, or a read that was
    # overtaken, ends or begins again.
    def test_an_older_state_is_dropped(self) -> None:
        store_view = make_store_view("s-1")
        assert store_view.merge_evacuations(at(9), ["a"]) is not None
        assert store_view.merge_evacuations(at(8), []) is None
        store_view.update_listing(make_listing(7, make_server()), 11.0, 11.0)
        assert store_view.evacuated_domains == {"a"}
        assert store_view.merge_evacuations(at(10), []) is not None
        assert store_view.merge_evacuations(at(9), ["a"]) is None

    # Guards against a domain that stays out of use though its key went away with an
    # outage of the store.
    def test_is_not_retained_after_an_outage(self) -> None:
        store_view = make_store_view("s-1")
        listing = make_listing(6, make_server(), evacuated=("a",))
        store_view.update_listing(listing, 10.5, 10.5)
        store_view.update_listing(make_listing(9), 16.0, 16.0)
        assert set(store_view.servers_by_id) == {"s-1"}
        assert store_view.evacuated_domains == frozenset()

    # Guards against requests to an evacuated domain whose servers' entries expired in
    # an outage of the store and are retained.
    def test_holds_for_retained_servers(self) -> None:
        store_view = make_store_view("s-1")
        store_view.update_listing(make_listing(9, evacuated=("a",)), 16.0, 16.0)
        assert set(store_view.servers_by_id) == {"s-1"}
        assert store_view.evacuated_domains == {"a"}

    # Guards against an instance that counts its evacuations as verified although the
    # peer is of a version that knows none.
    def test_an_older_peer_verifies_the_entries_only(self) -> None:
        store_view = make_store_view("s-1")
        assert store_view.confirm_listing(at(6), store_view.registry.digest, 12.0)
        assert store_view.listing_age_s(13.0) == 1.0
        assert store_view.details_age_s(13.0) == 3.0
        assert store_view.age_s(13.0) >= 3.0
        assert store_view.confirm_listing(
            at(6), store_view.registry.digest, 12.0, b"", 11.9
        )
        assert round(store_view.details_age_s(13.0), 3) == 1.1
