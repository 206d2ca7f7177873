"""Choose a target with a free slot by the power of two choices."""

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
from gentianhitch.decisions.targets.sharing import ExtraSlots
from gentianhitch.decisions.targets.target_health import HealthTracker
from gentianhitch.decisions.targets.target_health import TargetHealth
from gentianhitch.operators.document import BackendServer
from gentianhitch.operators.document import Route

CHOICES = 2

OWN_SLOT_BIAS = 0.5
"""Load divisor of a target at which this instance has no own slots."""


@attrs.frozen
class Candidate:
    """A target with a free slot; the least loaded one in the own domain is best."""

    target: BackendServer
    load: float
    is_other_domain: bool


class TargetPool:
    """Reserve slots at targets; implements TargetSelector."""

    def __init__(
        self,
        agreement: AgreedStates,
        name: str,
        failure_domain: str,
        tracker: HealthTracker,
        random: Random,
    ) -> None:
        self.on_release: list[Callable[[Attempt, float], None]] = []
        self.outstanding = ActiveRequests()
        self._agreement = agreement
        self._failure_domain = failure_domain
        self._tracker = tracker
        self._random = random
        self._catalog = Catalog(name)
        self._extra_slots_by_target: defaultdict[str, ExtraSlots] = defaultdict(
            ExtraSlots
        )

    def choose(
        self,
        service: str,
        route: Route,
        workspace: str | None,
        now: float,
        exclude: frozenset[str] = frozenset(),
    ) -> BackendServer | None:
        """Reserve a slot at a target; return None if every slot is taken."""
        entry = self.entry(service, now)
        if entry is None:
            return None
        candidates = self._candidates(entry, route, workspace, now, exclude)
        if not candidates:
            return None
        least_loaded = min(
            candidates,
            key=lambda candidate: (candidate.load, candidate.is_other_domain),
        )
        target = least_loaded.target
        self.outstanding.start(target.name, ActiveRequest(now, route, workspace))
        return target

    def record(self, attempt: Attempt, now: float) -> None:
        """Release the slot of an attempt and record its result."""
        self._adjust_extra_slots(attempt, now)
        ended = self.outstanding.end(attempt, now)
        self._tracker.record(attempt, ended, now)
        for notify in self.on_release:
            notify(attempt, now)

    def entry(self, service: str, now: float) -> ServiceEntry | None:
        """Return a service, or None if the agreed state is not fresh or lacks it."""
        if not self._agreement.is_fresh(now):
            return None
        if self._catalog.update(self._agreement.active(now)):
            names = self._catalog.target_names()
            for name in [n for n in self._extra_slots_by_target if n not in names]:
                del self._extra_slots_by_target[name]
        return self._catalog.service(service)

    def connection_limit(self, service: str, target: str, now: float) -> int:
        """Return how many connections this instance may open to ``target``."""
        entry = self.entry(service, now)
        quota = entry.quotas_by_target.get(target) if entry else None
        return quota.connections if quota else 0

    def _has_slot(
        self, entry: ServiceEntry, target: BackendServer, route: Route, now: float
    ) -> bool:
        quota = entry.quotas_by_target[target.name]
        if not route.idempotent and entry.has_own_slots:
            # A shed would fail such a request, since it is never written twice.
            return self.outstanding.count(target.name) < quota.slots
        extra_slots = self._extra_slots_by_target[target.name]
        if extra_slots.is_paused(now):
            return False
        extra = extra_slots.slots(target.slots, now)
        free = min(quota.slots + extra, quota.connections, target.slots)
        return self.outstanding.count(target.name) < free

    def _candidate(self, entry: ServiceEntry, target: BackendServer) -> Candidate:
        own = entry.quotas_by_target[target.name].slots
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
        """Draw two good targets with a free slot; if none is good, two poor ones."""
        good: list[Candidate] = []
        poor: list[Candidate] = []
        for target in self._shuffled(list(entry.targets_by_name.values())):
            if target.name in exclude or not self._has_slot(entry, target, route, now):
                continue
            health = self._tracker.health_of(target.name, route, workspace, now)
            if health is TargetHealth.GOOD:
                good.append(self._candidate(entry, target))
                if len(good) == CHOICES:
                    break
            elif health is TargetHealth.POOR and len(poor) < CHOICES:
                poor.append(self._candidate(entry, target))
        return good or poor

    def _shuffled(self, targets: list[BackendServer]) -> Iterator[BackendServer]:
        for index in range(len(targets)):
            other = index + int(self._random.random() * (len(targets) - index))
            targets[index], targets[other] = targets[other], targets[index]
            yield targets[index]

    def _adjust_extra_slots(self, attempt: Attempt, now: float) -> None:
        extra_slots = self._extra_slots_by_target[attempt.target]
        if attempt.outcome is Outcome.SHED:
            extra_slots.record_shed(now)
        elif attempt.outcome is Outcome.OK:
            extra_slots.record_response()
