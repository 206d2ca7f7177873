"""Load the states that heads refer to."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Awaitable
from collections.abc import Callable
from typing import TypeVar

import attrs
from twisted.internet.defer import Deferred
from twisted.internet.defer import DeferredList

from gentianhitch.decisions.interfaces import AgreedState
from gentianhitch.decisions.member_list import MemberList
from gentianhitch.decisions.member_list import decode_list
from gentianhitch.instances.relay import Relay
from gentianhitch.operators import pieces
from gentianhitch.operators.document import Document
from gentianhitch.operators.head import Head

FetchPiece = Callable[[str], Awaitable[bytes]]
DecodeDocument = Callable[[bytes], Document]

T = TypeVar("T")

MAX_CACHED_VALUES = 16
MAX_PIECES_AT_ONCE = 32


@attrs.frozen
class LoadedState:
    """A state with the member lists that freshness needs and its piece digests."""

    head: Head
    state: AgreedState
    member_list: MemberList
    previous_list: MemberList | None
    digests: frozenset[str]


@attrs.define(eq=False)
class StateLoader:
    """Fetches and decodes the state of a head; caches decoded lists and documents."""

    relay: Relay
    decode_document: DecodeDocument
    _lists_by_digest: OrderedDict[str, MemberList] = attrs.Factory(OrderedDict)
    _documents_by_digest: OrderedDict[str, Document] = attrs.Factory(OrderedDict)

    async def load(self, head: Head, fetch: FetchPiece) -> LoadedState:
        """Load the state of ``head``; call ``fetch`` for pieces not in the relay."""
        used_digests: set[str] = set()

        async def fetch_cached(digest: str) -> bytes:
            used_digests.add(digest)
            value = self.relay.pieces_by_digest.get(digest)
            if value is None:
                value = await fetch(digest)
                pieces.validate(digest, value)
                self.relay.pieces_by_digest[digest] = value
            return value

        member_list = MemberList(())
        if head.members_digest is not None:
            member_list = await self._load_list(head.members_digest, fetch_cached)
        previous_list = None
        if member_list.previous_digest is not None:
            previous_list = await self._load_list(
                member_list.previous_digest, fetch_cached
            )
        document = None
        if head.document is not None:
            await _fetch_descendants(head.document.digest, fetch_cached)
            document = await self._load_document(head.document.digest, fetch_cached)
        state = AgreedState(head.sequence, member_list.members_by_name, document)
        return LoadedState(
            head, state, member_list, previous_list, frozenset(used_digests)
        )

    async def _load_list(self, digest: str, fetch: FetchPiece) -> MemberList:
        # Joined even if the list is cached, so that its pieces are counted as in use.
        data = await pieces.join(digest, fetch)
        member_list = self._lists_by_digest.get(digest)
        if member_list is None:
            member_list = decode_list(data)
            _cache(self._lists_by_digest, digest, member_list)
        return member_list

    async def _load_document(self, digest: str, fetch: FetchPiece) -> Document:
        data = await pieces.join(digest, fetch)
        document = self._documents_by_digest.get(digest)
        if document is None:
            document = self.decode_document(data)
            _cache(self._documents_by_digest, digest, document)
        return document


async def _fetch_descendants(digest: str, fetch: FetchPiece) -> None:
    """Fetch the pieces of a tree in batches; ``join`` retries those that failed."""
    children = pieces.child_digests(await fetch(digest))
    for start in range(0, len(children), MAX_PIECES_AT_ONCE):
        batch = children[start : start + MAX_PIECES_AT_ONCE]
        fetching = [Deferred.fromCoroutine(_fetch(fetch, child)) for child in batch]
        results = await DeferredList(fetching, consumeErrors=True)
        for child, (is_fetched, value) in zip(batch, results, strict=True):
            if is_fetched and pieces.child_digests(value):
                await _fetch_descendants(child, fetch)


async def _fetch(fetch: FetchPiece, digest: str) -> bytes:
    return await fetch(digest)


def _cache(values: OrderedDict[str, T], digest: str, value: T) -> None:
    values[digest] = value
    if len(values) > MAX_CACHED_VALUES:
        values.popitem(last=False)
