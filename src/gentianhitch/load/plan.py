"""What the load tool sends: streams of requests with fixed arrival times."""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Iterator
from pathlib import Path

import attrs

from gentianhitch import checked
from gentianhitch.addresses import Address
from gentianhitch.operators.document import Method

MAX_REQUESTS = 5_000_000
MAX_DURATION_S = 3_600.0


@attrs.frozen
class Stream:
    """Declare requests of one workspace to one path; ``rate`` in requests/s.

    ``key_file`` holds the workspace's key; None sends no key. ``{n}`` in ``path``
    is replaced by the number of the request.
    """

    workspace: str
    service: str
    method: Method
    path: str
    rate: float
    key_file: Path | None = None
    body_bytes: int = 0
    idempotency_keys: bool = False


@attrs.frozen
class Plan:
    """Declare one run against the fleet that ``entries`` belong to."""

    entries: tuple[Address, ...]
    duration_s: float
    streams: tuple[Stream, ...]
    seed: int = 1
    connections: int = 64
    timeout_s: float = 10.0


@attrs.frozen(order=True)
class Arrival:
    """One request: when it is due, in seconds from the start, and its stream."""

    due_s: float
    number: int
    stream_index: int


def load_plan(path: Path) -> Plan:
    """Read and check a plan; raise CheckError."""
    plan = checked.load(path, Plan)
    if not plan.entries:
        raise checked.CheckError(f"{path}: $.entries needs at least one address")
    if not plan.streams:
        raise checked.CheckError(f"{path}: $.streams needs at least one stream")
    if not 0 < plan.duration_s <= MAX_DURATION_S:
        raise checked.CheckError(
            f"{path}: $.duration_s must be above 0 and at most {MAX_DURATION_S:g}"
        )
    for index, stream in enumerate(plan.streams):
        if stream.rate <= 0:
            raise checked.CheckError(f"{path}: $.streams[{index}].rate must be above 0")
    expected = expected_requests(plan)
    if expected > MAX_REQUESTS:
        raise checked.CheckError(
            f"{path}: the plan sends {expected:.0f} requests, at most"
            f" {MAX_REQUESTS} are allowed; lower a rate or the duration"
        )
    return plan


def expected_requests(plan: Plan) -> float:
    """Return the mean number of requests of a run."""
    return plan.duration_s * sum(stream.rate for stream in plan.streams)


def arrivals(plan: Plan) -> Iterator[Arrival]:
    """Yield every arrival in order of time; the same seed gives the same ones."""
    streams = [_arrivals_of(plan, index) for index in range(len(plan.streams))]
    merged = heapq.merge(*streams)
    for number, (due_s, stream_index) in enumerate(merged):
        yield Arrival(due_s, number, stream_index)


def _arrivals_of(plan: Plan, index: int) -> Iterator[tuple[float, int]]:
    source = random.Random(f"{plan.seed}/{index}")
    rate = plan.streams[index].rate
    gaps = (source.expovariate(rate) for _ in itertools.count())
    for due_s in itertools.accumulate(gaps):
        if due_s >= plan.duration_s:
            return
        yield due_s, index
