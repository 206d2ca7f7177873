"""The platform's store on a host of the simulated network."""

from __future__ import annotations

import json
from collections import Counter
from http import HTTPStatus
from typing import Any

from twisted.web.resource import Resource

from gentianhitch.platform import wire_names
from standins import serving
from standins.platform_store import Store
from standins.store_calls import StoreAnswer
from standins.store_calls import StoreCalls


class SimulatedStore(Resource):
    """Answer the store's calls at once; the operator and servers write to it.

    ``calls_by_name`` counts the calls; none is answered with success while it is down,
    and never those from ``refused_hosts``.
    """

    isLeaf = True  # noqa: N815

    def __init__(self, store: Store) -> None:
        super().__init__()
        self.store = store
        self._calls = StoreCalls(store)
        self.calls_by_name: Counter[str] = Counter()
        self.is_down = False
        self.refused_hosts: set[str] = set()

    def write(self, key: str, value: object) -> None:
        self._calls.write(key, json.dumps(value).encode())

    def write_raw(self, key: str, value: bytes) -> None:
        self._calls.write(key, value)

    def remove(self, key: str) -> None:
        self._calls.remove(key)

    def render(self, request: Any) -> bytes:
        answer = self._answer(request)
        request.setResponseCode(answer.status)
        request.setHeader(wire_names.STORE_ERA, str(self.store.era).encode())
        return json.dumps(answer.body).encode()

    def _answer(self, request: Any) -> StoreAnswer:
        _, _, call, *lease = request.path.decode().split("/")
        self.calls_by_name[call] += 1
        if self.is_down or request.getClientAddress().host in self.refused_hosts:
            return StoreAnswer({}, HTTPStatus.SERVICE_UNAVAILABLE)
        calls = self._calls
        if lease:
            return {"kv-keep": calls.keep, "kv-lease-end": calls.end}[call](*lease)
        if request.method == b"GET":
            query = serving.read_query(request)
            return {"kv-key": calls.key, "kv-range": calls.range}[call](query)
        body = serving.read_json(request)
        return {"kv-txn": calls.txn, "kv-lease": calls.grant}[call](body)
