"""Ten thousand requests over reused connections, a tenth of them with faults."""

from __future__ import annotations

import hashlib
import random
from collections import Counter

import attrs
from twisted.internet.defer import Deferred
from twisted.internet.defer import gatherResults

from tests.builders_path import make_order
from tests.builders_path import make_request
from tests.callers.test_sockets import listen
from tests.faulty_target import FAULTS
from tests.faulty_target import FaultyTarget
from tests.reactors import connect_caller
from tests.reactors import run_scenario

SEED = 20_261_204
REQUESTS = 10_000
CALLERS = 16
FAULT_SHARE = 0.1
SIZES = (1, 200, 16_000, 200_000)
SIZE_WEIGHTS = (4, 8, 2, 1)
DEADLINE_MS = 150


@attrs.define
class CallerResults:
    """The responses that all callers received; the collections hold request ids."""

    statuses: Counter = attrs.Factory(Counter)
    outcomes: Counter = attrs.Factory(Counter)
    not_run: set = attrs.Factory(set)
    complete: set = attrs.Factory(set)
    truncated: int = 0
    mismatched: list = attrs.Factory(list)


def build_plan():
    rng = random.Random(SEED)
    for number in range(REQUESTS):
        fault = "none"
        if rng.random() < FAULT_SHARE:
            fault = rng.choice([name for name in FAULTS if name != "none"])
        make = make_order if rng.random() < 0.4 else make_request
        size = rng.choices(SIZES, SIZE_WEIGHTS)[0]
        request_id = f"r{number}"
        data = make(
            X_Fault=fault,
            X_Size=size,
            X_Request_Id=request_id,
            Gentianhitch_Deadline_Ms=DEADLINE_MS
            if fault in ("silent", "late")
            else 5000,
        )
        yield request_id, data


def record_response(results, request_id, got):
    if got is None:
        results.truncated += 1
        return
    results.statuses[got.status] += 1
    if got.status == 200:
        digest = hashlib.sha256(got.body).hexdigest()
        is_own = got.body.startswith(f"{request_id} ".encode())
        if not is_own or got.headers_by_name["x-digest"] != digest:
            results.mismatched.append(request_id)
        results.complete.add(request_id)
        return
    outcome = got.headers_by_name["gentianhitch-outcome"]
    results.outcomes[outcome] += 1
    if outcome == "not-run":
        results.not_run.add(request_id)


async def send_requests(reactor, port, plan, results):
    caller = await connect_caller(reactor, port)
    for request_id, data in plan:
        if caller.closed or not caller.transport.connected:
            caller = await connect_caller(reactor, port)
        caller.transport.write(data)
        got = await caller.answer()
        record_response(results, request_id, got)
        if got is None or got.headers_by_name.get("connection") == "close":
            caller = await connect_caller(reactor, port)


class TestMixedFaults:
    # Guards against responses that reach another caller or look complete though they
    # are not, and against wrong outcomes of requests that failed.
    def test_each_caller_gets_its_own_complete_responses(self):
        runs_by_id = Counter()
        results = CallerResults()

        async def scenario(reactor):
            members = {"reactor": reactor, "runs_by_id": runs_by_id}
            target = type("Target", (FaultyTarget,), members)
            path, port = listen(reactor, target=target)
            plan = build_plan()
            await gatherResults(
                [
                    Deferred.fromCoroutine(send_requests(reactor, port, plan, results))
                    for _ in range(CALLERS)
                ]
            )
            path.close()
            return path.pool.open_by_address()

        run_scenario(scenario)
        order_ids = {
            request_id for request_id, data in build_plan() if data[:4] == b"POST"
        }
        assert results.mismatched == []
        assert not any(runs_by_id[request_id] for request_id in results.not_run)
        assert all(runs_by_id[request_id] <= 1 for request_id in order_ids)
        assert all(runs_by_id[request_id] for request_id in results.complete)
        assert sum(results.statuses.values()) + results.truncated == REQUESTS
        assert results.statuses[200] > REQUESTS * (1 - FAULT_SHARE)
        assert results.not_run
        assert results.truncated
        assert results.outcomes["unknown"]
