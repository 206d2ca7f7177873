from __future__ import annotations

from gentianhitch.lifecycle import Lifecycle
from gentianhitch.lifecycle import LifecycleActions
from gentianhitch.lifecycle import create_lifecycle


def started(seen: list[str]) -> Lifecycle:
    actions = LifecycleActions(
        seen.append, lambda: seen.append("leave"), lambda: seen.append("exit")
    )
    machine = create_lifecycle(actions)
    machine.started()
    return machine


class TestLifecycle:
    def test_planned_stop_drains_before_exit(self) -> None:
        seen: list[str] = []
        machine = started(seen)
        machine.stop_requested()
        assert seen == ["serving", "leaving", "leave"]
        machine.drained()
        assert seen[3:] == ["stopped", "exit"]

    def test_second_signal_does_not_cut_the_drain_short(self) -> None:
        seen: list[str] = []
        machine = started(seen)
        machine.stop_requested()
        machine.stop_requested()
        assert "exit" not in seen
        assert seen[-1].startswith("still leaving")
