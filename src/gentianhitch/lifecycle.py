"""State machine of an instance, from starting to stopped."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

import attrs
from automat import TypeMachineBuilder


class Lifecycle(Protocol):
    """Inputs of the state machine of one instance."""

    def started(self) -> None:
        """Record that all listeners are open."""

    def stop_requested(self) -> None:
        """Start the graceful shutdown; repeated calls have no effect."""

    def drained(self) -> None:
        """Record that the graceful shutdown has finished its work."""


@attrs.define
class LifecycleActions:
    """Callbacks that the state machine runs on transitions."""

    on_state: Callable[[str], None]
    leave: Callable[[], None]
    exit: Callable[[], None]


_builder = TypeMachineBuilder(Lifecycle, LifecycleActions)
_starting = _builder.state("starting")
_serving = _builder.state("serving")
_leaving = _builder.state("leaving")
_stopped = _builder.state("stopped")


@_starting.upon(Lifecycle.started).to(_serving)
def _serve(machine: Lifecycle, actions: LifecycleActions) -> None:
    actions.on_state("serving")


@_starting.upon(Lifecycle.stop_requested).to(_stopped)
def _stop_early(machine: Lifecycle, actions: LifecycleActions) -> None:
    actions.on_state("stopped")
    actions.exit()


@_serving.upon(Lifecycle.stop_requested).to(_leaving)
def _leave(machine: Lifecycle, actions: LifecycleActions) -> None:
    actions.on_state("leaving")
    actions.leave()


@_leaving.upon(Lifecycle.stop_requested).loop()
def _already_leaving(machine: Lifecycle, actions: LifecycleActions) -> None:
    actions.on_state("still leaving; the graceful shutdown is not cut short")


@_leaving.upon(Lifecycle.drained).to(_stopped)
def _stop(machine: Lifecycle, actions: LifecycleActions) -> None:
    actions.on_state("stopped")
    actions.exit()


@_stopped.upon(Lifecycle.stop_requested).loop()
def _already_stopped(machine: Lifecycle, actions: LifecycleActions) -> None:
    pass


@_stopped.upon(Lifecycle.started).loop()
def _started_after_stop(machine: Lifecycle, actions: LifecycleActions) -> None:
    pass


create_lifecycle = _builder.build()
"""Create a :class:`Lifecycle` in state "starting" that calls the given actions."""
