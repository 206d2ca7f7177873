"""Simulate a service of which some backend servers fail part of their requests."""

from __future__ import annotations

import heapq
from collections.abc import Iterator
from random import Random

import attrs

from gentianhitch.proxy.balancing import Balancer
from gentianhitch.proxy.model import BackendServer
from gentianhitch.proxy.model import Route
from gentianhitch.proxy.server_records import AttemptResult
from tests.builders_proxy import make_server

REPORT_INTERVAL_S = 0.2
FLOOR_WINDOW_S = 2.0
"""Length of the windows that the platform's rule on the floor looks at."""


@attrs.frozen
class SimulatedRequest:
    """One order: where and when it was sent, and whether it succeeded."""

    server: str
    sent_s: float
    succeeded: bool


@attrs.define(eq=False, slots=False)
class GrayService:
    """Balancers of several instances that share their evidence, before one service.

    Each server is gray in spells, ``gray_share`` of the time, and then fails most
    requests: with an error response, or with none until the deadline if ``hangs``. With
    ``are_spells_alike`` the spells are about equally long. Servers and instances are
    spread evenly over ``failure_domains``.
    """

    seed: int
    server_count: int
    rate_per_s: float
    route: Route
    instances: int = 4
    gray_share: float = 0.3
    spell_s: float = 5.0
    failure_share: float = 0.75
    healthy_failure_share: float = 0.01
    service_s: float = 0.3
    hangs: bool = False
    are_spells_alike: bool = False
    deadline_s: float = 8.0
    failure_domains: int = 1
    slots: int = 6
    requests: list[SimulatedRequest] = attrs.Factory(list)
    failed_at_by_server: dict[str, list[float]] = attrs.Factory(dict)

    def __attrs_post_init__(self) -> None:
        self.random = Random(self.seed)
        self.servers = [
            make_server(f"s-{n}", failure_domain=self._domain(n), slots=self.slots)
            for n in range(self.server_count)
        ]
        self.balancers = [
            Balancer(f"e-{n}", self._domain(n), Random(f"{self.seed} {n}"))
            for n in range(self.instances)
        ]
        for balancer in self.balancers:
            balancer.update(self.servers, 0.0)
            balancer.set_instances(
                frozenset(f"e-{n}" for n in range(self.instances)), 0.0
            )
            balancer.latencies("stock", self.route)
        self._spells = {server.id: list(self._draw_spells()) for server in self.servers}

    def _domain(self, number: int) -> str:
        return chr(ord("a") + number % self.failure_domains)

    def _draw_spells(self) -> Iterator[tuple[float, float]]:
        healthy_s = self.spell_s * (1.0 - self.gray_share) / self.gray_share
        now = self.random.uniform(-healthy_s, healthy_s)
        while now < 120.0:
            end_s = now + self._draw_spell_length()
            yield now, end_s
            now = end_s + self.random.expovariate(1.0 / healthy_s)

    def _draw_spell_length(self) -> float:
        if self.are_spells_alike:
            return self.spell_s * self.random.uniform(0.55, 1.45)
        return self.random.expovariate(1.0 / self.spell_s)

    def is_gray(self, server: str, now: float) -> bool:
        return any(start_s <= now < end_s for start_s, end_s in self._spells[server])

    def run(self, seconds: float) -> None:
        """Send orders at random times and exchange reports at regular ones."""
        ends: list[tuple[float, int, Balancer, BackendServer, int, AttemptResult]] = []
        number, now, next_report_s = 0, 0.0, REPORT_INTERVAL_S
        while now < seconds:
            now += self.random.expovariate(self.rate_per_s)
            while ends and ends[0][0] <= now:
                self._end(*heapq.heappop(ends))
            while next_report_s <= now:
                self._exchange_reports(next_report_s)
                next_report_s += REPORT_INTERVAL_S
            balancer = self.random.choice(self.balancers)
            server = balancer.choose("stock", self.route, now)
            if server is None:
                continue
            token = balancer.record_start(server, self.route, now)
            gray = self.is_gray(server.id, now)
            failure_share = self.failure_share if gray else self.healthy_failure_share
            succeeds = self.random.random() >= failure_share
            latency_s = self.service_s * self.random.uniform(0.6, 1.6)
            if not succeeds:
                latency_s = self.deadline_s if gray and self.hangs else 0.005
            self.requests.append(SimulatedRequest(server.id, now, succeeds))
            number += 1
            result = AttemptResult.GOOD
            if not succeeds:
                hung = gray and self.hangs
                result = AttemptResult.FAILED if hung else AttemptResult.ERROR
                failed_s = now + latency_s
                self.failed_at_by_server.setdefault(server.id, []).append(
                    now if hung else failed_s
                )
            heapq.heappush(
                ends, (now + latency_s, number, balancer, server, token, result)
            )

    def _end(
        self,
        now: float,
        number: int,
        balancer: Balancer,
        server: BackendServer,
        token: int,
        result: AttemptResult,
    ) -> None:
        balancer.record_end(server, self.route, token, result, now)

    def _exchange_reports(self, now: float) -> None:
        for sender in self.balancers:
            observations, sender.observations = sender.observations, []
            running = {
                key: tuple(requests)
                for key, requests in sender.running_by_server().items()
            }
            for receiver in self.balancers:
                if receiver is not sender:
                    receiver.merge_running(str(id(sender)), running, now)
                    for observation in observations:
                        receiver.merge_observation(observation, now)

    def failed_share(self) -> float:
        """Return the share of all orders that failed."""
        failed = sum(not request.succeeded for request in self.requests)
        return failed / len(self.requests)

    def floor_shares(
        self, from_s: float, sound_after_s: float = FLOOR_WINDOW_S
    ) -> Iterator[tuple[float, float, float]]:
        """Return (start, share of sound servers used, failed share) of each window.

        A server is sound unless it was gray in the window or ``sound_after_s`` before.
        """
        end_s = self.requests[-1].sent_s
        start_s = from_s
        while start_s + FLOOR_WINDOW_S <= end_s:
            inside = [
                request
                for request in self.requests
                if start_s <= request.sent_s < start_s + FLOOR_WINDOW_S
            ]
            sound = {
                server.id
                for server in self.servers
                if not any(
                    spell_s < start_s + FLOOR_WINDOW_S
                    and end_spell_s > start_s - sound_after_s
                    for spell_s, end_spell_s in self._spells[server.id]
                )
            }
            used = {request.server for request in inside}
            failed = sum(not request.succeeded for request in inside)
            if sound and inside:
                yield start_s, len(sound & used) / len(sound), failed / len(inside)
            start_s += 0.25
