"""Transfer heads and pieces between instances."""

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

REPLY_TIMEOUT_S = 0.3
MAX_INLINE_BYTES = 64 * 1024
"""Maximum size of the pieces sent along with a head, which saves a round trip."""


class RelayError(GentianhitchError):
    """A peer did not send the requested head or piece."""


@attrs.define(eq=False)
class Relay:
    """Requests heads and pieces from peers and replies to their requests.

    ``values_by_sequence`` holds the encoded heads and ``pieces_by_digest`` the pieces
    that this instance can send; ``digests_by_sequence`` the pieces of each head.
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
        """Start replying to requests of peers."""
        self.transport.subscribe(HeadRequest, self._handle_head_request)
        self.transport.subscribe(PieceRequest, self._handle_piece_request)
        self.transport.subscribe(HeadReply, self._handle_reply)
        self.transport.subscribe(PieceReply, self._handle_reply)

    async def fetch_heads(self, peers: Address, after: int) -> tuple[bytes, ...]:
        """Request the heads above ``after`` from the instance at ``peers``."""
        reply = await self._request(
            peers, lambda nonce: HeadRequest(nonce, after, self.own)
        )
        if not isinstance(reply, HeadReply):
            raise RelayError(
                f"peer {peers} replied to a head request with another message"
            )
        for value in reply.pieces:
            self.pieces_by_digest.setdefault(pieces.digest_of(value), value)
        return reply.values

    async def fetch_piece(self, peers: Address, digest: str) -> bytes:
        """Request a piece from the instance at ``peers`` and validate its digest."""
        reply = await self._request(
            peers, lambda nonce: PieceRequest(nonce, digest, self.own)
        )
        if not isinstance(reply, PieceReply) or reply.value is None:
            raise RelayError(f"peer {peers} does not have piece {digest[:12]}")
        pieces.validate(digest, reply.value)
        return reply.value

    def add(self, sequence: int, value: bytes, digests: frozenset[str]) -> None:
        """Store a head and the digests of its pieces, to send them to peers."""
        self.values_by_sequence[sequence] = value
        self.digests_by_sequence[sequence] = digests

    def drop_all_except(self, sequences: Iterable[int]) -> None:
        """Drop all other heads, and the pieces that no remaining head needs."""
        kept_sequences = set(sequences)
        for sequence in [s for s in self.values_by_sequence if s not in kept_sequences]:
            del self.values_by_sequence[sequence]
            del self.digests_by_sequence[sequence]
        digests = frozenset[str]().union(*self.digests_by_sequence.values())
        for digest in [d for d in self.pieces_by_digest if d not in digests]:
            del self.pieces_by_digest[digest]

    async def _request(self, peers: Address, build: Callable[[int], object]) -> object:
        nonce = self._next_nonce
        self._next_nonce += 1
        waiting: Deferred[Any] = Deferred()
        waiting.addTimeout(REPLY_TIMEOUT_S, self.clock)
        self._waiting_by_nonce[nonce] = waiting
        self.transport.send(peers, build(nonce))
        try:
            return await waiting
        except DeferredTimeoutError as error:
            raise RelayError(
                f"no reply from peer {peers} within {REPLY_TIMEOUT_S} s"
            ) from error
        finally:
            self._waiting_by_nonce.pop(nonce, None)

    def _handle_head_request(self, sender: InstanceId, request: HeadRequest) -> None:
        values = tuple(
            value
            for sequence, value in sorted(self.values_by_sequence.items())
            if sequence > request.after
        )
        reply = HeadReply(request.nonce, values, self._inline_pieces(request.after))
        self.transport.send(request.member.peers, reply)

    def _inline_pieces(self, after: int) -> tuple[bytes, ...]:
        """Return the pieces that heads above ``after`` need and earlier ones do not.

        Pieces that would exceed ``MAX_INLINE_BYTES`` in total are left out.
        """
        known_digests: set[str] = set()
        missing_digests: list[str] = []
        for sequence, digests in sorted(self.digests_by_sequence.items()):
            if sequence <= after:
                known_digests |= digests
            else:
                missing_digests += sorted(
                    digests.difference(known_digests, missing_digests)
                )
        values, size = [], 0
        for digest in missing_digests:
            value = self.pieces_by_digest.get(digest, b"")
            if value and size + len(value) <= MAX_INLINE_BYTES:
                values.append(value)
                size += len(value)
        return tuple(values)

    def _handle_piece_request(self, sender: InstanceId, request: PieceRequest) -> None:
        value = self.pieces_by_digest.get(request.digest)
        reply = PieceReply(request.nonce, request.digest, value)
        self.transport.send(request.member.peers, reply)

    def _handle_reply(self, sender: InstanceId, reply: HeadReply | PieceReply) -> None:
        waiting = self._waiting_by_nonce.pop(reply.nonce, None)
        if waiting is None:
            self.counts_by_name["relay.unasked"] += 1
            return
        waiting.callback(reply)
