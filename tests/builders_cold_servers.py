"""Instances that share cold servers, without a network and without any report.

Each instance knows only its own requests, as if all reports were lost.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random

import attrs

from gentianhitch.proxy.balancing import Balancer
from gentianhitch.proxy.model import BackendServer
from gentianhitch.proxy.server_records import AttemptResult
from gentianhitch.proxy.warmup import WarmupLimit
from tests.builders_proxy import make_route
from tests.builders_proxy import make_server

STEP_S = 0.005
WORK_S = 0.04
CONNECT_S = (0.001, 0.06)
"""Connects take a random time in this span."""

ROUTE = make_route()
WARMUP_S = 3.0
LIMIT = WarmupLimit(WARMUP_S, 6.5 * 1.5 + 8, 8)
MOST_PER_S = 17
"""The whole requests in the limit."""


class ColdFleet:
    """Instances of three failure domains and servers that are warm at first.

    ``rate_per_s`` counts the requests of all instances together. Clocks are the same;
    each instance learns of a change after a random time below ``spread_s``.
    """

    def __init__(
        self,
        instances: int,
        rate_per_s: float,
        servers: int = 30,
        *,
        seed: int = 1,
        spread_s: float = 0.8,
    ) -> None:
        self.random = Random(f"cold {seed}")
        self.rate_per_s = rate_per_s
        self.spread_s = spread_s
        self.now = 100.0
        self.refused = 0
        self.withdrawn = 0
        self.keeps_listing_current = True
        self.servers = [
            make_server(f"s-{number}", failure_domain="abc"[number % 3])
            for number in range(servers)
        ]
        self.arrivals_by_server: dict[str, list[float]] = {
            server.id: [] for server in self.servers
        }
        self.names: frozenset[str] = frozenset(f"e-{n}" for n in range(instances))
        self.balancers: dict[str, Balancer] = {}
        self._later: list[tuple[float, Callable[[], None]]] = []
        for name in sorted(self.names):
            self.add_instance(name)
        # All have been listed for long.
        self.now += 10.0
        for balancer in self.balancers.values():
            balancer.listing_verified_s = self.now

    def add_instance(self, name: str) -> None:
        """Start an instance that knows all servers and the current instances."""
        number = len(self.balancers)
        balancer = Balancer(name, "abc"[number % 3], Random(f"{name}"))
        balancer.set_warmup_limits({"stock": LIMIT})
        balancer.listing_verified_s = self.now
        balancer.update(self.servers, self.now)
        balancer.set_instances(self.names, self.now)
        self.balancers[name] = balancer

    def tell(self, change: Callable[[Balancer], None]) -> None:
        """Apply a change to each instance, which learns of it after a while."""
        for balancer in tuple(self.balancers.values()):
            delay_s = self.random.uniform(0.0, self.spread_s)
            self._later.append((self.now + delay_s, lambda b=balancer: change(b)))

    def list_instances(self, names: frozenset[str]) -> None:
        """Change the list of instances; those that are new start now."""
        self.names = names
        for name in sorted(names - self.balancers.keys()):
            self.add_instance(name)
        self.tell(lambda balancer: balancer.set_instances(names, self.now))

    def set_evacuated(self, *domains: str) -> None:
        self.tell(lambda b: b.set_evacuated(frozenset(domains), self.now))

    def list_servers(self, **changes: object) -> None:
        """Change the entries of some servers; keys are their numbers as text."""
        self.servers = [
            attrs.evolve(server, **changes.get(server.id, {}))  # type: ignore[arg-type]
            for server in self.servers
        ]
        listed = tuple(self.servers)
        self.tell(lambda balancer: balancer.update(listed, self.now))

    def run(self, seconds: float) -> None:
        """Send requests at random times."""
        end_s = self.now + seconds
        while self.now < end_s:
            self.now += STEP_S
            for balancer in self.balancers.values():
                if self.keeps_listing_current:
                    balancer.listing_verified_s = self.now - 0.5
            due = [each for each in self._later if each[0] <= self.now]
            self._later = [each for each in self._later if each[0] > self.now]
            for _, act in sorted(due, key=lambda each: each[0]):
                act()
            expected = self.rate_per_s * STEP_S
            count = int(expected) + (self.random.random() < expected % 1)
            for _ in range(count):
                self.send(self.random.choice(list(self.balancers.values())))

    def send(self, balancer: Balancer, tried: frozenset[str] = frozenset()) -> None:
        """Choose a server and write the request once the connection is open."""
        server = balancer.choose("stock", ROUTE, self.now, exclude=tried)
        if server is None:
            self.refused += 1
            return
        connect_s = self.random.uniform(*CONNECT_S)
        self._later.append(
            (self.now + connect_s, lambda: self._write(balancer, server, tried))
        )

    def _write(
        self, balancer: Balancer, server: BackendServer, tried: frozenset[str]
    ) -> None:
        if balancer.reason_not_to_write(server, self.now):
            self.withdrawn += 1
            self.send(balancer, tried | {server.id})
            return
        token = balancer.record_start(server, ROUTE, self.now)
        self.arrivals_by_server[server.id].append(self.now)
        self._later.append(
            (
                self.now + WORK_S,
                lambda: balancer.record_end(
                    server, ROUTE, token, AttemptResult.GOOD, self.now
                ),
            )
        )

    def most_in_a_second(self, server_id: str, since_s: float, until_s: float) -> int:
        """Return the most requests that a server got in any second of a span."""
        times = [
            at_s
            for at_s in self.arrivals_by_server[server_id]
            if since_s <= at_s <= until_s
        ]
        return max(
            (sum(at_s <= each < at_s + 1.0 for each in times) for at_s in times),
            default=0,
        )

    def count(self, server_id: str, since_s: float, until_s: float) -> int:
        """Return how many requests a server got in a span."""
        return sum(
            since_s <= at_s < until_s for at_s in self.arrivals_by_server[server_id]
        )

    def servers_of(self, domain: str) -> list[str]:
        return [each.id for each in self.servers if each.failure_domain == domain]
