from __future__ import annotations

from gentianhitch.lifecycle import Lifecycle
from gentianhitch.lifecycle import LifecycleActions
from gentianhitch.lifecycle import create_lifecycle


def start_lifecycle(calls: list[str]) -> Lifecycle:
    actions = LifecycleActions(
        calls.append, lambda: calls.append("leave"), lambda: calls.append("exit")
    )
    machine = create_lifecycle(actions)
    machine.started()
    return machine


class TestLifecycle:
    def test_stop_drains_before_exit(self) -> None:
        calls: list[str] = []
        machine = start_lifecycle(calls)
        machine.stop_requested()
        assert calls == ["serving", "leaving", "leave"]
        machine.drained()
        assert calls[3:] == ["stopped", "exit"]

    def test_second_stop_request_does_not_end_the_drain(self) -> None:
        calls: list[str] = []
        machine = start_lifecycle(calls)
        machine.stop_requested()
        machine.stop_requested()
        assert "exit" not in calls
        assert calls[-1].startswith("still leaving")
