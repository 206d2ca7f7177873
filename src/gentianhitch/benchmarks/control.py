"""What an instance spends on control, with no traffic, and its slopes.

Every instance of a fleet runs in this process over real sockets; the platform is
in memory. Processor time and memory are divided by the number of instances.
"""

from __future__ import annotations

import itertools
import resource
import time
from collections.abc import Iterator
from random import Random
from typing import Any

import attrs
from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater

from gentianhitch.addresses import Address
from gentianhitch.benchmarks.result import BenchResult
from gentianhitch.entry import EntryInstance
from gentianhitch.operators.document import BackendServer
from gentianhitch.operators.document import Document
from gentianhitch.operators.document import Route
from gentianhitch.operators.document import Service
from gentianhitch.operators.document import Workspace
from gentianhitch.operators.document_codec import encode_document
from gentianhitch.platform.memory import MemoryPlatform
from gentianhitch.platform.memory import MemoryStore
from gentianhitch.reactor_run import run_until_done
from gentianhitch.settings import Settings
from gentianhitch.soak.operating import listed
from gentianhitch.soak.operating import promote

ENVIRONMENT = "trial"
FLEETS = (5, 10, 20, 40)
SCALES = (1, 10, 100)
SCALED_FLEET = 10
FAILURE_DOMAINS = 3
SERVICES = 4
TARGETS = 31
WORKSPACES = 8
FORM_S = 12.0
MEASURE_S = 15.0
TWO_YEAR_INSTANCES = 3_100
MAX_CORE_SHARE = 0.015
MAX_BYTES = 256 * 1024 * 1024
MAX_BYTES_PER_S = 17 * 1024
PAGE_BYTES = resource.getpagesize()


@attrs.frozen
class Cost:
    """What one instance of a fleet spends."""

    instances: int
    scale: int
    core_share: float
    memory_bytes: float
    bytes_per_s: float
    messages_per_s: float
    fresh: int


def run() -> BenchResult:
    """Measure every fleet and scale, and extrapolate to the two-year size."""
    costs: list[Cost] = run_until_done(
        lambda reactor: Deferred.fromCoroutine(_measure_all(reactor))
    )
    fleets = [cost for cost in costs if cost.scale == 1]
    ratios = {
        "core_share": _extrapolate(fleets, "core_share") / MAX_CORE_SHARE,
        "memory_bytes": _extrapolate(fleets, "memory_bytes") / MAX_BYTES,
        "bytes_per_s": _extrapolate(fleets, "bytes_per_s") / MAX_BYTES_PER_S,
    }
    worst = max(ratios.values())
    rows = [attrs.asdict(cost) for cost in costs]
    slopes = {f"{name} over its bound": ratio for name, ratio in ratios.items()}
    return BenchResult(
        name="control",
        figure=worst,
        bound=1.0,
        unit=f"of the bound at {TWO_YEAR_INSTANCES} instances",
        ok=worst <= 1.0,
        details=(*rows, slopes),
    )


def _extrapolate(costs: list[Cost], name: str) -> float:
    """Fit a line over the fleets and return its value at the two-year size."""
    points = [(cost.instances, float(getattr(cost, name))) for cost in costs]
    mean_x = sum(x for x, _ in points) / len(points)
    mean_y = sum(y for _, y in points) / len(points)
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    return mean_y + slope * (TWO_YEAR_INSTANCES - mean_x)


async def _measure_all(reactor: Any) -> list[Cost]:
    costs = [await _measure(reactor, size, 1) for size in FLEETS]
    costs += [await _measure(reactor, SCALED_FLEET, scale) for scale in SCALES[1:]]
    return costs


async def _measure(reactor: Any, size: int, scale: int) -> Cost:
    before = _resident_bytes()
    store = MemoryStore(reactor)
    instances = [_start(reactor, store, number) for number in range(size)]
    store.listed = tuple(listed(instance.member) for instance in instances)
    await promote(MemoryPlatform(store), 1, encode_document(_document(scale)))
    await deferLater(reactor, FORM_S, lambda: None)
    counts = _counts(instances)
    processor, started = time.process_time(), time.monotonic()
    await deferLater(reactor, MEASURE_S, lambda: None)
    seconds = time.monotonic() - started
    processor = time.process_time() - processor
    spent = [now - then for now, then in zip(_counts(instances), counts, strict=True)]
    memory = _resident_bytes()
    now = instances[0].clock.seconds()
    fresh = sum(instance.fleet.is_fresh(now) for instance in instances)
    for instance in instances:
        instance.close()
    return Cost(
        instances=size,
        scale=scale,
        core_share=processor / seconds / size,
        # One interpreter and its modules serve all instances of this process.
        memory_bytes=before + (memory - before) / size,
        bytes_per_s=spent[0] / seconds / size,
        messages_per_s=spent[1] / seconds / size,
        fresh=fresh,
    )


def _start(reactor: Any, store: MemoryStore, number: int) -> EntryInstance:
    settings = Settings(
        instance=f"entry-{number + 1}",
        failure_domain=f"domain-{number % FAILURE_DOMAINS + 1}",
        environment=ENVIRONMENT,
        callers=Address("127.0.0.1", 0),
        peers=Address("127.0.0.1", 0),
        platform=(),
    )
    instance = EntryInstance(reactor, settings, MemoryPlatform(store))
    instance.start()
    return instance


def _counts(instances: list[EntryInstance]) -> tuple[int, int]:
    """Return the bytes and messages sent and received by all instances."""
    counts = [instance.transport.counts_by_name for instance in instances]
    sizes = sum(c["peers.bytes_sent"] + c["peers.bytes_received"] for c in counts)
    messages = sum(c["peers.sent"] + c["peers.received"] for c in counts)
    return sizes, messages


def _resident_bytes() -> int:
    with open("/proc/self/statm") as statm:
        return int(statm.read().split()[1]) * PAGE_BYTES


def _document(scale: int) -> Document:
    random = Random(scale)
    names = [f"service-{number}" for number in range(SERVICES * scale)]
    return Document(
        environment=ENVIRONMENT,
        workspaces=tuple(
            Workspace(
                f"workspace-{number}", 100.0, 200.0, (random.randbytes(32).hex(),)
            )
            for number in range(WORKSPACES * scale)
        ),
        services=tuple(Service(name, 6, 2_000) for name in names),
        backend_servers=tuple(_servers(names, TARGETS * scale)),
        routes=tuple(Route("GET", f"/{name}/*", name, True) for name in names),
    )


def _servers(names: list[str], count: int) -> Iterator[BackendServer]:
    for number, name in zip(range(count), itertools.cycle(names), strict=False):
        yield BackendServer(
            f"target-{number}",
            Address("127.0.0.1", 9),
            f"domain-{number % FAILURE_DOMAINS + 1}",
            name,
            6,
            330,
        )


def _key_hash(random: Random) -> str:
    return random.randbytes(32).hex()
