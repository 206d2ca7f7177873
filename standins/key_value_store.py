"""A stand-in for the key-value store of the users' platform, with faults.

Usage: ``python -m standins.key_value_store [--port PORT]``. ``PUT /admin/faults``
takes a JSON object with fields of :class:`StoreFaults`; ``PUT /admin/item?key=KEY``
writes any bytes as the operator or a backend server would.
"""

from __future__ import annotations

import argparse
import base64
import json
from typing import Any
from typing import Literal

import attrs
import msgspec
from klein import Klein

from standins import serving
from standins.platform_store import Record
from standins.platform_store import Store
from standins.platform_store import StoreConflictError

PAGE_ITEMS = 500
NOT_WRITABLE = ("op/", "servers/")


@attrs.define
class StoreFaults:
    """Say which faults are on.

    ``outage`` refuses calls with 503 or 429, resets their connections or never
    answers; ``lost_answers`` is how many coming writes are done and not answered.
    """

    outage: Literal["none", "busy", "many", "reset", "silent"] = "none"
    slow_ms: float = 0.0
    lost_answers: int = 0


class KeyValueStore:
    """Serve the store's calls over HTTP."""

    def __init__(self, store: Store) -> None:
        self.store = store
        self.faults = StoreFaults()
        self.calls = 0
        self.app = Klein()
        self._serve("GET", "/v1/kv-key", self._key)
        self._serve("GET", "/v1/kv-range", self._range)
        self._serve("POST", "/v1/kv-txn", self._txn)
        self._serve("POST", "/v1/kv-lease", self._grant)
        self._serve("POST", "/v1/kv-keep/<lease>", self._keep)
        self._serve("DELETE", "/v1/kv-lease-end/<lease>", self._end)
        route: Any = self.app.route
        route("/admin/faults", methods=["PUT"])(self._set_faults)
        route("/admin/item", methods=["PUT"])(self._write_item)

    def _serve(self, method: str, path: str, answer: Any) -> None:
        route: Any = self.app.route(path, methods=[method], endpoint=path)
        route(self._guard(answer))

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

    def _guard(self, answer: Any) -> Any:
        async def guarded(request: Any, **parts: str) -> bytes:
            self.calls += 1
            faults = self.faults
            await serving.after(faults.slow_ms / 1000)
            if faults.outage in ("busy", "many"):
                request.setResponseCode(503 if faults.outage == "busy" else 429)
                return b""
            if faults.outage == "reset":
                await serving.drop(request)
            if faults.outage == "silent":
                await serving.never()
            result: bytes = answer(request, **parts)
            if request.method != b"GET" and faults.lost_answers > 0:
                faults.lost_answers -= 1
                await serving.drop(request)
            return result

        return guarded

    def _key(self, request: Any) -> bytes:
        record = self.store.get(request.args[b"key"][0].decode())
        at = self.store.revision
        if record is None:
            return serving.answer_json(request, {"at": at}, 404)
        return serving.answer_json(request, {**_show(record), "at": at})

    def _range(self, request: Any) -> bytes:
        prefix = request.args.get(b"prefix", [b""])[0].decode()
        after = request.args.get(b"after", [b""])[0].decode()
        records = self.store.range(prefix, after)
        items = [_show(record) for record in records[:PAGE_ITEMS]]
        more = len(records) > PAGE_ITEMS
        at = self.store.revision
        return serving.answer_json(request, {"items": items, "hasMore": more, "at": at})

    def _txn(self, request: Any) -> bytes:
        body = serving.read_json(request)
        puts = body.get("puts", [])
        if any(put["key"].startswith(NOT_WRITABLE) for put in puts):
            return serving.answer_json(request, {}, 403)
        expected = {row["key"]: row["revision"] for row in body.get("expect", [])}
        found = {key: self.store.get(key) for key in expected}
        if any(
            (record.revision if record else 0) != expected[key]
            for key, record in found.items()
        ):
            items = [_show(record) for record in found.values() if record is not None]
            return serving.answer_json(request, {"items": items}, 412)
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
            return serving.answer_json(request, {}, 404)
        for key in body.get("deletes", []):
            self.remove(key)
        return serving.answer_json(request, {"revision": self.store.revision})

    def _grant(self, request: Any) -> bytes:
        ttl_ms = serving.read_json(request)["ttlMs"]
        lease = self.store.grant(ttl_ms / 1000)
        number = int(lease.removeprefix("lease-"))
        return serving.answer_json(request, {"lease": number, "ttlMs": ttl_ms})

    def _keep(self, request: Any, lease: str) -> bytes:
        try:
            self.store.renew(f"lease-{lease}")
        except StoreConflictError:
            return serving.answer_json(request, {}, 404)
        return serving.answer_json(request, {"ttlMs": 0})

    def _end(self, request: Any, lease: str) -> bytes:
        self.store.end(f"lease-{lease}")
        return serving.answer_json(request, {})

    def _set_faults(self, request: Any) -> bytes:
        changes = json.loads(request.content.read())
        wanted = {**attrs.asdict(self.faults), **changes}
        self.faults = msgspec.convert(wanted, StoreFaults)
        return serving.answer_json(request, {})

    def _write_item(self, request: Any) -> bytes:
        self.write(request.args[b"key"][0].decode(), request.content.read())
        return serving.answer_json(request, {})


def _show(record: Record) -> dict[str, Any]:
    return {
        "key": record.key,
        "value": record.value,
        "revision": record.revision,
        "created": record.created,
    }


def main() -> None:
    """Serve until SIGTERM."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, default=0)
    arguments = parser.parse_args()
    store = KeyValueStore(Store(serving.seconds))
    serving.announce(address=serving.listen(store.app, arguments.port))
    serving.serve()


if __name__ == "__main__":
    main()
