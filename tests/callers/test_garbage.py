"""Requests leave nothing to the garbage collector, whose pauses delay others."""

from __future__ import annotations

import gc

import pytest

from tests.builders_path import PathBench
from tests.builders_path import answer
from tests.builders_path import order
from tests.builders_path import request

REQUESTS = {
    "read": request(),
    "order": order(),
    "order with key": order(Idempotency_Key="k"),
    "refused": request(path="/nowhere"),
    "no key": request(key=None),
}


def serve(caller, bench, data, targets):
    caller.send(data)
    while bench.reactor.dials:
        targets.append(bench.accept())
    for target in targets:
        if target.received():
            target.send(answer())
    caller.received()


class TestGarbage:
    @pytest.mark.parametrize("name", REQUESTS)
    def test_request_leaves_no_reference_cycle(self, name):
        bench, targets = PathBench(), []
        caller = bench.caller()
        serve(caller, bench, REQUESTS[name], targets)
        gc.collect()
        gc.disable()
        try:
            for _ in range(10):
                serve(caller, bench, REQUESTS[name], targets)
            assert gc.collect() == 0
        finally:
            gc.enable()
