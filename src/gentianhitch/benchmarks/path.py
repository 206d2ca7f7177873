"""Set the ways to pass a request on side by side, in one run.

The client, the target and each way share one process and one loop, as no
process starts another. What the client and the target take is measured by the
direct way and subtracted, so the figure is what one instance would hold on a
core of its own.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import attrs

from gentianhitch.addresses import Address
from gentianhitch.benchmarks.loopback import Client
from gentianhitch.benchmarks.loopback import ClosedLoop
from gentianhitch.benchmarks.loopback import connect
from gentianhitch.benchmarks.loopback import listen
from gentianhitch.benchmarks.loopback import listen_target
from gentianhitch.benchmarks.loopback import run_closed_loop
from gentianhitch.benchmarks.request_paths import build_chosen
from gentianhitch.benchmarks.request_paths import build_klein_and_treq
from gentianhitch.benchmarks.request_paths import build_twisted_web
from gentianhitch.benchmarks.result import BenchResult
from gentianhitch.benchmarks.running import run_in_reactor

CONNECTIONS = 32
ANSWER_BYTES = 200
ROUNDS = 4
ROUND_S = 1.0
WARM_UP_S = 0.3
BOUND_REQUESTS_PER_S = 870.0

DIRECT = "direct"
CHOSEN = "entry instance"
BUILDERS_BY_WAY: dict[str, Callable[[Any, Address], Any]] = {
    "klein and treq": build_klein_and_treq,
    "twisted.web and httptools": build_twisted_web,
    CHOSEN: build_chosen,
}


@attrs.define
class _Sum:
    """Everything measured of one way."""

    answers: int = 0
    seconds: float = 0.0
    processor_s: float = 0.0

    def add(self, loop: ClosedLoop) -> None:
        """Add one round."""
        self.answers += loop.answers
        self.seconds += loop.seconds
        self.processor_s += loop.processor_s

    @property
    def processor_us(self) -> float:
        """Return processor microseconds for each answer."""
        return self.processor_s / self.answers * 1e6


def run() -> BenchResult:
    """Measure each way in turn, several rounds; the bound is 870 requests/s."""
    return summarise(run_in_reactor(measure))


async def measure(reactor: Any) -> dict[str, _Sum]:
    """Return the sums by way."""
    target = listen_target(reactor, ANSWER_BYTES)
    addresses_by_way = {DIRECT: target}
    for way, build in BUILDERS_BY_WAY.items():
        addresses_by_way[way] = listen(reactor, build(reactor, target))
    clients_by_way: dict[str, list[Client]] = {}
    for way, address in addresses_by_way.items():
        clients_by_way[way] = await connect(reactor, address, CONNECTIONS)
        await run_closed_loop(clients_by_way[way], WARM_UP_S)
    sums_by_way = {way: _Sum() for way in addresses_by_way}
    for _ in range(ROUNDS):
        for way, clients in clients_by_way.items():
            sums_by_way[way].add(await run_closed_loop(clients, ROUND_S))
    return sums_by_way


def summarise(sums_by_way: dict[str, _Sum]) -> BenchResult:
    """Subtract the direct way and compare with the bound."""
    direct_us = sums_by_way[DIRECT].processor_us
    rows = []
    for way, total in sums_by_way.items():
        added_us = total.processor_us - direct_us
        rows.append(
            {
                "way": way,
                "answers": total.answers,
                "requests_per_s_shared_loop": round(total.answers / total.seconds),
                "processor_us": round(total.processor_us, 1),
                "added_processor_us": round(added_us, 1),
                "requests_per_s_own_core": round(1e6 / added_us) if added_us else None,
            }
        )
    figure = 1e6 / (sums_by_way[CHOSEN].processor_us - direct_us)
    return BenchResult(
        name="path",
        figure=round(figure),
        bound=BOUND_REQUESTS_PER_S,
        unit="requests/s",
        ok=figure >= BOUND_REQUESTS_PER_S,
        details=tuple(rows),
    )
