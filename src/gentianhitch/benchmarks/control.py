"""What an instance spends on control, with no traffic, and its slopes.

Every instance of a fleet runs in this process over real sockets; the platform is
in memory. Processor time and memory are divided by the number of instances.
"""

from __future__ import annotations

import itertools
import resource
import statistics
import time
from collections.abc import Iterator
from random import Random
from typing import Any

import attrs
from loguru import logger
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
TWO_YEAR_SERVICES = 35.0
"""12,000 services, each steered to 9 of 3,100 instances."""

STEERED_PER_SERVICE = 5
BOUNDS = {
    "core_share": 0.015,
    "memory_bytes": 256 * 1024 * 1024,
    "bytes_per_s": 17 * 1024,
}
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


@attrs.frozen
class Slopes:
    """What one figure is made of: ``base + member * members + service * services``.

    ``services`` are those for which an instance is steered to and a steward of.
    """

    base: float
    member: float
    service: float

    def at(self, members: float, services: float) -> float:
        """Return the figure at a size."""
        return self.base + self.member * members + self.service * services


def run() -> BenchResult:
    """Measure every fleet and scale, and extrapolate to the two-year size."""
    logger.disable("gentianhitch")
    costs: list[Cost] = run_until_done(
        lambda reactor: Deferred.fromCoroutine(_measure_all(reactor))
    )
    rows: list[dict[str, object]] = [attrs.asdict(cost) for cost in costs]
    worst = 0.0
    for name, bound in BOUNDS.items():
        slopes = fit(costs, name)
        figure = slopes.at(TWO_YEAR_INSTANCES, TWO_YEAR_SERVICES)
        worst = max(worst, figure / bound)
        rows.append(
            {
                "figure": name,
                **attrs.asdict(slopes),
                "two_year": figure,
                "bound": bound,
            }
        )
    return BenchResult(
        name="control",
        figure=worst,
        bound=1.0,
        unit=f"of the bound at {TWO_YEAR_INSTANCES} instances",
        ok=worst <= 1.0,
        details=tuple(rows),
    )


def fit(costs: list[Cost], name: str) -> Slopes:
    """Fit the slope of services at one size, then that of members on the rest."""
    scaled = [cost for cost in costs if cost.instances == SCALED_FLEET]
    first, second = sorted(scaled, key=lambda cost: cost.scale)[:2]
    service = (getattr(second, name) - getattr(first, name)) / (
        _services_at(second) - _services_at(first)
    )
    fleets = [cost for cost in costs if cost.scale == 1]
    rest = [getattr(cost, name) - service * _services_at(cost) for cost in fleets]
    member, base = statistics.linear_regression(
        [float(cost.instances) for cost in fleets], rest
    )
    return Slopes(base, member, service)


def _services_at(cost: Cost) -> float:
    """Return the mean number of services that one instance has to do with."""
    return SERVICES * cost.scale * STEERED_PER_SERVICE / cost.instances


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
