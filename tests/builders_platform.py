"""Build platforms, heads and documents for tests."""

from __future__ import annotations

from collections.abc import Coroutine
from typing import Any
from typing import TypeVar

from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from gentianhitch.platform.memory import MemoryPlatform
from gentianhitch.platform.memory import MemoryStore

T = TypeVar("T")

ENVIRONMENT = "production"


def make_store() -> MemoryStore:
    return MemoryStore(Clock())


def make_platform(store: MemoryStore | None = None) -> MemoryPlatform:
    return MemoryPlatform(store or make_store())


def run(coroutine: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine that waits for nothing outside the test."""
    done: list[T] = []
    failed: list[BaseException] = []
    deferred = Deferred.fromCoroutine(coroutine)
    deferred.addCallbacks(done.append, lambda failure: failed.append(failure.value))
    if failed:
        raise failed[0]
    assert done, "the coroutine still waits"
    return done[0]
