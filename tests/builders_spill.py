"""Simulate a service with few slots in three failure domains, without a network."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from random import Random

import attrs

from gentianhitch.proxy.balancing import Balancer
from gentianhitch.proxy.competition import Competition
from gentianhitch.proxy.model import BackendServer
from gentianhitch.proxy.server_records import AttemptResult
from tests.builders_proxy import make_route
from tests.builders_proxy import make_server

DOMAINS = "abc"
SERVERS_PER_DOMAIN = 12
INSTANCES_PER_DOMAIN = 2
SLOTS = 2
SERVICE_S = 0.25
OBJECTIVE_S = 0.51
REPORT_INTERVAL_S = 0.2
WARMUP_S = 3.0

CAPACITY_PER_S = SERVERS_PER_DOMAIN * SLOTS / SERVICE_S
"""Requests a second that the servers of one failure domain can run."""

ROUTE = make_route(objective_s=OBJECTIVE_S, idempotent=False, max_attempts=1)


@attrs.frozen
class Served:
    """One request; ``is_remote`` if it ran in another failure domain than its own."""

    latency_s: float
    is_remote: bool


class SpillingService:
    """Balancers of two instances in each domain, and servers that queue requests.

    ``rate_per_s`` gives the demand of a failure domain at a time. A share of the
    reports is lost.
    """

    def __init__(
        self,
        rate_per_s: Callable[[str, float], float],
        *,
        competes: bool,
        lost_share: float = 0.0,
        seed: int = 1,
    ) -> None:
        self.random = Random(seed)
        self._rate_per_s = rate_per_s
        self._lost_share = lost_share
        self.servers = [
            make_server(f"s-{domain}{number}", failure_domain=domain, slots=SLOTS)
            for domain in DOMAINS
            for number in range(SERVERS_PER_DOMAIN)
        ]
        self.balancers_by_domain = {
            domain: [
                Balancer(
                    f"e-{domain}{number}",
                    domain,
                    Random(f"{seed} {domain} {number}"),
                    competition=Competition(expects_pressure=competes),
                )
                for number in range(INSTANCES_PER_DOMAIN)
            ]
            for domain in DOMAINS
        }
        self._balancers = [
            each for group in self.balancers_by_domain.values() for each in group
        ]
        for balancer in self._balancers:
            balancer.update(self.servers, 0.0)
            balancer.latencies("stock", ROUTE)
        self._busy_until_s: dict[str, list[float]] = {}
        self._ends: list[tuple[float, int, Balancer, BackendServer, int]] = []
        self.served: list[Served] = []

    def run(self, seconds: float, *, lose_at_s: float = float("inf")) -> None:
        """Send requests; 60% of the servers of the first domain are lost meanwhile."""
        next_report_s = REPORT_INTERVAL_S
        has_lost = False
        for number, (now, domain) in enumerate(self._arrivals(seconds)):
            while self._ends and self._ends[0][0] <= now:
                end_s, _, balancer, server, token = heapq.heappop(self._ends)
                balancer.record_end(server, ROUTE, token, AttemptResult.GOOD, end_s)
            while next_report_s <= now:
                self._report(next_report_s)
                next_report_s += REPORT_INTERVAL_S
            if now >= lose_at_s and not has_lost:
                has_lost = True
                left = self.servers[round(0.6 * SERVERS_PER_DOMAIN) :]
                for balancer in self._balancers:
                    balancer.update(left, now)
            self._send(number, domain, now)

    def _arrivals(self, seconds: float) -> list[tuple[float, str]]:
        arrivals = []
        for domain in DOMAINS:
            now = 0.0
            while now < seconds:
                now += self.random.expovariate(self._rate_per_s(domain, now))
                arrivals.append((now, domain))
        return sorted(arrivals)

    def _send(self, number: int, domain: str, now: float) -> None:
        balancer = self.random.choice(self.balancers_by_domain[domain])
        server = balancer.choose("stock", ROUTE, now)
        if server is None:
            self.served.append(Served(float("inf"), is_remote=False))
            return
        token = balancer.record_start(server, ROUTE, now)
        until_s = [each for each in self._busy_until_s.get(server.id, ()) if each > now]
        free_s = sorted(until_s)[-SLOTS] if len(until_s) >= SLOTS else now
        end_s = free_s + SERVICE_S * self.random.uniform(0.5, 1.5)
        self._busy_until_s[server.id] = [*until_s, end_s]
        heapq.heappush(self._ends, (end_s, number, balancer, server, token))
        if now > WARMUP_S:
            is_remote = server.failure_domain != domain
            self.served.append(Served(end_s - now, is_remote=is_remote))

    def _report(self, now: float) -> None:
        for sender in self._balancers:
            observations, sender.observations = sender.observations, []
            running = {
                key: tuple(requests)
                for key, requests in sender.running_by_server().items()
            }
            for receiver in self._balancers:
                is_lost = self.random.random() < self._lost_share
                if receiver is not sender and not is_lost:
                    receiver.merge_running(str(id(sender)), running, now)
                    for observation in observations:
                        receiver.merge_observation(observation, now)

    @property
    def late_share(self) -> float:
        """Return the share of the requests that missed the objective."""
        late = sum(each.latency_s > OBJECTIVE_S for each in self.served)
        return late / len(self.served)

    @property
    def remote_share(self) -> float:
        """Return the share of the requests that crossed failure domains."""
        return sum(each.is_remote for each in self.served) / len(self.served)
