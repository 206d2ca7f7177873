"""The platform's store on a host of the simulated network."""

from __future__ import annotations

import base64
import json
from typing import Any

from twisted.web.resource import Resource

from standins.platform_store import Record
from standins.platform_store import Store
from standins.platform_store import StoreConflictError


class SimulatedStore(Resource):
    """Answer the store's calls at once; the operator and servers write to ``store``."""

    isLeaf = True  # noqa: N815

    def __init__(self, store: Store) -> None:
        super().__init__()
        self.store = store
        self.calls = 0

    def write(self, key: str, value: object) -> None:
        current = self.store.get(key)
        encoded = base64.b64encode(json.dumps(value).encode()).decode()
        self.store.put(key, encoded, current.revision if current else 0, None)

    def remove(self, key: str) -> None:
        current = self.store.get(key)
        assert current is not None
        self.store.delete(key, current.revision)

    def render(self, request: Any) -> bytes:
        self.calls += 1
        _, _, call, *rest = request.path.decode().split("/")
        body = json.loads(request.content.read() or b"{}")
        answers = {
            "kv-key": self._key,
            "kv-range": self._range,
            "kv-txn": self._txn,
            "kv-lease": self._grant,
            "kv-keep": self._keep,
            "kv-lease-end": self._end,
        }
        status, shown = answers[call](request, body, *rest)
        request.setResponseCode(status)
        return json.dumps(shown).encode()

    def _key(self, request: Any, body: Any) -> tuple[int, Any]:
        record = self.store.get(request.args[b"key"][0].decode())
        if record is None:
            return 404, {"at": self.store.revision}
        return 200, {**show(record), "at": self.store.revision}

    def _range(self, request: Any, body: Any) -> tuple[int, Any]:
        prefix = request.args.get(b"prefix", [b""])[0].decode()
        after = request.args.get(b"after", [b""])[0].decode()
        items = [show(each) for each in self.store.range(prefix, after)]
        return 200, {"items": items, "hasMore": False, "at": self.store.revision}

    def _txn(self, request: Any, body: Any) -> tuple[int, Any]:
        expected = {row["key"]: row["revision"] for row in body["expect"]}
        current = {key: self.store.get(key) for key in expected}
        if any(
            (record.revision if record else 0) != expected[key]
            for key, record in current.items()
        ):
            items = [show(record) for record in current.values() if record]
            return 412, {"items": items}
        try:
            for put in body["puts"]:
                old = self.store.get(put["key"])
                lease = f"lease-{put['lease']}" if put.get("lease") else None
                revision = old.revision if old else 0
                self.store.put(put["key"], put["value"], revision, lease)
        except StoreConflictError:
            return 404, {}
        return 200, {"revision": self.store.revision}

    def _grant(self, request: Any, body: Any) -> tuple[int, Any]:
        lease = self.store.grant(body["ttlMs"] / 1000)
        return 200, {"lease": int(lease.removeprefix("lease-")), **body}

    def _keep(self, request: Any, body: Any, lease: str) -> tuple[int, Any]:
        try:
            self.store.renew(f"lease-{lease}")
        except StoreConflictError:
            return 404, {}
        return 200, {"ttlMs": 0}

    def _end(self, request: Any, body: Any, lease: str) -> tuple[int, Any]:
        self.store.end(f"lease-{lease}")
        return 200, {}


def show(record: Record) -> dict[str, Any]:
    return {
        "key": record.key,
        "value": record.value,
        "revision": record.revision,
        "created": record.created,
    }
