"""A stand-in for the key-value store of the users' platform, with faults.

Usage: ``python -m standins.key_value_store [--port PORT]``. ``PUT /admin/faults``
takes a JSON object with fields of :class:`StoreFaults`; ``PUT /admin/item?key=KEY``
writes any bytes as the operator or a backend server would, and ``DELETE`` removes them.
``PUT /admin/return?age_ms=AGE&away_ms=AWAY`` resets all calls for a time, then returns
from a copy of that age. What operators and backend servers had written since is written
again, a little later, unless they have written it themselves by then.
"""

from __future__ import annotations

import argparse
import json
from collections import deque
from typing import Any
from typing import Literal

import attrs
import msgspec
from klein import Klein
from twisted.internet.task import LoopingCall

from gentianhitch.platform import wire_names
from standins import serving
from standins.platform_store import Store
from standins.platform_store import StoreCopy
from standins.store_calls import NOT_WRITABLE
from standins.store_calls import StoreAnswer
from standins.store_calls import StoreCalls

COPY_INTERVAL_S = 0.25
KEPT_COPIES = 40
WRITTEN_AGAIN_S = 0.5
"""How long after a return operators and backend servers write again what was lost."""


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
        self.store_calls = StoreCalls(store)
        self.faults = StoreFaults()
        self.calls = 0
        self._copies: deque[StoreCopy] = deque(maxlen=KEPT_COPIES)
        self._copying = LoopingCall(self._take_copy)
        self.app = Klein()
        self._serve("GET", "/v1/kv-key", self._key)
        self._serve("GET", "/v1/kv-range", self._range)
        self._serve("POST", "/v1/kv-txn", self._txn)
        self._serve("POST", "/v1/kv-lease", self._grant)
        self._serve("POST", "/v1/kv-keep/<lease>", self._keep)
        self._serve("DELETE", "/v1/kv-lease-end/<lease>", self._end)
        route: Any = self.app.route
        route("/admin/faults", methods=["PUT"])(self._set_faults)
        route("/admin/return", methods=["PUT"])(self._return_from_copy)
        route("/admin/item", methods=["PUT"])(self._write_item)
        route("/admin/item", methods=["DELETE"])(self._remove_item)

    def _serve(self, method: str, path: str, answer: Any) -> None:
        route: Any = self.app.route(path, methods=[method], endpoint=path)
        route(self._guard(answer))

    @property
    def store(self) -> Store:
        """Return what is served."""
        return self.store_calls.store

    def keep_copies(self) -> None:
        """Take copies from now on, so that the store can return from one."""
        self._copying.start(COPY_INTERVAL_S)

    def _take_copy(self) -> None:
        self._copies.append(self.store.copy())

    def write(self, key: str, value: bytes) -> None:
        """Write an item as the operator or a backend server."""
        self.store_calls.write(key, value)

    def remove(self, key: str) -> None:
        """Remove an item."""
        self.store_calls.remove(key)

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
        return self._reply(request, self.store_calls.key(serving.read_query(request)))

    def _range(self, request: Any) -> bytes:
        return self._reply(request, self.store_calls.range(serving.read_query(request)))

    def _txn(self, request: Any) -> bytes:
        return self._reply(request, self.store_calls.txn(serving.read_json(request)))

    def _grant(self, request: Any) -> bytes:
        return self._reply(request, self.store_calls.grant(serving.read_json(request)))

    def _keep(self, request: Any, lease: str) -> bytes:
        return self._reply(request, self.store_calls.keep(lease))

    def _end(self, request: Any, lease: str) -> bytes:
        return self._reply(request, self.store_calls.end(lease))

    def _set_faults(self, request: Any) -> bytes:
        changes = json.loads(request.content.read())
        wanted = {**attrs.asdict(self.faults), **changes}
        self.faults = msgspec.convert(wanted, StoreFaults)
        return serving.answer_json(request, {})

    def _return_from_copy(self, request: Any) -> bytes:
        age_s, away_s = (
            int(request.args[name][0]) / 1000 for name in (b"age_ms", b"away_ms")
        )
        now = serving.seconds()
        old = [each for each in self._copies if now - each.taken_s >= age_s]
        copy = (old or self._copies)[-1 if old else 0]
        self.faults.outage = "reset"
        serving.call_later(away_s, self._come_back, copy)
        return serving.answer_json(request, {"era": self.store.era + 1})

    def _come_back(self, copy: StoreCopy) -> None:
        lost = self.store.return_from(copy, serving.seconds() - copy.taken_s)
        self._copies.clear()
        self._take_copy()
        self.faults.outage = "none"
        serving.call_later(WRITTEN_AGAIN_S, self._write_again, lost)

    def _write_again(self, lost: dict[str, str | None]) -> None:
        written = [key for key in lost if key.startswith(NOT_WRITABLE)]
        self.store.write_again({key: lost[key] for key in written})

    def _write_item(self, request: Any) -> bytes:
        self.write(request.args[b"key"][0].decode(), request.content.read())
        return serving.answer_json(request, {})

    def _remove_item(self, request: Any) -> bytes:
        self.remove(request.args[b"key"][0].decode())
        return serving.answer_json(request, {})

    def _reply(self, request: Any, answer: StoreAnswer) -> bytes:
        request.setHeader(wire_names.STORE_ERA, str(self.store.era).encode())
        return serving.answer_json(request, answer.body, answer.status)


def main() -> None:
    """Serve until SIGTERM."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, default=0)
    arguments = parser.parse_args()
    store = KeyValueStore(Store(serving.seconds))
    store.keep_copies()
    serving.announce(address=serving.listen(store.app, arguments.port))
    serving.serve()


if __name__ == "__main__":
    main()
