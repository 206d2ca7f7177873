"""Measure the time that an entry instance adds to a request.

Client, target and instance share one process and one loop, as no process starts
another: what they wait for each other counts as added, so the figure is an upper
bound of what an instance adds on a core of its own.
"""

from __future__ import annotations

from typing import Any

import attrs

from gentianhitch.benchmarks.loopback import Client
from gentianhitch.benchmarks.loopback import connect
from gentianhitch.benchmarks.loopback import listen
from gentianhitch.benchmarks.loopback import listen_target
from gentianhitch.benchmarks.open_loop import OpenLoop
from gentianhitch.benchmarks.request_paths import build_chosen
from gentianhitch.benchmarks.result import BenchResult
from gentianhitch.benchmarks.running import run_in_reactor

RATE_PER_S = 870.0
RATES_ABOVE_PER_S = (1740.0, 2610.0, 3480.0)
BOUND_MS = 2.5
ANSWER_BYTES = (200, 16 * 1024)
CONNECTIONS = 64
ROUNDS = 4
ROUND_S = 2.0
SEED = 1


@attrs.define
class _Pair:
    """Times of one size and rate, direct and through the instance."""

    answer_bytes: int
    rate: float
    direct_s: list[float] = attrs.Factory(list)
    through_s: list[float] = attrs.Factory(list)

    def added_ms(self, share: float) -> float:
        """Return the difference of the two at a share of the requests."""
        difference_s = _at(self.through_s, share) - _at(self.direct_s, share)
        return difference_s * 1000

    def row(self) -> dict[str, Any]:
        """Return one row of the table."""
        return {
            "answer_bytes": self.answer_bytes,
            "rate_per_s": self.rate,
            "requests": len(self.through_s),
            "direct_p50_ms": round(_at(self.direct_s, 0.5) * 1000, 3),
            "direct_p99_ms": round(_at(self.direct_s, 0.99) * 1000, 3),
            "through_p50_ms": round(_at(self.through_s, 0.5) * 1000, 3),
            "through_p99_ms": round(_at(self.through_s, 0.99) * 1000, 3),
            "added_p50_ms": round(self.added_ms(0.5), 3),
            "added_p99_ms": round(self.added_ms(0.99), 3),
        }


def _at(times_s: list[float], share: float) -> float:
    ordered = sorted(times_s)
    return ordered[min(int(len(ordered) * share), len(ordered) - 1)]


def run() -> BenchResult:
    """Compare direct with through at 870 requests/s; the bound is 2.5 ms at p99."""
    pairs = run_in_reactor(measure)
    stated = [pair for pair in pairs if pair.rate == RATE_PER_S]
    figure = max(pair.added_ms(0.99) for pair in stated)
    return BenchResult(
        name="added-time",
        figure=round(figure, 3),
        bound=BOUND_MS,
        unit="ms",
        ok=figure <= BOUND_MS,
        details=tuple(pair.row() for pair in pairs),
    )


async def measure(reactor: Any) -> list[_Pair]:
    """Measure each size at the stated rate, then at higher ones."""
    pairs = []
    for answer_bytes in ANSWER_BYTES:
        target = listen_target(reactor, answer_bytes)
        instance = listen(reactor, build_chosen(reactor, target))
        direct = await connect(reactor, target, CONNECTIONS)
        through = await connect(reactor, instance, CONNECTIONS)
        for rate in (RATE_PER_S, *RATES_ABOVE_PER_S):
            rounds = ROUNDS if rate == RATE_PER_S else 1
            pair = _Pair(answer_bytes, rate)
            await _measure_pair(reactor, pair, direct, through, rounds)
            pairs.append(pair)
    return pairs


async def _measure_pair(
    reactor: Any,
    pair: _Pair,
    direct: list[Client],
    through: list[Client],
    rounds: int,
) -> None:
    for number in range(rounds):
        seed = SEED + number
        for clients, times_s in ((direct, pair.direct_s), (through, pair.through_s)):
            loop = OpenLoop(reactor, clients)
            times_s += await loop.run(pair.rate, ROUND_S, seed)
