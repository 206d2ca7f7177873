"""Answer the calls of the users' platform's store, without a transport."""

from __future__ import annotations

import base64
from http import HTTPStatus
from typing import Any

import attrs

from standins.platform_store import Record
from standins.platform_store import Store
from standins.platform_store import StoreConflictError

PAGE_ITEMS = 500
NOT_WRITABLE = ("op/", "servers/")


@attrs.frozen
class StoreAnswer:
    """The status of one answer and the value that its body holds."""

    body: dict[str, Any]
    status: int = HTTPStatus.OK


@attrs.define
class StoreCalls:
    """Carry out calls on one store; queries and bodies are decoded already."""

    store: Store

    def write(self, key: str, value: bytes) -> None:
        """Write an item as the operator or a backend server."""
        current = self.store.get(key)
        revision = 0 if current is None else current.revision
        self.store.put(key, base64.b64encode(value).decode(), revision, None)

    def remove(self, key: str) -> None:
        """Remove an item."""
        current = self.store.get(key)
        if current is not None:
            self.store.delete(key, current.revision)

    def key(self, query: dict[str, str]) -> StoreAnswer:
        """Return one item."""
        record = self.store.get(query["key"])
        at = self.store.revision
        if record is None:
            return StoreAnswer({"at": at}, HTTPStatus.NOT_FOUND)
        return StoreAnswer({**_show(record), "at": at})

    def range(self, query: dict[str, str]) -> StoreAnswer:
        """Return one page of items."""
        records = self.store.range(query.get("prefix", ""), query.get("after", ""))
        items = [_show(record) for record in records[:PAGE_ITEMS]]
        more = len(records) > PAGE_ITEMS
        return StoreAnswer({"items": items, "hasMore": more, "at": self.store.revision})

    def txn(self, body: dict[str, Any]) -> StoreAnswer:
        """Write and delete if all expected revisions hold."""
        puts = body.get("puts", [])
        if any(put["key"].startswith(NOT_WRITABLE) for put in puts):
            return StoreAnswer({}, HTTPStatus.FORBIDDEN)
        expected = {row["key"]: row["revision"] for row in body.get("expect", [])}
        found = {key: self.store.get(key) for key in expected}
        if any(
            (record.revision if record else 0) != expected[key]
            for key, record in found.items()
        ):
            items = [_show(record) for record in found.values() if record is not None]
            return StoreAnswer({"items": items}, HTTPStatus.PRECONDITION_FAILED)
        try:
            for put in puts:
                current = self.store.get(put["key"])
                lease = put.get("lease")
                self.store.put(
                    put["key"],
                    put["value"],
                    current.revision if current else 0,
                    f"lease-{lease}" if lease else None,
                )
        except StoreConflictError:
            return StoreAnswer({}, HTTPStatus.NOT_FOUND)
        for key in body.get("deletes", []):
            self.remove(key)
        return StoreAnswer({"revision": self.store.revision})

    def grant(self, body: dict[str, Any]) -> StoreAnswer:
        """Create a lease."""
        ttl_ms = body["ttlMs"]
        lease = self.store.grant(ttl_ms / 1000)
        number = int(lease.removeprefix("lease-"))
        return StoreAnswer({"lease": number, "ttlMs": ttl_ms})

    def keep(self, lease: str) -> StoreAnswer:
        """Renew a lease."""
        try:
            self.store.renew(f"lease-{lease}")
        except StoreConflictError:
            return StoreAnswer({}, HTTPStatus.NOT_FOUND)
        return StoreAnswer({"ttlMs": 0})

    def end(self, lease: str) -> StoreAnswer:
        """End a lease."""
        self.store.end(f"lease-{lease}")
        return StoreAnswer({})


def _show(record: Record) -> dict[str, Any]:
    return {
        "key": record.key,
        "value": record.value,
        "revision": record.revision,
        "created": record.created,
    }
