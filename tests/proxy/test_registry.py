from __future__ import annotations

from hypothesis import given
from hypothesis import strategies

from gentianhitch.proxy.registry import BUCKET_COUNT
from gentianhitch.proxy.registry import Registry
from tests.builders_proxy import at
from tests.builders_proxy import make_listing
from tests.builders_proxy import make_peer
from tests.builders_proxy import make_server

SERVERS = [make_server(f"s-{number}") for number in range(200)]
PEERS = tuple(make_peer(f"e-{number}") for number in range(90))


def make_registry(revision: int, *servers: object) -> Registry:
    registry = Registry()
    registry.replace(make_listing(revision, *servers, peers=PEERS))
    return registry


class TestDifferences:
    def test_equal_registries_have_no_differing_buckets(self) -> None:
        one, other = make_registry(5, *SERVERS), make_registry(7, *SERVERS)
        assert one.digest == other.digest
        assert one.differing_buckets(other.digests()) == []

    # Guards against updates whose size grows with the number of entries.
    def test_one_removed_server_changes_one_bucket(self) -> None:
        one, other = make_registry(5, *SERVERS), make_registry(7, *SERVERS[1:])
        differing_buckets = other.differing_buckets(one.digests())
        assert len(differing_buckets) == 1
        entries = sum(len(bucket.servers) for _, bucket in differing_buckets)
        assert entries <= 4 * len(SERVERS) / BUCKET_COUNT

    def test_a_heartbeat_does_not_change_the_digest(self) -> None:
        one = make_registry(5, make_server(warmup_s=2.0))
        other = make_registry(6, make_server(warmup_s=1.0))
        assert (one.digest, one.full_digest) == (other.digest, other.full_digest)
        other = make_registry(7, make_server(draining=True))
        assert one.digest != other.digest
        assert one.full_digest != other.full_digest

    # Guards against instances that read through others and never learn that a server
    # turned cold, and against older versions that find a difference which they can't
    # remove.
    def test_only_the_full_digest_covers_which_servers_are_cold(self) -> None:
        cold = make_registry(5, *SERVERS[1:], make_server("s-0", warmup_s=2.0))
        warm = make_registry(6, *SERVERS)
        assert cold.digest == warm.digest
        assert cold.full_digest != warm.full_digest
        assert warm.differing_buckets(cold.digests()) == []
        differing = warm.differing_buckets(cold.full_digests(), full=True)
        assert len(differing) == 1
        cold.merge(at(6), differing)
        assert cold.full_digest == warm.full_digest
        assert not cold.servers_by_id["s-0"].is_cold

    @given(
        strategies.lists(
            strategies.tuples(
                strategies.integers(0, 2),
                strategies.integers(0, 2),
                strategies.integers(0, 63),
            ),
            max_size=40,
        )
    )
    def test_any_order_of_exchanges_converges(self, steps: list) -> None:
        """Three instances exchange parts of three reads, then all buckets."""
        reads = [
            make_listing(10 + number, *SERVERS[number * 20 : 100 + number * 20])
            for number in range(3)
        ]
        instances = [Registry() for _ in reads]
        for instance, listing in zip(instances, reads, strict=True):
            instance.replace(listing)
        for to, source, most in steps:
            registry = instances[source]
            differing_buckets = registry.differing_buckets(instances[to].digests())
            instances[to].merge(registry.revision, differing_buckets[:most])
            assert instances[to].revision >= at(10 + to)
        newest = instances[2]
        for instance in instances:
            differing_buckets = newest.differing_buckets(instance.digests())
            instance.merge(newest.revision, differing_buckets)
            assert instance.servers_by_id == dict(reads[2].backend_servers_by_id)
            assert instance.digest == newest.digest
