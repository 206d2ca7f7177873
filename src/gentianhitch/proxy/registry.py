"""Hold the listed servers and instances in buckets that two instances can compare.

Instances that differ exchange only the buckets whose digests differ, so that a change
costs as many bytes as it has, however many entries there are.
"""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Mapping

import attrs
import xxhash

from gentianhitch.proxy.model import BackendServer
from gentianhitch.proxy.model import Listing
from gentianhitch.proxy.model import Peer

BUCKET_COUNT = 64
"""Some four servers a bucket at a few hundred servers: a datagram holds several."""

DIGEST_BYTES = 8


@attrs.frozen
class Bucket:
    """The entries whose names share a hash; equal digests mean equal entries."""

    servers: tuple[BackendServer, ...] = ()
    peers: tuple[Peer, ...] = ()
    digest: bytes = attrs.field(init=False, eq=False)

    @digest.default
    def _compute_digest(self) -> bytes:
        state = xxhash.xxh64()
        for server in sorted(self.servers, key=lambda each: each.id):
            state.update(
                f"{server.id} {server.started_ms} {server.service} {server.address}"
                f" {server.slots} {server.draining};".encode()
            )
        for peer in sorted(self.peers, key=lambda each: each.name):
            state.update(
                f"{peer.name} {peer.incarnation} {peer.caller_address};".encode()
            )
        return state.digest()


EMPTY_BUCKET = Bucket()


@attrs.define
class Registry:
    """The newest known state of each bucket, and the revision at which it was read.

    All buckets are at least as new as ``revision``. None ever steps back.
    """

    revision: int = 0
    servers_by_id: dict[str, BackendServer] = attrs.Factory(dict)
    peers_by_name: dict[str, Peer] = attrs.Factory(dict)
    digest: bytes = b""
    _buckets: list[Bucket] = attrs.Factory(lambda: [EMPTY_BUCKET] * BUCKET_COUNT)
    _revisions: list[int] = attrs.Factory(lambda: [0] * BUCKET_COUNT)

    def __attrs_post_init__(self) -> None:
        self._rebuild()

    def digests(self) -> bytes:
        """Return the digests of all buckets, one after the other."""
        return b"".join(bucket.digest for bucket in self._buckets)

    def differing_buckets(self, digests: bytes) -> list[tuple[int, Bucket]]:
        """Return the buckets that differ from those with ``digests``, by number."""
        return [
            (number, bucket)
            for number, bucket in enumerate(self._buckets)
            if bucket.digest
            != digests[number * DIGEST_BYTES : (number + 1) * DIGEST_BYTES]
        ]

    def replace(self, listing: Listing) -> None:
        """Take all of a newer listing."""
        self.merge(listing.revision, enumerate(_split(listing)))
        self.advance(listing.revision)

    def merge(self, revision: int, buckets: Iterable[tuple[int, Bucket]]) -> None:
        """Take buckets that were read at ``revision``, unless newer ones are known."""
        changed = False
        for number, bucket in buckets:
            if revision < self._revisions[number]:
                continue
            self._revisions[number] = revision
            if bucket.digest != self._buckets[number].digest:
                self._buckets[number] = bucket
                changed = True
        if changed:
            self._rebuild()

    def advance(self, revision: int) -> None:
        """Note that all buckets are as a read at ``revision`` showed them, or newer."""
        if revision > self.revision:
            self.revision = revision
            self._revisions = [max(each, revision) for each in self._revisions]

    def remove(
        self, server_ids: Mapping[str, object], peer_names: Mapping[str, object]
    ) -> None:
        """Drop entries by their names."""
        self._buckets = [
            Bucket(
                tuple(each for each in bucket.servers if each.id not in server_ids),
                tuple(each for each in bucket.peers if each.name not in peer_names),
            )
            for bucket in self._buckets
        ]
        self._rebuild()

    def _rebuild(self) -> None:
        buckets = self._buckets
        self.servers_by_id = {each.id: each for one in buckets for each in one.servers}
        self.peers_by_name = {each.name: each for one in buckets for each in one.peers}
        self.digest = xxhash.xxh64(self.digests()).digest()


def _split(listing: Listing) -> list[Bucket]:
    servers: list[list[BackendServer]] = [[] for _ in range(BUCKET_COUNT)]
    peers: list[list[Peer]] = [[] for _ in range(BUCKET_COUNT)]
    for server in listing.backend_servers_by_id.values():
        servers[_number(server.id)].append(server)
    for peer in listing.peers_by_name.values():
        peers[_number(peer.name)].append(peer)
    return [Bucket(tuple(servers[n]), tuple(peers[n])) for n in range(BUCKET_COUNT)]


def _number(name: str) -> int:
    return xxhash.xxh32_intdigest(name.encode()) % BUCKET_COUNT
