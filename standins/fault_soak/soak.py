"""One soak: callers and faults over the real programs, then the checks."""

from __future__ import annotations

import heapq
import signal
import threading
import time
from collections import Counter
from pathlib import Path
from random import Random

import attrs

from standins.deployment import DeploymentError
from standins.deployment import scratch_folder
from standins.fault_soak.callers import Caller
from standins.fault_soak.callers import Kind
from standins.fault_soak.checks import CONTACT_S
from standins.fault_soak.checks import ROUTE_S
from standins.fault_soak.checks import Disturbance
from standins.fault_soak.checks import History
from standins.fault_soak.checks import Limit
from standins.fault_soak.checks import Moment
from standins.fault_soak.checks import recovered
from standins.fault_soak.deployment import FILES_ROUTES
from standins.fault_soak.deployment import FILES_TIMEOUT_S
from standins.fault_soak.deployment import SMALL_BURST
from standins.fault_soak.deployment import SMALL_KEY
from standins.fault_soak.deployment import SMALL_RATE_PER_S
from standins.fault_soak.deployment import SMALL_WORKSPACE
from standins.fault_soak.deployment import SoakDeployment
from standins.fault_soak.domains import DomainWork
from standins.fault_soak.faults import STORE_WELL
from standins.fault_soak.faults import Fault
from standins.fault_soak.faults import FaultPlan
from standins.fault_soak.pausing import PausingCaller
from standins.fault_soak.pipelining import PipeliningCaller
from standins.fault_soak.waves import Wave
from standins.platform_deployment import ROUTES
from standins.platform_deployment import WORKSPACE

GAP_S = (0.1, 1.2)
PLANNED_WORK_SHARE = 0.25
RECOVERY_S = 15.0
PIPELINING_EACH = 4
"""Each such caller writes several requests at once."""

STOPPED_SHARE = 0.34
"""Instances that stop at once while waves of callers come."""

COPY_AGE_S = 9.0
"""So old that revisions stay below the known ones for longer than the drill."""

AWAY_S = 0.5
CALM_S = 3.0
RESOLVE_INTERVAL_S = 0.5
LAST_ANSWERS_S = 13.0


Running = tuple[float, float, Fault]
"""When a fault ends, when it began, and the fault."""


@attrs.frozen
class Options:
    """What one soak runs.

    ``faults_s`` is how long faults strike, ``calm_s`` how long all is well after them,
    ``wave`` how many callers come at a close, ``pausing`` how many callers pause,
    beside the others.
    """

    seed: int
    proxies: int = 6
    callers: int = 8
    faults_s: float = 12.0
    wave: int = 40
    pausing: int = 8
    calm_s: float = CALM_S


