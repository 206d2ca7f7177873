"""Load what heads name and hold the states that may be acted upon."""

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

RECENT_VALUES = 16
MAX_PIECES_AT_ONCE = 32


@attrs.frozen
class LoadedState:
    """A state with the lists that freshness needs and the pieces it is made of."""

    head: Head
    state: AgreedState
    agreed: MemberList
    previous: MemberList | None
    digests: frozenset[str]


@attrs.define(eq=False)
class StateLoader:
    """Fetch and decode what a head names; equal parts are decoded once."""

    relay: Relay
    decode_document: DecodeDocument
    _lists_by_digest: OrderedDict[str, MemberList] = attrs.Factory(OrderedDict)
    _documents_by_digest: OrderedDict[str, Document] = attrs.Factory(OrderedDict)

    async def load(self, head: Head, fetch: FetchPiece) -> LoadedState:
        """Load the state of ``head``; ``fetch`` brings missing pieces."""
        used: set[str] = set()

        async def fetch_kept(digest: str) -> bytes:
            used.add(digest)
            value = self.relay.pieces_by_digest.get(digest)
            if value is None:
                value = await fetch(digest)
                pieces.validate(digest, value)
                self.relay.pieces_by_digest[digest] = value
            return value

        agreed = MemberList(())
        if head.members_digest is not None:
            agreed = await self._list(head.members_digest, fetch_kept)
        previous = None
        if agreed.previous_digest is not None:
            previous = await self._list(agreed.previous_digest, fetch_kept)
        document = None
        if head.document is not None:
            await _fetch_below(head.document.digest, fetch_kept)
            document = await self._document(head.document.digest, fetch_kept)
        state = AgreedState(head.sequence, agreed.members_by_name, document)
        return LoadedState(head, state, agreed, previous, frozenset(used))

    async def _list(self, digest: str, fetch: FetchPiece) -> MemberList:
        # Joined again even when decoded, so that its pieces stay kept.
        data = await pieces.join(digest, fetch)
        agreed = self._lists_by_digest.get(digest)
        if agreed is None:
            agreed = decode_list(data)
            _remember(self._lists_by_digest, digest, agreed)
        return agreed

    async def _document(self, digest: str, fetch: FetchPiece) -> Document:
        data = await pieces.join(digest, fetch)
        document = self._documents_by_digest.get(digest)
        if document is None:
            document = self.decode_document(data)
            _remember(self._documents_by_digest, digest, document)
        return document


async def _fetch_below(digest: str, fetch: FetchPiece) -> None:
    """Fetch the pieces of a tree, some at a time; ``join`` asks again for missing."""
    children = pieces.child_digests(await fetch(digest))
    for start in range(0, len(children), MAX_PIECES_AT_ONCE):
        batch = children[start : start + MAX_PIECES_AT_ONCE]
        fetching = [Deferred.fromCoroutine(_value(fetch, each)) for each in batch]
        results = await DeferredList(fetching, consumeErrors=True)
        for each, (done, value) in zip(batch, results, strict=True):
            if done and pieces.child_digests(value):
                await _fetch_below(each, fetch)


async def _value(fetch: FetchPiece, digest: str) -> bytes:
    return await fetch(digest)


def _remember(values: OrderedDict[str, T], digest: str, value: T) -> None:
    values[digest] = value
    if len(values) > RECENT_VALUES:
        values.popitem(last=False)
