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
    def test_flooding_workspace_gets_every_second_turn(self) -> None:
        queue: FairQueue[int] = FairQueue()
        for index in range(100):
            queue.enter("large", FAR, 0.0, index)
        for index in range(10):
            queue.enter("small", FAR, 0.0, index)
        order = [queue.next(lambda _: True) for _ in range(20)]
        assert [t.workspace for t in order if t].count("small") == 10

    def test_idle_workspace_saves_no_turns(self) -> None:
        queue: FairQueue[int] = FairQueue()
        for index in range(100):
            queue.enter("a", FAR, 0.0, index)
        for _ in range(50):
            queue.next(lambda _: True)
        for index in range(50):
            queue.enter("b", FAR, 0.0, index)
        order = [queue.next(lambda _: True) for _ in range(20)]
        assert 9 <= [t.workspace for t in order if t].count("a") <= 11

    def test_workspace_that_comes_back_at_once_gets_one_turn_in_two(self) -> None:
        queue: FairQueue[int] = FairQueue()
        for index in range(100):
            queue.enter("large", FAR, 0.0, index)
        order = []
        for index in range(20):
            if index == 0 or order[-1] == "quick":
                queue.enter("quick", FAR, 0.0, index)
            ticket = queue.next(lambda _: True)
            assert ticket is not None
            order.append(ticket.workspace)
        assert order.count("large") == 10

    def test_workspaces_take_turns(self) -> None:
        queue: FairQueue[str] = FairQueue()
        for name in ("a1", "a2", "a3", "b1", "c1"):
            queue.enter(name[0], FAR, 0.0, name)
        tickets = [queue.next(lambda _: True) for _ in range(6)]
        assert [t and t.item for t in tickets] == ["a1", "b1", "c1", "a2", "a3", None]
        assert len(queue) == 0

    def test_request_that_finds_no_slot_stays_first(self) -> None:
        queue: FairQueue[str] = FairQueue()
        queue.enter("a", FAR, 0.0, "a1")
        queue.enter("a", FAR, 0.0, "a2")
        assert queue.next(lambda _: False) is None
        tickets = [queue.next(lambda _: True) for _ in range(2)]
        assert [t and t.item for t in tickets] == ["a1", "a2"]

    def test_queue_is_bounded_for_each_workspace_and_in_all(self) -> None:
        queue: FairQueue[int] = FairQueue()
        for index in range(MAX_QUEUED_BY_WORKSPACE):
            queue.enter("a", FAR, 0.0, index)
        with pytest.raises(NoSlotError, match="full"):
            queue.enter("a", FAR, 0.0, 0)
        for index in range(MAX_QUEUED - MAX_QUEUED_BY_WORKSPACE):
            queue.enter(str(index), FAR, 0.0, index)
        with pytest.raises(NoSlotError, match="full"):
            queue.enter("z", FAR, 0.0, 0)
        assert len(queue) == MAX_QUEUED

    def test_withdrawn_request_is_never_offered(self) -> None:
        queue: FairQueue[int] = FairQueue()
        ticket = queue.enter("a", FAR, 0.0, 1)
        queue.leave(ticket)
        queue.leave(ticket)
        assert queue.next(lambda _: True) is None
        assert len(queue) == 0

    def test_blocked_head_does_not_hold_up_other_workspaces(self) -> None:
        queue: FairQueue[int] = FairQueue()
        queue.enter("a", FAR, 0.0, 1)
        queue.enter("b", FAR, 0.0, 2)
        ticket = queue.next(lambda ticket: ticket.workspace == "b")
        assert ticket is not None
        assert ticket.item == 2

    def test_refuses_early_what_would_be_late_and_what_overflows(self) -> None:
        queue: FairQueue[int] = FairQueue()
        for at in range(50):
            queue.served(0.1, at * 0.1)
            queue.enter("a", FAR, at * 0.1, at)
        with pytest.raises(NoSlotError, match="deadline") as caught:
            queue.enter("a", 5.5, 5.0, 0)
        assert caught.value.retry_after_s > 4.0
        assert queue.enter("b", 5.5, 5.0, 0) is not None
        with pytest.raises(NoSlotError, match="full"):
            for _ in range(MAX_QUEUED_BY_WORKSPACE):
                queue.enter("a", FAR, 5.0, 0)


class TestQueuedSlots:
    def setup_method(self) -> None:
        self.clock = Clock()
        self.pool = TargetPool(
            agreement(1, targets=1, slots=1), "i0", "d1", AlwaysGoodTracker(), Random(1)
        )
        self.slots = QueuedSlots(self.pool, self.clock)

    def acquire(self, deadline: float = FAR) -> Deferred[BackendServer]:
        return self.slots.acquire("stock", READ, "w", deadline)

    def test_release_serves_the_next_in_the_queue(self) -> None:
        got: list[BackendServer] = []
        for _ in range(2):
            self.acquire().addCallback(got.append)
        assert len(got) == 1
        self.pool.record(attempt("t0"), 0.02)
        assert len(got) == 2

    def test_deadline_in_the_queue_fails_before_it_passes(self) -> None:
        self.acquire()
        failed: list[Failure] = []
        self.acquire(deadline=0.5).addErrback(failed.append)
        self.clock.pump([0.01] * 49)
        assert [failure.type for failure in failed] == [NoSlotError]

    def test_cancelled_request_never_takes_a_slot(self) -> None:
        self.acquire()
        waiting = self.acquire()
        waiting.addErrback(lambda _: None)
        waiting.cancel()
        self.pool.record(attempt("t0"), 0.02)
        assert self.pool.outstanding.count("t0") == 0
        assert self.slots.queued("stock") == 0
