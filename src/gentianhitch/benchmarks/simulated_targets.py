"""Targets with gray failures on a paused clock."""

from __future__ import annotations

import math
from random import Random

import attrs

from gentianhitch.decisions.interfaces import Outcome
from gentianhitch.operators.document import BackendServer
from gentianhitch.operators.document import Route

MEDIAN_S_BY_METHOD = {"GET": 0.015, "POST": 0.03}
SPREAD = 0.5
TAIL_CHANCE = 0.01
TAIL_FACTOR = 5.0
USUAL_ERROR_RATE = 0.003
COLD_FACTOR = 4.0
FLAP_PERIOD_S = 6.0
SHED_S = 0.001
ERROR_S = 0.003
NOT_RUN = (Outcome.SHED, Outcome.NOT_SENT)


@attrs.frozen
class Fault:
    """What is wrong with a target from ``start`` on.

    ``factor`` slows answers, ``failing`` is the part of requests that end with
    ``outcome``; ``route``, ``workspace`` and ``instances`` restrict the fault.
    """

    name: str
    factor: float = 1.0
    failing: float = 0.0
    outcome: Outcome = Outcome.ERROR
    route: str = ""
    workspace: str = ""
    instances: frozenset[str] = frozenset()
    flapping: bool = False
    start: float = 0.0
    end: float = math.inf

    def hits(self, asked: Asked) -> bool:
        """Tell whether a request meets the fault."""
        if not self.start <= asked.now < self.end:
            return False
        if (
            self.flapping
            and (asked.now - self.start) % FLAP_PERIOD_S > FLAP_PERIOD_S / 2
        ):
            return False
        return (
            self.route in ("", asked.route.path)
            and self.workspace in ("", asked.workspace)
            and (not self.instances or asked.instance in self.instances)
        )


@attrs.frozen
class Asked:
    """One request as it reaches a target."""

    now: float
    instance: str
    route: Route
    workspace: str


@attrs.frozen
class Answer:
    """How a target answers: after ``latency_s``, with ``outcome``."""

    outcome: Outcome
    latency_s: float
    hurt: bool


@attrs.define(eq=False)
class SimulatedTarget:
    """Answer requests with noise, a cold start and at most one fault."""

    declared: BackendServer
    random: Random
    deadline_s: float
    fault: Fault | None = None
    down_until: float = 0.0
    cold_until: float = 0.0
    running: int = 0
    most_running: int = 0
    asked: int = 0

    def ask(self, asked: Asked) -> Answer:
        """Take a request; the caller reports its end to :meth:`finish`."""
        self.asked += 1
        if asked.now < self.down_until:
            return Answer(Outcome.NOT_SENT, SHED_S, hurt=False)
        if self.running >= self.declared.slots:
            return Answer(Outcome.SHED, SHED_S, hurt=False)
        self.running += 1
        self.most_running = max(self.most_running, self.running)
        hurt = self.fault is not None and self.fault.hits(asked)
        if hurt and self.fault and self.random.random() < self.fault.failing:
            late = self.fault.outcome is Outcome.SILENT
            return Answer(
                self.fault.outcome, self.deadline_s if late else ERROR_S, hurt
            )
        latency_s = self._latency_s(
            asked, self.fault.factor if hurt and self.fault else 1
        )
        if latency_s >= self.deadline_s:
            return Answer(Outcome.SILENT, self.deadline_s, hurt)
        if self.random.random() < USUAL_ERROR_RATE:
            return Answer(Outcome.ERROR, latency_s, hurt)
        return Answer(Outcome.OK, latency_s, hurt and bool(self.fault))

    def finish(self, answer: Answer) -> None:
        """Free the slot of a request."""
        if answer.outcome not in NOT_RUN or answer.hurt:
            self.running -= 1

    def _latency_s(self, asked: Asked, factor: float) -> float:
        latency_s = MEDIAN_S_BY_METHOD[asked.route.method]
        latency_s *= math.exp(self.random.gauss(0.0, SPREAD)) * factor
        if self.random.random() < TAIL_CHANCE:
            latency_s *= TAIL_FACTOR
        if asked.now < self.cold_until:
            latency_s *= COLD_FACTOR
        return latency_s
