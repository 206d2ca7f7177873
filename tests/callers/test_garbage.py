"""Requests leave no reference cycles, since collector pauses delay other requests."""

from __future__ import annotations

import gc

import pytest

from tests.builders_path import PathHarness
from tests.builders_path import make_order
from tests.builders_path import make_request
from tests.builders_path import make_response

REQUESTS = {
    "read": make_request(),
    "order": make_order(),
    "order with key": make_order(Idempotency_Key="k"),
    "refused": make_request(path="/nowhere"),
    "no key": make_request(key=None),
}


def serve(caller, harness, data, targets):
    caller.send(data)
    while harness.reactor.connect_attempts:
        targets.append(harness.accept())
    for target in targets:
        if target.received():
            target.send(make_response())
    caller.received()


class TestGarbageCollection:
    @pytest.mark.parametrize("name", REQUESTS)
    def test_request_leaves_no_reference_cycle(self, name):
        harness, targets = PathHarness(), []
        caller = harness.caller()
        serve(caller, harness, REQUESTS[name], targets)
        gc.collect()
        gc.disable()
        try:
            for _ in range(10):
                serve(caller, harness, REQUESTS[name], targets)
            assert gc.collect() == 0
        finally:
            gc.enable()
