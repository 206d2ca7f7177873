"""Requests wait for slots, fairly between workspaces."""

from __future__ import annotations

from gentianhitch.decisions.waiting import MAX_WAITING_PER_SERVICE
from gentianhitch.decisions.waiting import MAX_WAITING_PER_WORKSPACE
from gentianhitch.decisions.waiting import FairQueue


class TestFairQueue:
    def test_workspaces_take_turns(self):
        queue, served = FairQueue(), []
        for name in ("a1", "a2", "a3", "b1", "c1"):
            queue.add(name[0], lambda name=name: served.append(name) or True)
        for _ in range(6):
            queue.slot_released()
        assert served == ["a1", "b1", "c1", "a2", "a3"]
        assert len(queue) == 0

    def test_request_that_finds_no_slot_stays_first(self):
        queue, served, slots = FairQueue(), [], []

        def retry(name):
            if slots:
                slots.pop()
                served.append(name)
                return True
            return False

        queue.add("a", lambda: retry("a1"))
        queue.add("a", lambda: retry("a2"))
        queue.slot_released()
        assert served == []
        slots.extend((1, 1))
        queue.slot_released()
        queue.slot_released()
        assert served == ["a1", "a2"]

    def test_queue_is_bounded_for_each_workspace_and_in_all(self):
        queue = FairQueue()
        added = [
            queue.add("a", lambda: False) for _ in range(MAX_WAITING_PER_WORKSPACE + 1)
        ]
        assert added[-1] is None
        assert added[-2] is not None
        for number in range(MAX_WAITING_PER_SERVICE):
            queue.add(str(number), lambda: False)
        assert len(queue) == MAX_WAITING_PER_SERVICE

    def test_cancelled_request_is_never_tried(self):
        queue = FairQueue()
        waiter = queue.add("a", lambda: 1 / 0)
        queue.cancel(waiter)
        queue.cancel(waiter)
        queue.slot_released()
        assert len(queue) == 0

    def test_retry_may_cancel_its_own_waiter(self):
        queue = FairQueue()
        waiter = queue.add("a", lambda: queue.cancel(waiter))
        queue.slot_released()
        queue.slot_released()
        assert len(queue) == 0
