"""Store the listed servers and instances in buckets with digests.

Instances with different listings exchange only the buckets whose digests differ, so
that the bytes sent grow with the change, not with the number of entries.
"""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Mapping

import attrs
import xxhash

from gentianhitch.proxy.model import BackendServer
from gentianhitch.proxy.model import Listing
from gentianhitch.proxy.model import Peer
from gentianhitch.proxy.store_revision import NO_REVISION
from gentianhitch.proxy.store_revision import StoreRevision

BUCKET_COUNT = 64
"""About four servers per bucket with a few hundred; several fit in one datagram."""

DIGEST_BYTES = 8


@attrs.frozen
class Bucket:
    """The entries whose names have the same hash; equal digests mean equal entries.

    ``full_digest`` also covers which servers are cold, which older versions leave out.
    Warm-up times are in neither: they change with every heartbeat.
    """

    servers: tuple[BackendServer, ...] = ()
    peers: tuple[Peer, ...] = ()
    digest: bytes = attrs.field(init=False, eq=False)
    full_digest: bytes = attrs.field(init=False, eq=False)

    @digest.default
    def _compute_digest(self) -> bytes:
        state = xxhash.xxh64()
        for server in sorted(self.servers, key=lambda server: server.id):
            state.update(
                f"{server.id} {server.started_ms} {server.service} {server.address}"
                f" {server.slots} {server.draining};".encode()
            )
        for peer in sorted(self.peers, key=lambda peer: peer.name):
            state.update(
                f"{peer.name} {peer.incarnation} {peer.caller_address};".encode()
            )
        return state.digest()

    @full_digest.default
    def _compute_full_digest(self) -> bytes:
        state = xxhash.xxh64(self.digest)
        for name in sorted(server.id for server in self.servers if server.is_cold):
            state.update(f"{name};".encode())
        return state.digest()


EMPTY_BUCKET = Bucket()


@attrs.define
class Registry:
    """The newest known state of each bucket, and the revision at which it was read.

    All buckets are at least as new as ``revision``; none is replaced by an older one.
    ``evacuated_domains`` were read at ``evacuations_revision``, NO_REVISION before the
    first read. They are in no bucket and no digest: instances of older versions know
    none, and would find a difference in every exchange. ``full_digest`` covers what the
    buckets' full digests cover.
    """

    revision: StoreRevision = NO_REVISION
    servers_by_id: dict[str, BackendServer] = attrs.Factory(dict)
    peers_by_name: dict[str, Peer] = attrs.Factory(dict)
    digest: bytes = b""
    full_digest: bytes = b""
    evacuated_domains: frozenset[str] = frozenset()
    evacuations_revision: StoreRevision = NO_REVISION
    _buckets: list[Bucket] = attrs.Factory(lambda: [EMPTY_BUCKET] * BUCKET_COUNT)
    _revisions: list[StoreRevision] = attrs.Factory(
        lambda: [NO_REVISION] * BUCKET_COUNT
    )

    def __attrs_post_init__(self) -> None:
        self._rebuild()

    def digests(self) -> bytes:
        """Return the concatenated digests of all buckets."""
        return b"".join(bucket.digest for bucket in self._buckets)

    def full_digests(self) -> bytes:
        """Return the concatenated full digests of all buckets."""
        return b"".join(bucket.full_digest for bucket in self._buckets)

    def differing_buckets(
        self, digests: bytes, *, full: bool = False
    ) -> list[tuple[int, Bucket]]:
        """Return the buckets that differ from those with ``digests``, with numbers.

        ``full`` if these are the full digests.
        """
        return [
            (number, bucket)
            for number, bucket in enumerate(self._buckets)
            if (bucket.full_digest if full else bucket.digest)
            != digests[number * DIGEST_BYTES : (number + 1) * DIGEST_BYTES]
        ]

    def replace(self, listing: Listing) -> None:
        """Replace everything by a newer listing.

        Evacuations of domains without a listed server or instance are left out, so that
        their number is bounded by that of the domains.
        """
        self.merge(listing.revision, enumerate(_split(listing)))
        self.advance(listing.revision)
        domains = listing.evacuated_domains & self.failure_domains()
        self.merge_evacuations(listing.revision, domains)

    def failure_domains(self) -> frozenset[str]:
        """Return the failure domains of the listed servers and instances."""
        return frozenset(
            server.failure_domain for server in self.servers_by_id.values()
        ) | frozenset(peer.failure_domain for peer in self.peers_by_name.values())

    def merge_evacuations(
        self, revision: StoreRevision, domains: frozenset[str]
    ) -> None:
        """Take the evacuated domains read at ``revision``, unless newer are known."""
        if revision >= self.evacuations_revision:
            self.evacuations_revision = revision
            self.evacuated_domains = domains

    def merge(
        self, revision: StoreRevision, buckets: Iterable[tuple[int, Bucket]]
    ) -> None:
        """Take buckets that were read at ``revision``, except where newer are known."""
        changed = False
        for number, bucket in buckets:
            if revision < self._revisions[number]:
                continue
            self._revisions[number] = revision
            if bucket.full_digest != self._buckets[number].full_digest:
                self._buckets[number] = bucket
                changed = True
        if changed:
            self._rebuild()

    def advance(self, revision: StoreRevision) -> None:
        """Record that all buckets are at least as new as a read at ``revision``."""
        if revision > self.revision:
            self.revision = revision
            self._revisions = [max(known, revision) for known in self._revisions]

    def remove(
        self, server_ids: Mapping[str, object], peer_names: Mapping[str, object]
    ) -> None:
        """Drop the entries with these ids and names."""
        self._buckets = [
            Bucket(
                tuple(entry for entry in bucket.servers if entry.id not in server_ids),
                tuple(entry for entry in bucket.peers if entry.name not in peer_names),
            )
            for bucket in self._buckets
        ]
        self._rebuild()

    def _rebuild(self) -> None:
        buckets = self._buckets
        self.servers_by_id = {
            server.id: server for bucket in buckets for server in bucket.servers
        }
        self.peers_by_name = {
            peer.name: peer for bucket in buckets for peer in bucket.peers
        }
        self.digest = xxhash.xxh64(self.digests()).digest()
        self.full_digest = xxhash.xxh64(self.full_digests()).digest()


def _split(listing: Listing) -> list[Bucket]:
    servers: list[list[BackendServer]] = [[] for _ in range(BUCKET_COUNT)]
    peers: list[list[Peer]] = [[] for _ in range(BUCKET_COUNT)]
    for server in listing.backend_servers_by_id.values():
        servers[_bucket_number(server.id)].append(server)
    for peer in listing.peers_by_name.values():
        peers[_bucket_number(peer.name)].append(peer)
    return [Bucket(tuple(servers[n]), tuple(peers[n])) for n in range(BUCKET_COUNT)]


def _bucket_number(name: str) -> int:
    return xxhash.xxh32_intdigest(name.encode()) % BUCKET_COUNT
