"""Ten thousand requests over reused connections, with faults mixed in."""

from __future__ import annotations

import hashlib
import random
from collections import Counter

import attrs
from twisted.internet.defer import Deferred
from twisted.internet.defer import gatherResults

from tests.builders_path import order
from tests.builders_path import request
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
class Seen:
    """What the callers saw."""

    statuses: Counter = attrs.Factory(Counter)
    outcomes: Counter = attrs.Factory(Counter)
    not_run: set = attrs.Factory(set)
    whole: set = attrs.Factory(set)
    broken: int = 0
    foreign: list = attrs.Factory(list)


def build_plan():
    chance = random.Random(SEED)
    for number in range(REQUESTS):
        fault = "none"
        if chance.random() < FAULT_SHARE:
            fault = chance.choice([each for each in FAULTS if each != "none"])
        build = order if chance.random() < 0.4 else request
        size = chance.choices(SIZES, SIZE_WEIGHTS)[0]
        request_id = f"r{number}"
        data = build(
            X_Fault=fault,
            X_Size=size,
            X_Request_Id=request_id,
            Gentianhitch_Deadline_Ms=DEADLINE_MS
            if fault in ("silent", "late")
            else 5000,
        )
        yield request_id, data


def judge(seen, request_id, got):
    if got is None:
        seen.broken += 1
        return
    seen.statuses[got.status] += 1
    if got.status == 200:
        digest = hashlib.sha256(got.body).hexdigest()
        own = got.body.startswith(f"{request_id} ".encode())
        if not own or got.headers_by_name["x-digest"] != digest:
            seen.foreign.append(request_id)
        seen.whole.add(request_id)
        return
    outcome = got.headers_by_name["gentianhitch-outcome"]
    seen.outcomes[outcome] += 1
    if outcome == "not-run":
        seen.not_run.add(request_id)


async def call(reactor, port, plan, seen):
    caller = await connect_caller(reactor, port)
    for request_id, data in plan:
        if caller.closed or not caller.transport.connected:
            caller = await connect_caller(reactor, port)
        caller.transport.write(data)
        got = await caller.answer()
        judge(seen, request_id, got)
        if got is None or got.headers_by_name.get("connection") == "close":
            caller = await connect_caller(reactor, port)


class TestMixedFaults:
    def test_each_caller_gets_its_own_whole_answers(self):
        runs_by_id = Counter()
        seen = Seen()

        async def scenario(reactor):
            members = {"reactor": reactor, "runs_by_id": runs_by_id}
            target = type("Target", (FaultyTarget,), members)
            path, port = listen(reactor, target=target)
            plan = build_plan()
            await gatherResults(
                [
                    Deferred.fromCoroutine(call(reactor, port, plan, seen))
                    for _ in range(CALLERS)
                ]
            )
            path.close()
            return path.pool.open_by_address()

        run_scenario(scenario)
        order_ids = {
            request_id for request_id, data in build_plan() if data[:4] == b"POST"
        }
        assert seen.foreign == []
        assert not any(runs_by_id[each] for each in seen.not_run)
        assert all(runs_by_id[each] <= 1 for each in order_ids)
        assert all(runs_by_id[each] for each in seen.whole)
        assert sum(seen.statuses.values()) + seen.broken == REQUESTS
        assert seen.statuses[200] > REQUESTS * (1 - FAULT_SHARE)
        assert seen.not_run
        assert seen.broken
        assert seen.outcomes["unknown"]
