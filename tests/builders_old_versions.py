"""Instances that speak as the version before evacuations and cold servers."""

from __future__ import annotations

import msgspec

from gentianhitch.instances.datagrams import FreshnessQuery
from gentianhitch.instances.datagrams import FreshnessReply
from gentianhitch.proxy.instance import ProxyInstance


class OldQuery(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """The query of the older version."""

    sender: str
    sent_s: float
    revision: int
    digests: bytes = b""


class OldReply(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """The reply of the older version."""

    sender: str
    query_sent_s: float
    listing_age_s: float
    listing_revision: int
    digest: bytes
    configuration_age_s: float
    configuration_revision: int
    is_compared: bool = False
    buckets: list[tuple[int, bytes]] = []
    remaining: int = 0


def as_old_reply(reply: FreshnessReply) -> FreshnessReply:
    """Return what is left of a reply when an older version sends or reads it."""
    old = msgspec.msgpack.decode(msgspec.msgpack.encode(reply), type=OldReply)
    return msgspec.msgpack.decode(msgspec.msgpack.encode(old), type=FreshnessReply)


def as_old_query(query: FreshnessQuery) -> FreshnessQuery:
    """Return what is left of a query when an older version sends or reads it."""
    old = msgspec.msgpack.decode(msgspec.msgpack.encode(query), type=OldQuery)
    return msgspec.msgpack.decode(msgspec.msgpack.encode(old), type=FreshnessQuery)


def make_old(instance: ProxyInstance) -> None:
    """Have a running instance exchange its listing as the older version does."""
    refresher = instance._refresher
    query, build, handle = (
        refresher._query,
        refresher.build_reply,
        refresher.handle_reply,
    )

    def build_reply(ask: FreshnessQuery) -> FreshnessReply | None:
        reply = build(as_old_query(ask))
        return None if reply is None else as_old_reply(reply)

    def make_query(
        now: float, *, compare: bool = False, full: bool = False
    ) -> FreshnessQuery:
        return as_old_query(query(now, compare=compare, full=False))

    def handle_reply(reply: FreshnessReply) -> None:
        handle(as_old_reply(reply))
        # The older version reads the store for the listing and configuration only.
        instance.store_view.details_verified_s = instance.store_view.listing_verified_s

    refresher._query = make_query  # type: ignore[method-assign]
    refresher.build_reply = build_reply  # type: ignore[method-assign]
    refresher.handle_reply = handle_reply  # type: ignore[method-assign]