@attrs.define
class Soak:
    """Hold what one soak knows of its own doings."""

    options: Options
    deployment: SoakDeployment
    random: Random
    domains: DomainWork
    lines: list[str] = attrs.Factory(list)
    addresses: list[str] = attrs.Factory(list)
    withdrawn: list[Moment] = attrs.Factory(list)
    drained: list[Moment] = attrs.Factory(list)
    added: list[Moment] = attrs.Factory(list)
    disturbances: list[Disturbance] = attrs.Factory(list)
    callers: list[Caller] = attrs.Factory(list)
    waves: list[Wave] = attrs.Factory(list)
    _began_s: float = attrs.Factory(time.monotonic)
    _stopped: threading.Event = attrs.Factory(threading.Event)

    def run(self) -> list[str]:
        """Run the soak and return a line for each broken promise."""
        threads = [threading.Thread(target=self._resolve, daemon=True)]
        for number in range(self.options.callers):
            name = f"c{number}"
            random = Random(f"{self.options.seed}/{name}")
            kind = PipeliningCaller if number % PIPELINING_EACH == 1 else Caller
            caller = kind(name, random, self._kinds, lambda: self.addresses)
            self.callers.append(caller)
            threads.append(threading.Thread(target=caller.run, daemon=True))
        for number in range(self.options.pausing):
            random = Random(f"{self.options.seed}/p{number}")
            addresses = lambda: self.addresses  # noqa: E731
            pausing = PausingCaller(f"p{number}", random, self._files, addresses)
            self.callers.append(pausing)
            threads.append(threading.Thread(target=pausing.run, daemon=True))
        for thread in threads:
            thread.start()
        self._strike()
        if self.options.faults_s:
            self._add_route()
            until_s = time.monotonic() + RECOVERY_S
            self._note_all(self.domains.run_in_contact(until_s))
            self._drill()
        calm_s = time.monotonic()
        time.sleep(self.options.calm_s)
        calm_until_s = time.monotonic()
        if self.options.wave:
            self._stop_with_waves()
        for caller in self.callers:
            caller.stopped.set()
        self._stopped.set()
        for thread in threads:
            thread.join(LAST_ANSWERS_S)
        return self._check(calm_s, calm_until_s)

    def _drill(self) -> None:
        """Have the store return from a copy that lacks a change, and change again."""
        self._add_route()
        time.sleep(CONTACT_S)
        began_s = time.monotonic()
        self.deployment.return_store(COPY_AGE_S, AWAY_S)
        time.sleep(AWAY_S)
        self.disturbances.append(Disturbance(began_s, time.monotonic()))
        time.sleep(CONTACT_S)
        self._add_route()
        time.sleep(ROUTE_S)
        self._note(f"the store has returned from a copy of {COPY_AGE_S:.1f} s")

    def _stop_with_waves(self) -> None:
        """Stop some instances at once; callers come in waves when they close."""
        deployment = self.deployment
        random = Random(f"{self.options.seed}/waves")
        numbers = range(len(deployment.proxies))
        chosen = random.sample(numbers, max(1, int(len(numbers) * STOPPED_SHARE)))
        kinds = [each for each in self._kinds() if each.name in ("read", "order")]
        for number in chosen:
            name = f"w{number}"
            address = deployment.proxies[number].addresses["callers"]
            wave = Wave(name, address, self.options.wave, kinds, Random(name))
            wave.open_kept()
            self.waves.append(wave)
        threads = []
        began_s = time.monotonic()
        for number, wave in zip(chosen, self.waves, strict=True):
            deployment.send_signal(number, signal.SIGTERM)
            threads.append(threading.Thread(target=wave.run, args=[time.monotonic()]))
            threads[-1].start()
        self._note(f"stop {sorted(chosen)} with waves of {self.options.wave}")
        for number, wave in zip(chosen, self.waves, strict=True):
            deployment.restart(number)
            self.disturbances.append(
                Disturbance(began_s, time.monotonic(), stopped=wave.address)
            )
        for thread in threads:
            thread.join()
        lag_s = max(wave.lag_s for wave in self.waves)
        self._note(f"stopped; the waves were held up for {lag_s:.3f} s at most")

    def _note(self, line: str) -> None:
        self.lines.append(f"{time.monotonic() - self._began_s:7.2f} s  {line}")

    def _note_all(self, lines: list[str]) -> None:
        for line in lines:
            self._note(line)

    def _strike(self) -> None:
        """Begin and end faults; several may last at once."""
        plan = FaultPlan(self.deployment, self.random)
        domains = self.domains
        until_s = time.monotonic() + self.options.faults_s
        ends: list[Running] = []
        while time.monotonic() < until_s:
            if self.random.random() < PLANNED_WORK_SHARE:
                self._change_configuration()
            else:
                fault = plan.choose()
                self._note(f"{fault.what} for {fault.for_s:.1f} s")
                began_s = time.monotonic()
                fault.begin()
                heapq.heappush(ends, (began_s + fault.for_s, began_s, fault))
            time.sleep(self.random.uniform(*GAP_S))
            self._end_faults(ends, time.monotonic())
            self._note_all(domains.step())
        self._end_faults(ends, float("inf"))
        self._note_all(domains.end())
        self.deployment.set_store_fault(**STORE_WELL)
        self._note("all faults have ended")

    def _end_faults(self, ends: list[Running], until_s: float) -> None:
        while ends and ends[0][0] <= until_s:
            due_s, began_s, fault = heapq.heappop(ends)
            time.sleep(max(due_s - time.monotonic(), 0.0))
            fault.end()
            ended_s = time.monotonic()
            self.disturbances.append(
                Disturbance(
                    began_s, ended_s, fault.cuts_off, fault.stopped, fault.paused
                )
            )

    def _change_configuration(self) -> None:
        """Withdraw a key and give a new one, have two servers leave, or add a route."""
        deployment = self.deployment
        kind = self.random.choice(("key", "drain", "route"))
        if kind == "key":
            old = deployment.keys.pop(0)
            deployment.keys.append(f"key-north-{deployment.version}")
            deployment.publish()
            self.withdrawn.append(Moment(old, time.monotonic()))
        elif kind == "drain" and len(self.drained) < 2:
            service = ("stock", "orders")[len(self.drained)]
            server = f"{service}-0"
            deployment.set_server_fault(server, "drain")
            # Another leaves too, and only its answers tell.
            deployment.set_server_fault(f"{service}-1", "leave")
            self.drained.append(Moment(server, time.monotonic()))
        else:
            self._add_route()
        self._note(f"planned: {kind}")

    def _add_route(self) -> None:
        route = f"/extra-{self.deployment.version}/"
        self.deployment.extra_routes.append(route)
        self.deployment.publish()
        self.added.append(Moment(route, time.monotonic()))

    def _kinds(self) -> list[Kind]:
        read, order, everyone = ROUTES["read"], ROUTES["order"], ROUTES["open"]
        key = self.deployment.keys[0]
        kinds = [
            Kind("read", "GET", read, key, WORKSPACE),
            Kind("order", "POST", order, key, WORKSPACE),
            Kind("open", "GET", everyone, None, ""),
            Kind("small", "GET", read, SMALL_KEY, SMALL_WORKSPACE),
        ]
        kinds += [
            Kind("withdrawn", "POST", order, moment.what, WORKSPACE)
            for moment in self.withdrawn[-1:]
        ]
        kinds += [
            Kind("added", "GET", moment.what, key, WORKSPACE)
            for moment in self.added[-1:]
        ]
        return kinds

    def _files(self) -> list[Kind]:
        key = self.deployment.keys[0]
        return [
            Kind(name, method, FILES_ROUTES[name], key, WORKSPACE, FILES_TIMEOUT_S)
            for name, method in (("download", "GET"), ("upload", "POST"))
        ]

    def _resolve(self) -> None:
        """Ask the directory as callers do, and keep the last answer."""
        while not self._stopped.is_set():
            for proxy in tuple(self.deployment.proxies):
                found = self.deployment.resolve(proxy)
                if found:
                    self.addresses = found
                    break
            self._stopped.wait(RESOLVE_INTERVAL_S)

    def _check(self, calm_s: float, calm_until_s: float) -> list[str]:
        seen = [each for caller in self.callers for each in caller.seen]
        seen += [each for wave in self.waves for each in wave.seen]
        history = History(
            seen,
            self.deployment.runs(),
            self.withdrawn,
            self.drained,
            [Limit(SMALL_WORKSPACE, SMALL_RATE_PER_S, SMALL_BURST)],
            self.disturbances,
            self.deployment.arrivals_by_server(),
            self.deployment.reached(),
            self.domains.evacuations,
            self.domains.cold,
            self.added,
        )
        broken = [*history.broken(), *self.deployment.bad_exits]
        withdrawn = {moment.what for moment in self.withdrawn}
        calm = [
            each
            for each in seen
            if each.kind.key not in withdrawn
            and each.sent_s <= calm_until_s
            and not each.pauses
        ]
        missing = recovered(calm, calm_s)
        served = sum(each.status == 200 for each in seen)
        counts = Counter(history.outcome(each) for each in seen)
        outcomes = ", ".join(f"{counts[name]} {name}" for name in sorted(counts))
        self._note(
            f"{len(seen)} requests, {served} served, {len(history.runs)} runs; "
            + f"{outcomes}, {len(history.lost_in_touch())} lost in touch"
        )
        return broken if missing is None else [*broken, missing]


def run_soak(options: Options, folder: Path | None = None) -> tuple[list[str], Soak]:
    """Run one seed in a folder of its own; return what broke, and the soak."""
    if folder is None:
        with scratch_folder() as scratch:
            return run_soak(options, Path(scratch))
    with SoakDeployment(folder) as deployment:
        deployment.start_proxies(options.proxies)
        domains = DomainWork(deployment, Random(f"{options.seed}/domains"))
        soak = Soak(options, deployment, Random(options.seed), domains)
        soak.addresses = deployment.resolve(deployment.proxies[0])
        if not soak.addresses:
            raise DeploymentError("the directory names no instance")
        return soak.run(), soak
