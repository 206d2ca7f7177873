"""Choose a target with a free slot, the least loaded of two."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable
from collections.abc import Iterator
from random import Random

import attrs

from gentianhitch.decisions.interfaces import AgreedStates
from gentianhitch.decisions.interfaces import Attempt
from gentianhitch.decisions.interfaces import Outcome
from gentianhitch.decisions.targets.catalog import Catalog
from gentianhitch.decisions.targets.catalog import ServiceEntry
from gentianhitch.decisions.targets.outstanding import ActiveRequest
from gentianhitch.decisions.targets.outstanding import ActiveRequests
from gentianhitch.decisions.targets.sharing import Allowance
from gentianhitch.decisions.targets.target_health import HealthTracker
from gentianhitch.decisions.targets.target_health import TargetHealth
from gentianhitch.operators.document import BackendServer
from gentianhitch.operators.document import Route

CHOICES = 2

OWN_SLOT_BIAS = 0.5
"""Load divisor of a target at which this instance owns no slot."""


@attrs.frozen
class Candidate:
    """One target with a free slot and the load that orders it."""

    target: BackendServer
    load: float
    far: bool


class TargetPool:
    """Reserve slots at targets; implements TargetSelector."""

    def __init__(
        self,
        agreement: AgreedStates,
        name: str,
        failure_domain: str,
        judge: HealthTracker,
        random: Random,
    ) -> None:
        self.on_release: list[Callable[[Attempt, float], None]] = []
        self.outstanding = ActiveRequests()
        self._agreement = agreement
        self._failure_domain = failure_domain
        self._judge = judge
        self._random = random
        self._catalog = Catalog(name)
        self._allowances_by_target: defaultdict[str, Allowance] = defaultdict(Allowance)

    def choose(
        self,
        service: str,
        route: Route,
        workspace: str | None,
        now: float,
        exclude: frozenset[str] = frozenset(),
    ) -> BackendServer | None:
        """Reserve a slot at a target; None when every slot is taken."""
        entry = self.entry(service, now)
        if entry is None:
            return None
        candidates = self._candidates(entry, route, workspace, now, exclude)
        if not candidates:
            return None
        lighter = min(candidates, key=lambda candidate: (candidate.load, candidate.far))
        target = lighter.target
        self.outstanding.start(target.name, ActiveRequest(now, route, workspace))
        return target

    def record(self, attempt: Attempt, now: float) -> None:
        """Release the slot of the attempt and keep what it shows."""
        self._adapt(attempt, now)
        ended = self.outstanding.end(attempt, now)
        self._judge.record(attempt, ended, now)
        for released in self.on_release:
            released(attempt, now)

    def entry(self, service: str, now: float) -> ServiceEntry | None:
        """Return a service while this instance may act on what it knows."""
        if not self._agreement.is_fresh(now):
            return None
        if self._catalog.update(self._agreement.active(now)):
            known = self._catalog.target_names()
            for name in [n for n in self._allowances_by_target if n not in known]:
                del self._allowances_by_target[name]
        return self._catalog.service(service)

    def connection_limit(self, service: str, target: str, now: float) -> int:
        """Return how many connections this instance may hold to ``target``."""
        entry = self.entry(service, now)
        part = entry.parts_by_target.get(target) if entry else None
        return part.connections if part else 0

    def _has_slot(
        self, entry: ServiceEntry, target: BackendServer, route: Route, now: float
    ) -> bool:
        part = entry.parts_by_target[target.name]
        if not route.idempotent and entry.has_own_slots:
            # A shed ends such a request: it is never written a second time.
            return self.outstanding.count(target.name) < part.slots
        allowance = self._allowances_by_target[target.name]
        if allowance.is_paused(now):
            return False
        extra = allowance.slots(target.slots, now)
        free = min(part.slots + extra, part.connections, target.slots)
        return self.outstanding.count(target.name) < free

    def _candidate(self, entry: ServiceEntry, target: BackendServer) -> Candidate:
        own = entry.parts_by_target[target.name].slots
        running = self.outstanding.count(target.name) + 1
        load = running / (own + OWN_SLOT_BIAS)
        return Candidate(target, load, target.failure_domain != self._failure_domain)

    def _candidates(
        self,
        entry: ServiceEntry,
        route: Route,
        workspace: str | None,
        now: float,
        exclude: frozenset[str],
    ) -> list[Candidate]:
        """Draw two good targets with a free slot; without any, two poor ones."""
        good: list[Candidate] = []
        poor: list[Candidate] = []
        for target in self._shuffled(list(entry.targets_by_name.values())):
            if target.name in exclude or not self._has_slot(entry, target, route, now):
                continue
            standing = self._judge.health_of(target.name, route, workspace, now)
            if standing is TargetHealth.GOOD:
                good.append(self._candidate(entry, target))
                if len(good) == CHOICES:
                    break
            elif standing is TargetHealth.POOR and len(poor) < CHOICES:
                poor.append(self._candidate(entry, target))
        return good or poor

    def _shuffled(self, targets: list[BackendServer]) -> Iterator[BackendServer]:
        for index in range(len(targets)):
            other = index + int(self._random.random() * (len(targets) - index))
            targets[index], targets[other] = targets[other], targets[index]
            yield targets[index]

    def _adapt(self, attempt: Attempt, now: float) -> None:
        allowance = self._allowances_by_target[attempt.target]
        if attempt.outcome is Outcome.SHED:
            allowance.shed(now)
        elif attempt.outcome is Outcome.OK:
            allowance.answered()
