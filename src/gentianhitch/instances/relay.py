"""Pass heads and pieces from instance to instance."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from collections.abc import Iterable
from typing import Any

import attrs
from twisted.internet.defer import Deferred
from twisted.internet.defer import TimeoutError as DeferredTimeoutError
from twisted.internet.interfaces import IReactorTime

from gentianhitch.addresses import Address
from gentianhitch.decisions.exchange import first_nonce
from gentianhitch.errors import GentianhitchError
from gentianhitch.instances.identity import InstanceId
from gentianhitch.instances.identity import Member
from gentianhitch.instances.messages import HeadReply
from gentianhitch.instances.messages import HeadRequest
from gentianhitch.instances.messages import PieceReply
from gentianhitch.instances.messages import PieceRequest
from gentianhitch.instances.transport import Transport
from gentianhitch.operators import pieces

ANSWER_WITHIN_S = 0.3
MAX_INLINE_BYTES = 64 * 1024
"""Bound of the pieces that travel with a head, which saves a round trip."""


class RelayError(GentianhitchError):
    """A peer did not bring what it was asked for."""


@attrs.define(eq=False)
class Relay:
    """Ask peers for heads and pieces, and answer theirs.

    ``values_by_sequence`` and ``pieces_by_digest`` are what this instance can
    pass on, ``digests_by_sequence`` the pieces that each head needs.
    """

    own: Member
    transport: Transport
    clock: IReactorTime
    counts_by_name: Counter[str]
    values_by_sequence: dict[int, bytes] = attrs.Factory(dict)
    digests_by_sequence: dict[int, frozenset[str]] = attrs.Factory(dict)
    pieces_by_digest: dict[str, bytes] = attrs.Factory(dict)
    _next_nonce: int = attrs.field(init=False)
    _waiting_by_nonce: dict[int, Deferred[Any]] = attrs.Factory(dict)

    def __attrs_post_init__(self) -> None:
        self._next_nonce = first_nonce(self.own.id)

    def start(self) -> None:
        """Answer peers from now on."""
        self.transport.subscribe(HeadRequest, self._answer_heads)
        self.transport.subscribe(PieceRequest, self._answer_piece)
        self.transport.subscribe(HeadReply, self._hear_reply)
        self.transport.subscribe(PieceReply, self._hear_reply)

    async def fetch_heads(self, peers: Address, after: int) -> tuple[bytes, ...]:
        """Ask the instance at ``peers`` for its heads above ``after``."""
        reply = await self._ask(
            peers, lambda nonce: HeadRequest(nonce, after, self.own)
        )
        if not isinstance(reply, HeadReply):
            raise RelayError(f"peer {peers} answered something else")
        for value in reply.pieces:
            self.pieces_by_digest.setdefault(pieces.digest_of(value), value)
        return reply.values

    async def fetch_piece(self, peers: Address, digest: str) -> bytes:
        """Ask the instance at ``peers`` for a piece and check it."""
        reply = await self._ask(
            peers, lambda nonce: PieceRequest(nonce, digest, self.own)
        )
        if not isinstance(reply, PieceReply) or reply.value is None:
            raise RelayError(f"peer {peers} does not have piece {digest[:12]}")
        pieces.validate(digest, reply.value)
        return reply.value

    def add(self, sequence: int, value: bytes, digests: frozenset[str]) -> None:
        """Pass on a head and its pieces from now on."""
        self.values_by_sequence[sequence] = value
        self.digests_by_sequence[sequence] = digests

    def keep(self, sequences: Iterable[int]) -> None:
        """Drop the heads and pieces that are no longer of use."""
        kept = set(sequences)
        for sequence in [s for s in self.values_by_sequence if s not in kept]:
            del self.values_by_sequence[sequence]
            del self.digests_by_sequence[sequence]
        digests = frozenset[str]().union(*self.digests_by_sequence.values())
        for digest in [d for d in self.pieces_by_digest if d not in digests]:
            del self.pieces_by_digest[digest]

    async def _ask(self, peers: Address, build: Callable[[int], object]) -> object:
        nonce = self._next_nonce
        self._next_nonce += 1
        waiting: Deferred[Any] = Deferred()
        waiting.addTimeout(ANSWER_WITHIN_S, self.clock)
        self._waiting_by_nonce[nonce] = waiting
        self.transport.send(peers, build(nonce))
        try:
            return await waiting
        except DeferredTimeoutError as error:
            raise RelayError(f"peer {peers} did not answer") from error
        finally:
            self._waiting_by_nonce.pop(nonce, None)

    def _answer_heads(self, sender: InstanceId, request: HeadRequest) -> None:
        values = tuple(
            value
            for sequence, value in sorted(self.values_by_sequence.items())
            if sequence > request.after
        )
        reply = HeadReply(request.nonce, values, self._new_pieces(request.after))
        self.transport.send(request.member.peers, reply)

    def _new_pieces(self, after: int) -> tuple[bytes, ...]:
        """Return the small pieces of heads above ``after`` not needed up to it."""
        known: set[str] = set()
        wanted: list[str] = []
        for sequence, digests in sorted(self.digests_by_sequence.items()):
            if sequence <= after:
                known |= digests
            else:
                wanted += sorted(digests.difference(known, wanted))
        values, size = [], 0
        for digest in wanted:
            value = self.pieces_by_digest.get(digest, b"")
            if value and size + len(value) <= MAX_INLINE_BYTES:
                values.append(value)
                size += len(value)
        return tuple(values)

    def _answer_piece(self, sender: InstanceId, request: PieceRequest) -> None:
        value = self.pieces_by_digest.get(request.digest)
        reply = PieceReply(request.nonce, request.digest, value)
        self.transport.send(request.member.peers, reply)

    def _hear_reply(self, sender: InstanceId, reply: HeadReply | PieceReply) -> None:
        waiting = self._waiting_by_nonce.pop(reply.nonce, None)
        if waiting is None:
            self.counts_by_name["relay.unasked"] += 1
            return
        waiting.callback(reply)
