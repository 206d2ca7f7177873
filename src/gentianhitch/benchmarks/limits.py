"""Measure refusals, fairness and control traffic of the limits at 40 instances.

Runs on a paused clock; messages take as long as in the deployment in Denmark.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence
from random import Random

import attrs

from gentianhitch.addresses import Address
from gentianhitch.benchmarks.result import BenchResult
from gentianhitch.decisions.limits.constants import MAX_SHARE_OWNERS
from gentianhitch.operators.document import Workspace
from gentianhitch.soak.limits_fleet import ModelFleet
from gentianhitch.soak.limits_fleet import ModelInstance
from gentianhitch.soak.network import Faults
from gentianhitch.soak.network import Network
from gentianhitch.soak.network import SoakClock

INSTANCES = 40
FAILURE_DOMAINS = 3
STEP_S = 0.001
WARM_UP_S = 10.0
USUAL_LOAD = 0.8
OVERLOAD = 8.0
OVERLOAD_RUN_S = 10.0
DETECTION_S = 3.5
"""Time from a death until a list without the instance is agreed on."""

AFTER_DEATH_S = 10.0
DEATHS = 4
MAX_WRONG_SUDDEN = 1 / 1000
MAX_WRONG_AFTER_DEATH = 1 / 100
MIN_SERVED = 0.99
WORKSPACES = (
    Workspace("large", 500.0, 500.0),
    Workspace("medium", 20.0, 20.0),
    Workspace("small", 2.0, 4.0),
)
SEED = 11


@attrs.frozen
class Served:
    """Count what became of the requests of one workspace."""

    admitted: int
    refused: int
    wrongly_refused: int

    @property
    def wrong(self) -> float:
        """Return the part that one limiter for the fleet would have admitted."""
        return self.wrongly_refused / max(1, self.admitted + self.refused)


class Bench:
    """Drive a model fleet with arrivals at fixed times."""

    def __init__(self, holders: int = MAX_SHARE_OWNERS, seed: int = SEED) -> None:
        self.random = Random(seed)
        faults = Faults(min_delay_s=0.0005, max_delay_s=0.003)
        self.network = Network(SoakClock(), self.random, faults)
        self.fleet = ModelFleet(
            self.random, self.network, WORKSPACES, max_owners=holders
        )
        for number in range(INSTANCES):
            domain = f"domain-{number % FAILURE_DOMAINS}"
            address = Address("127.0.0.1", 9000 + number)
            self.fleet.start(f"entry-{number:02}", domain, address)
        self.publish()
        self.fleet.hear_all()
        self.fleet.advance(WARM_UP_S)

    def publish(self) -> None:
        """Agree on the instances that run."""
        instances_by_name = self.fleet.instances_by_name
        self.fleet.publish({n: one.member for n, one in instances_by_name.items()})

    def drive(
        self,
        seconds: float,
        load: dict[str, float] | None = None,
        at: Sequence[ModelInstance] = (),
        *,
        poisson: bool = False,
    ) -> dict[str, Served]:
        """Offer ``load`` times the rate of each workspace and count the outcome."""
        self._forget_counts()
        clock = self.fleet.clock
        end = clock.seconds() + seconds
        due_by_name = {one.name: clock.seconds() for one in WORKSPACES}
        while clock.seconds() < end:
            clock.advance(STEP_S)
            for workspace in WORKSPACES:
                offered = workspace.rate * (load or {}).get(workspace.name, USUAL_LOAD)
                while due_by_name[workspace.name] <= clock.seconds():
                    self._request(workspace.name, at)
                    gap = self.random.expovariate(offered) if poisson else 1 / offered
                    due_by_name[workspace.name] += gap
        self.fleet.advance(0.15)
        return {one.name: self._served(one.name) for one in WORKSPACES}

    def traffic(self, seconds: float) -> dict[str, object]:
        """Return the control traffic of one instance in the last drive."""
        traffic = self.network.traffic
        return {
            "messages/s": round(traffic.messages / INSTANCES / seconds, 1),
            "bytes/s": round(traffic.bytes / INSTANCES / seconds),
            "waited": sum(wait > 0.0 for wait in self.fleet.waits_s),
        }

    def _request(self, workspace: str, at: Sequence[ModelInstance]) -> None:
        instances = at or list(self.fleet.instances_by_name.values())
        self.fleet.request(self.random.choice(instances), workspace)

    def _forget_counts(self) -> None:
        fleet = self.fleet
        for counter in (fleet.admitted, fleet.refused, fleet.wrongly_refused):
            counter.clear()
        fleet.waits_s.clear()
        self.network.traffic.messages = self.network.traffic.bytes = 0

    def _served(self, name: str) -> Served:
        fleet = self.fleet
        return Served(
            fleet.admitted[name], fleet.refused[name], fleet.wrongly_refused[name]
        )


def total_wrong(served_by_name: dict[str, Served]) -> float:
    """Return the part of all requests that was refused wrongly."""
    served = served_by_name.values()
    requests = sum(one.admitted + one.refused for one in served)
    return sum(one.wrongly_refused for one in served) / max(1, requests)


def _rows(
    served_by_name: dict[str, Served], **columns: object
) -> tuple[dict[str, object], ...]:
    return tuple(
        {**columns, "workspace": name, **attrs.asdict(served)}
        for name, served in served_by_name.items()
    )


def even_traffic(holders: int = MAX_SHARE_OWNERS) -> BenchResult:
    """Refuse nothing wrongly at 80% of the rate, spread evenly."""
    bench = Bench(holders)
    served = bench.drive(20.0)
    traffic = bench.traffic(20.0)
    random = bench.drive(20.0, poisson=True)
    details = (*_rows(served), traffic, *_rows(random, arrivals="poisson"))
    wrong = total_wrong(served)
    return BenchResult(
        "limits-even", wrong, 0.0, "wrong/request", wrong <= 0.0, details
    )


def sudden_shift(holders: int = MAX_SHARE_OWNERS) -> BenchResult:
    """Refuse little wrongly when all traffic suddenly arrives at one instance."""
    bench = Bench(holders)
    bench.drive(5.0)
    target = bench.fleet.instances_by_name["entry-07"]
    served = bench.drive(20.0, at=[target])
    wrong = total_wrong(served)
    return BenchResult(
        "limits-sudden",
        wrong,
        MAX_WRONG_SUDDEN,
        "wrong/request",
        wrong < MAX_WRONG_SUDDEN,
        _rows(served),
    )


def instance_death(holders: int = MAX_SHARE_OWNERS) -> BenchResult:
    """Refuse little wrongly in the 10 s after one instance of 40 dies."""
    bench = Bench(holders)
    bench.drive(5.0)
    rows: list[dict[str, object]] = []
    worst = 0.0
    for name in _to_die(bench):
        bench.fleet.stop(name)
        before = bench.drive(DETECTION_S)
        bench.publish()
        after = bench.drive(AFTER_DEATH_S - DETECTION_S)
        both = {one: _sum(before[one], after[one]) for one in before}
        worst = max(worst, total_wrong(both))
        rows += _rows(both, dead=name)
        bench.drive(5.0)
    ok = worst < MAX_WRONG_AFTER_DEATH
    return BenchResult(
        "limits-death", worst, MAX_WRONG_AFTER_DEATH, "wrong/request", ok, tuple(rows)
    )


def overload() -> BenchResult:
    """Serve the others as before while one workspace sends 8 times its rate."""
    alone = Bench().drive(OVERLOAD_RUN_S)
    bench = Bench()
    beside = bench.drive(OVERLOAD_RUN_S, {"large": OVERLOAD})
    ratio = min(
        beside[name].admitted / alone[name].admitted for name in ("medium", "small")
    )
    return BenchResult(
        "limits-overload",
        ratio,
        MIN_SERVED,
        "served/served alone",
        ratio >= MIN_SERVED,
        (*_rows(beside), bench.traffic(OVERLOAD_RUN_S)),
    )


def full_rate() -> BenchResult:
    """Show what is lost when a workspace sends exactly its rate."""
    bench = Bench()
    served = bench.drive(20.0, {one.name: 1.0 for one in WORKSPACES})
    wrong = total_wrong(served)
    details = (*_rows(served), bench.traffic(20.0))
    return BenchResult("limits-full", wrong, 1.0, "wrong/request", True, details)


def holder_table() -> BenchResult:
    """Compare numbers of holders: refusals of each kind and control traffic."""
    rows: list[dict[str, object]] = []
    for holders in (4, 8, 16, INSTANCES):
        even = even_traffic(holders)
        rows.append(
            {
                "holders": holders,
                "even": even.figure,
                "sudden": sudden_shift(holders).figure,
                "death": instance_death(holders).figure,
                **next(row for row in even.details if "messages/s" in row),
            }
        )
    return BenchResult("limits-holders", 0.0, 0.0, "", True, tuple(rows))


MEASUREMENTS: tuple[Callable[[], BenchResult], ...] = (
    even_traffic,
    sudden_shift,
    instance_death,
    overload,
    full_rate,
)


def run() -> BenchResult:
    """Make every measurement; the figure counts the broken bounds."""
    results = [measure() for measure in MEASUREMENTS]
    broken = sum(not result.ok for result in results)
    rows = tuple(attrs.asdict(result) for result in results)
    return BenchResult("limits", broken, 0, "broken bounds", broken == 0, rows)


def _to_die(bench: Bench) -> list[str]:
    """Choose a holder of each workspace and one that holds nothing of the large."""
    state = bench.fleet.history.states[-1]
    limiter = bench.fleet.instances_by_name["entry-00"].limiter
    names = list(bench.fleet.instances_by_name)
    held = [
        [
            one.id.name
            for one in limiter.held_shares.share_table.owners(state, workspace.name)
        ]
        for workspace in WORKSPACES
    ]
    chosen = [holders[0] for holders in held]
    chosen += [name for name in names if name not in held[0]][:1]
    return list(dict.fromkeys(chosen))[:DEATHS]


def _sum(one: Served, other: Served) -> Served:
    return Served(
        one.admitted + other.admitted,
        one.refused + other.refused,
        one.wrongly_refused + other.wrongly_refused,
    )
