"""Build platforms, heads and documents for tests."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Coroutine
from typing import Any
from typing import TypeVar

import attrs
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from gentianhitch.addresses import Address
from gentianhitch.operators.document import BackendServer
from gentianhitch.operators.document import Document
from gentianhitch.operators.document import Route
from gentianhitch.operators.document import Service
from gentianhitch.operators.document import Workspace
from gentianhitch.operators.head import head_key
from gentianhitch.platform.memory import MemoryPlatform
from gentianhitch.platform.memory import MemoryStore

T = TypeVar("T")

ENVIRONMENT = "production"
HEAD_KEY = head_key(ENVIRONMENT)


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


def before_next_put(
    store: MemoryStore, written_key: str, event: Callable[[], object]
) -> None:
    """Call ``event`` once, when a write of ``written_key`` has arrived."""
    ignore = store.before_put

    def arrive(key: str) -> None:
        if key == written_key:
            store.before_put = ignore
            event()

    store.before_put = arrive


def make_document(**changes: Any) -> Document:
    """Build a sound document of one workspace, service, server and route."""
    server = BackendServer("s-1", Address("127.0.0.1", 9000), "d1", "stock", 6, 330)
    document = Document(
        environment=ENVIRONMENT,
        workspaces=(Workspace("nord", 10, 20), Workspace("syd", 5, 10)),
        services=(Service("stock", 3, 1000),),
        backend_servers=(server,),
        routes=(Route("GET", "/stock/*", "stock", True),),
    )
    return attrs.evolve(document, **changes)


def make_large_document() -> Document:
    """Build a document above the store's limit for one value."""
    count = 10_000
    return make_document(
        workspaces=tuple(
            Workspace(f"workspace-{number}", 10, 20, (f"{number:064x}",))
            for number in range(count)
        )
    )


def make_raw_node_settings(host: str = "10.1.0.24") -> dict[str, Any]:
    """Return the settings of one instance as the platform writes them."""
    return {
        "self": {
            "nodeName": "edge-1",
            "zone": "a",
            "region": "r",
            "ipAddress": host,
            "limits": {"cpuShare": 0.5, "cpuCores": 3},
        },
        "network": {
            "listenAddresses": {
                "frontend": f"{host}:8045",
                "ready": f"{host}:8048",
                "directory": f"{host}:8044",
            },
            "internalPortRange": [7100, 7115],
        },
        "provider": {
            "heartbeatIntervalMs": 1500,
            "provider": {"address": f"{host}:8041"},
        },
        "terms": {
            "bounds": {
                "revocationMs": 5000,
                "drainMs": 2000,
                "graceS": 6,
                "retryBudgetRatio": 0.2,
                "retryBudgetSlack": 56,
                "budgetWindowS": 10,
                "ttl_max_s": 5,
                "quotaWindowS": 5,
                "quotaOvershoot": 0.1,
                "quotaSlack": 20,
            }
        },
    }
