from __future__ import annotations

from random import Random

import pytest
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock
from twisted.python.failure import Failure

from gentianhitch.decisions.interfaces import NoSlotError
from gentianhitch.decisions.targets.queueing import MAX_QUEUED
from gentianhitch.decisions.targets.queueing import MAX_QUEUED_BY_WORKSPACE
from gentianhitch.decisions.targets.queueing import FairQueue
from gentianhitch.decisions.targets.selector import TargetPool
from gentianhitch.decisions.targets.slots import QueuedSlots
from gentianhitch.decisions.targets.target_health import AlwaysGoodTracker
from gentianhitch.operators.document import BackendServer
from tests.builders_targets import READ
from tests.builders_targets import agreement
from tests.builders_targets import attempt

FAR = 1e9


class TestFairQueue:
    def test_workspace_that_floods_gets_every_second_turn(self) -> None:
        queue: FairQueue[int] = FairQueue()
        for index in range(100):
            queue.enqueue("large", FAR, 0.0, index)
        for index in range(10):
            queue.enqueue("small", FAR, 0.0, index)
        order = [queue.serve_next(lambda _: True) for _ in range(20)]
        assert [r.workspace for r in order if r].count("small") == 10

    def test_idle_workspace_accumulates_no_turns(self) -> None:
        queue: FairQueue[int] = FairQueue()
        for index in range(100):
            queue.enqueue("a", FAR, 0.0, index)
        for _ in range(50):
            queue.serve_next(lambda _: True)
        for index in range(50):
            queue.enqueue("b", FAR, 0.0, index)
        order = [queue.serve_next(lambda _: True) for _ in range(20)]
        assert 9 <= [r.workspace for r in order if r].count("a") <= 11

    def test_workspace_that_requeues_at_once_gets_every_second_turn(self) -> None:
        queue: FairQueue[int] = FairQueue()
        for index in range(100):
            queue.enqueue("large", FAR, 0.0, index)
        order = []
        for index in range(20):
            if index == 0 or order[-1] == "quick":
                queue.enqueue("quick", FAR, 0.0, index)
            request = queue.serve_next(lambda _: True)
            assert request is not None
            order.append(request.workspace)
        assert order.count("large") == 10

    def test_workspaces_take_turns(self) -> None:
        queue: FairQueue[str] = FairQueue()
        for name in ("a1", "a2", "a3", "b1", "c1"):
            queue.enqueue(name[0], FAR, 0.0, name)
        requests = [queue.serve_next(lambda _: True) for _ in range(6)]
        assert [r and r.item for r in requests] == ["a1", "b1", "c1", "a2", "a3", None]
        assert len(queue) == 0

    def test_request_without_a_slot_stays_first(self) -> None:
        queue: FairQueue[str] = FairQueue()
        queue.enqueue("a", FAR, 0.0, "a1")
        queue.enqueue("a", FAR, 0.0, "a2")
        assert queue.serve_next(lambda _: False) is None
        requests = [queue.serve_next(lambda _: True) for _ in range(2)]
        assert [r and r.item for r in requests] == ["a1", "a2"]

    def test_queue_is_bounded_by_workspace_and_in_total(self) -> None:
        queue: FairQueue[int] = FairQueue()
        for index in range(MAX_QUEUED_BY_WORKSPACE):
            queue.enqueue("a", FAR, 0.0, index)
        with pytest.raises(NoSlotError, match="full"):
            queue.enqueue("a", FAR, 0.0, 0)
        for index in range(MAX_QUEUED - MAX_QUEUED_BY_WORKSPACE):
            queue.enqueue(str(index), FAR, 0.0, index)
        with pytest.raises(NoSlotError, match="full"):
            queue.enqueue("z", FAR, 0.0, 0)
        assert len(queue) == MAX_QUEUED

    def test_removed_request_is_not_served(self) -> None:
        queue: FairQueue[int] = FairQueue()
        request = queue.enqueue("a", FAR, 0.0, 1)
        queue.remove(request)
        queue.remove(request)
        assert queue.serve_next(lambda _: True) is None
        assert len(queue) == 0

    def test_blocked_workspace_does_not_block_the_others(self) -> None:
        queue: FairQueue[int] = FairQueue()
        queue.enqueue("a", FAR, 0.0, 1)
        queue.enqueue("b", FAR, 0.0, 2)
        request = queue.serve_next(lambda request: request.workspace == "b")
        assert request is not None
        assert request.item == 2

    def test_late_and_excess_requests_are_refused_at_once(self) -> None:
        queue: FairQueue[int] = FairQueue()
        for at in range(50):
            queue.record_release(0.1, at * 0.1)
            queue.enqueue("a", FAR, at * 0.1, at)
        with pytest.raises(NoSlotError, match="deadline") as caught:
            queue.enqueue("a", 5.5, 5.0, 0)
        assert caught.value.retry_after_s > 4.0
        assert queue.enqueue("b", 5.5, 5.0, 0) is not None
        with pytest.raises(NoSlotError, match="full"):
            for _ in range(MAX_QUEUED_BY_WORKSPACE):
                queue.enqueue("a", FAR, 5.0, 0)


class TestQueuedSlots:
    def setup_method(self) -> None:
        self.clock = Clock()
        self.pool = TargetPool(
            agreement(1, targets=1, slots=1), "i0", "d1", AlwaysGoodTracker(), Random(1)
        )
        self.slots = QueuedSlots(self.pool, self.clock)

    def acquire(self, deadline: float = FAR) -> Deferred[BackendServer]:
        return self.slots.acquire("stock", READ, "w", deadline)

    def test_released_slot_goes_to_the_next_request(self) -> None:
        reserved: list[BackendServer] = []
        for _ in range(2):
            self.acquire().addCallback(reserved.append)
        assert len(reserved) == 1
        self.pool.record(attempt("t0"), 0.02)
        assert len(reserved) == 2

    def test_queued_request_fails_before_its_deadline(self) -> None:
        self.acquire()
        failed: list[Failure] = []
        self.acquire(deadline=0.5).addErrback(failed.append)
        self.clock.pump([0.01] * 49)
        assert [failure.type for failure in failed] == [NoSlotError]

    def test_cancelled_request_takes_no_slot(self) -> None:
        self.acquire()
        waiting = self.acquire()
        waiting.addErrback(lambda _: None)
        waiting.cancel()
        self.pool.record(attempt("t0"), 0.02)
        assert self.pool.outstanding.count("t0") == 0
        assert self.slots.queued("stock") == 0
