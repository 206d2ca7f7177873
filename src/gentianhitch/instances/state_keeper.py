"""Load heads from the platform and from peers, and store their states."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

import attrs
from loguru import logger
from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorTime

from gentianhitch.decisions.freshness import Freshness
from gentianhitch.decisions.interfaces import AgreedState
from gentianhitch.errors import GentianhitchError
from gentianhitch.instances.identity import InstanceId
from gentianhitch.instances.identity import Member
from gentianhitch.instances.partners import Partners
from gentianhitch.instances.relay import Relay
from gentianhitch.instances.relay import RelayError
from gentianhitch.instances.states import DecodeDocument
from gentianhitch.instances.states import LoadedState
from gentianhitch.instances.states import StateLoader
from gentianhitch.instances.transport import Transport
from gentianhitch.operators import pieces
from gentianhitch.operators.head import Head
from gentianhitch.operators.head import decode_head
from gentianhitch.platform.interface import Platform

PULL_ATTEMPTS = 3


class FleetError(GentianhitchError):
    """Base class of errors about the agreement between instances."""


class NotLoadedError(FleetError):
    """A head refers to a piece that neither a peer nor the platform has."""


@attrs.define(eq=False)
class StateKeeper:
    """Stores the active states; calls ``on_newest`` after loading a newer one."""

    own: Member
    environment: str
    transport: Transport
    platform: Platform
    clock: IReactorTime
    freshness: Freshness
    partners: Partners
    decode_document: DecodeDocument
    on_newest: Callable[[], None]
    counts_by_name: Counter[str]
    _relay: Relay = attrs.field(init=False)
    _loader: StateLoader = attrs.field(init=False)
    _loaded_by_sequence: dict[int, LoadedState] = attrs.Factory(dict)
    _fetching: set[InstanceId] = attrs.Factory(set)
    _active: tuple[AgreedState, ...] = ()
    _active_range: tuple[int, int] = (0, 0)

    def __attrs_post_init__(self) -> None:
        counts = self.counts_by_name
        self._relay = Relay(self.own, self.transport, self.clock, counts)
        self._loader = StateLoader(self._relay, self.decode_document)

    def start(self) -> None:
        """Start replying to requests of peers for heads and pieces."""
        self._relay.start()

    def active(self, now: float) -> tuple[AgreedState, ...]:
        """Return the states not superseded by one in force, oldest first."""
        oldest, newest = self.freshness.oldest_active(now), self.freshness.sequence
        if self._active_range != (oldest, newest) or not self._active:
            self._active_range = (oldest, newest)
            self._active = tuple(
                loaded.state
                for sequence, loaded in sorted(self._loaded_by_sequence.items())
                if sequence >= oldest
            )
        return self._active

    async def load_head(self, value: bytes) -> bool:
        """Load a head read from the platform; return False if that failed."""
        return await self._load_all((value,), None)

    def pull(self, peer: InstanceId) -> None:
        """Request newer heads from ``peer``, unless a request to it is in progress."""
        record = self.freshness.records_by_name.get(peer.name)
        if record is None or record.member.id != peer or peer in self._fetching:
            return
        self._fetching.add(peer)
        pulling = Deferred.fromCoroutine(self._pull_from(record.member))
        pulling.addErrback(_log_failure)

    async def _pull_from(self, peer: Member) -> None:
        try:
            for _ in range(PULL_ATTEMPTS):
                if await self._pull_once(peer):
                    return
        finally:
            self._fetching.discard(peer.id)

    async def _pull_once(self, peer: Member) -> bool:
        freshness = self.freshness
        has_base = freshness.in_force in freshness.chain.lists_by_sequence
        after = freshness.sequence if has_base else 0
        try:
            values = await self._relay.fetch_heads(peer.peers, after)
        except RelayError:
            self.counts_by_name["fleet.failed_pulls"] += 1
            return False
        return await self._load_all(values, peer)

    async def _load_all(self, values: tuple[bytes, ...], peer: Member | None) -> bool:
        for value in values:
            try:
                head = decode_head(value)
                if self._is_needed(head):
                    await self._load(head, value, peer)
            except GentianhitchError:
                self.counts_by_name["fleet.failed_loads"] += 1
                return False
        return True

    def _is_needed(self, head: Head) -> bool:
        is_loaded = head.sequence in self._loaded_by_sequence
        return head.sequence > 0 and not is_loaded

    async def _load(self, head: Head, value: bytes, peer: Member | None) -> None:
        async def fetch(digest: str) -> bytes:
            return await self._fetch_piece(digest, peer)

        loaded = await self._loader.load(head, fetch)
        now = self.clock.seconds()
        if head.sequence in self._loaded_by_sequence:
            return
        is_newest = head.sequence > self.freshness.sequence
        # Stored before freshness refers to it, so that ``active`` can return it.
        self._loaded_by_sequence[head.sequence] = loaded
        self._active = ()
        self._relay.add(head.sequence, value, loaded.digests)
        self.freshness.add_list(
            head.sequence, loaded.member_list, loaded.previous_list, now
        )
        self._drop_unused(now)
        if is_newest:
            self.on_newest()

    async def _fetch_piece(self, digest: str, peer: Member | None) -> bytes:
        """Fetch a piece from ``peer``, else from other peers or the platform."""
        peers = [] if peer is None else [peer, *self.partners.random_members(2)]
        for source in peers:
            try:
                return await self._relay.fetch_piece(source.peers, digest)
            except (RelayError, pieces.PieceError):
                self.counts_by_name["fleet.failed_pieces"] += 1
        key = pieces.piece_key(self.environment, digest)
        entry = await self.platform.get(key)
        if entry is None:
            raise NotLoadedError(
                f"piece {digest[:12]}: not at {len(peers)} peers, nor in the platform"
            )
        return entry.value

    def _drop_unused(self, now: float) -> None:
        kept = set(self.freshness.chain.lists_by_sequence)
        for sequence in [s for s in self._loaded_by_sequence if s not in kept]:
            del self._loaded_by_sequence[sequence]
        self._relay.drop_all_except(kept)

    def members_digest(self) -> str | None:
        """Return the digest of the newest member list, if it is loaded and has one."""
        loaded = self._loaded_by_sequence.get(self.freshness.sequence)
        return loaded.head.members_digest if loaded else None


def _log_failure(failure: object) -> None:
    logger.error("fetching heads from a peer failed: {}", failure)
