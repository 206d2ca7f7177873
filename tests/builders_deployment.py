"""Build a whole deployment of proxy instances on the simulated network."""

from __future__ import annotations

from pathlib import Path
from random import Random
from typing import Any

import attrs
from twisted.web.server import Site

from gentianhitch.platform.node_settings import decode_node_settings
from gentianhitch.proxy.instance import ProxyInstance
from gentianhitch.proxy.sources import reading_order
from standins.platform_store import Store
from standins.platform_store import StoreCopy
from tests.builders_platform import make_raw_node_settings
from tests.builders_proxy import make_route
from tests.simulated_network import Network
from tests.simulated_store import SimulatedStore

STORE_HOST = "10.200.0.1"
STORE_PORT = 8041
SERVER_PORT = 8369
STORE_BYTES_PER_S = 125e6
HEARTBEAT_S = 1.5


@attrs.define
class NoOutput:
    dropped: int = 0


@attrs.define(eq=False)
class RecordedEvents:
    """Keep what an instance logs."""

    output: NoOutput = attrs.Factory(NoOutput)
    lines: list[tuple[str, dict[str, Any]]] = attrs.Factory(list)
    failures: list[Any] = attrs.Factory(list)

    def request(self, event: str, request_id: bytes, **inputs: Any) -> None:
        self.lines.append((event, inputs))

    def state(self, event: str, **inputs: Any) -> None:
        self.lines.append((event, inputs))

    def failure(self, failure: Any) -> None:
        self.failures.append(failure)


def make_document(version: int, routes: int, seed: int = 0) -> dict[str, Any]:
    """Return a configuration as the operator writes it, with random names."""
    random = Random(f"{seed}")
    rules = [
        {
            "name": f"r-{random.randbytes(6).hex()}",
            "type": "safe",
            "match": {"prefix": f"/{random.randbytes(6).hex()}/{number}/"},
            "action": {"service": "stock", "timeoutMs": 3000, "attempts": 2},
            "objectiveLatencyMs": 2000,
            "priority": 2,
        }
        for number in range(routes)
    ]
    return {
        "version": version,
        "listeners": [{"hostname": "shop.example", "rules": rules}],
        "clusters": [{"name": "stock", "maxConnections": 330}],
        "tenants": [{"name": "north", "apiKeys": ["k-1"], "ratePerS": 10, "burst": 5}],
    }


def server_host(number: int) -> str:
    return f"10.9.{number // 250}.{number % 250 + 1}"


def make_server_entry(
    number: int, state: str = "ready", beat: int = 0, **changes: Any
) -> Any:
    return {
        "service": "stock",
        "address": f"{server_host(number)}:{SERVER_PORT}",
        "zone": "a",
        "version": "v1",
        "slots": 6,
        "state": state,
        "warmupRemainingMs": 0,
        "sequenceNumber": beat,
        "born": 1_700_000_000_000 + number,
        **changes,
    }


@attrs.define
class LossyTransport:
    """Lose a share of the datagrams."""

    transport: Any
    random: Random
    share: float

    def write(self, data: bytes, to: Any) -> None:
        if self.random.random() >= self.share:
            self.transport.write(data, to)


def instance_host(number: int) -> str:
    return f"10.1.{number // 250}.{number % 250 + 1}"


class SimulatedDeployment:
    """Instances of three failure domains, their store and its backend servers.

    ``bytes_per_s`` lists the link of each instance, which the settings contain if
    ``tells_links``; ``zones`` has the failure domains of the servers. Servers renew
    their entries at every heartbeat, as they do on the platform. ``bounds`` are
    further ones of the settings.
    """

    def __init__(
        self,
        bytes_per_s: list[float],
        servers: int,
        zones: str = "a",
        bounds: dict[str, float] | None = None,
        *,
        tells_links: bool = True,
    ) -> None:
        self._zones = zones
        self._bounds = bounds or {}
        self._tells_links = tells_links
        self.network = Network()
        reactor = self.network.add_host(STORE_HOST, STORE_BYTES_PER_S)
        self.store = SimulatedStore(Store(self.network.clock.seconds))
        reactor.listenTCP(STORE_PORT, Site(self.store, reactor=reactor))
        self._states = dict.fromkeys(range(servers), "ready")
        self._added_zones: dict[int, str] = {}
        self._warm_at_s: dict[int, float] = {}
        self._beat = 0
        self._renew_servers()
        self.store.write("op/config", make_document(1, 20))
        self.instances = [
            self._add_instance(number, rate) for number, rate in enumerate(bytes_per_s)
        ]

    def _add_instance(self, number: int, bytes_per_s: float) -> ProxyInstance:
        host = instance_host(number)
        raw = make_raw_node_settings(host)
        raw["self"]["nodeName"] = f"edge-{number}"
        raw["self"]["zone"] = "abc"[number % 3]
        if self._tells_links:
            raw["self"]["limits"]["linkMbps"] = bytes_per_s * 8 / 1e6
        raw["terms"]["bounds"].update(self._bounds)
        raw["provider"]["provider"]["address"] = f"{STORE_HOST}:{STORE_PORT}"
        instance = ProxyInstance(
            self.network.add_host(host, bytes_per_s),
            decode_node_settings(raw),
            Path("no-settings-file.json"),
            RecordedEvents(),
        )
        instance.start()
        return instance

    def _renew_servers(self) -> None:
        self._beat += 1
        for number in self._states:
            self._renew_server(number)
        self.network.clock.callLater(HEARTBEAT_S, self._renew_servers)

    def _renew_server(self, number: int) -> None:
        remaining_s = self._warm_at_s.get(number, 0.0) - self.network.clock.seconds()
        entry = make_server_entry(
            number,
            self._states[number],
            self._beat,
            zone=self.zone_of(number),
            warmupRemainingMs=max(remaining_s, 0.0) * 1000,
        )
        self.store.write(f"servers/i-{number}", entry)

    def zone_of(self, number: int) -> str:
        """Return the failure domain of a server."""
        default = self._zones[number % len(self._zones)]
        return self._added_zones.get(number, default)

    def add_server(self, number: int, zone: str) -> None:
        self._states[number] = "ready"
        self._added_zones[number] = zone
        self._renew_server(number)

    def cool_server(self, number: int, seconds: float) -> None:
        """Have a server say that it is cold for some time from now on."""
        self._warm_at_s[number] = self.network.clock.seconds() + seconds
        self._renew_server(number)

    def limit_cold_servers(self, warmup_s: float, rate_per_s: float) -> None:
        """Write a configuration that limits the cold servers of the service."""
        document = make_document(2, 20)
        document["clusters"][0].update(warmupS=warmup_s, warmupPerS=rate_per_s)
        self.configure(document)

    def cold_servers(self, instance: int) -> set[str]:
        """Return the servers that an instance takes for cold."""
        balancer, now = self.instances[instance]._balancer, self.network.clock.seconds()
        records = balancer._by_service.get("stock", ())
        return {each.server.id for each in records if balancer.is_cold(each, now)}

    def evacuate(self, zone: str) -> None:
        self.store.write(f"op/evacuate/{zone}", {})

    def cancel_evacuation(self, zone: str) -> None:
        self.store.remove(f"op/evacuate/{zone}")

    def restart(self, number: int) -> None:
        """Kill an instance and start it again at once."""
        host = instance_host(number)
        self.instances[number]._exit()
        self.instances[number] = self._add_instance(
            number, self.network.rates_by_host[host]
        )

    def usable_zones(self, number: int) -> set[str]:
        """Return the failure domains whose servers an instance would choose."""
        balancer, route = self.instances[number]._balancer, make_route()
        found = {}
        while server := balancer.choose(
            "stock",
            route,
            self.network.clock.seconds(),
            exclude=frozenset(found),
        ):
            found[server.id] = server.failure_domain
        return set(found.values())

    def lose_datagrams(self, share: float) -> None:
        """Lose some of the datagrams that instances send, at random."""
        random = Random("lost datagrams")
        for instance in self.instances:
            datagrams = instance._datagrams
            datagrams.transport = LossyTransport(datagrams.transport, random, share)

    def reader_hosts(self) -> set[str]:
        """Return the hosts of the instances that usually read the store."""
        peers = self.instances[0].store_view.peers_by_name.values()
        first: dict[str, str] = {}
        for peer in reading_order(peers):
            first.setdefault(peer.failure_domain, peer.datagram_address.host)
        return set(first.values())

    def record_buckets(self) -> list[int]:
        """Return a list to which the numbers of all buckets sent are added."""
        sent: list[int] = []
        for instance in self.instances:
            build = instance._refresher.build_reply

            def build_reply(ask: Any, build: Any = build) -> Any:
                reply = build(ask)
                if reply is not None:
                    sent.extend(number for number, _ in reply.buckets)
                return reply

            instance._refresher.build_reply = build_reply  # type: ignore[method-assign]
        return sent

    def lines(self, event: str) -> list[dict[str, Any]]:
        """Return what all instances have logged of one kind."""
        return [
            fields
            for instance in self.instances
            for name, fields in instance._events.lines
            if name == event
        ]

    def advance(self, seconds: float) -> None:
        self.network.advance(seconds)

    def configure(self, document: dict[str, Any]) -> None:
        self.store.write("op/config", document)

    def return_store(self, copy: StoreCopy, away_s: float, again_s: float) -> None:
        """Have the store be away, and return from a copy that was taken before.

        The operator writes what it lost ``again_s`` after the return; servers write at
        their heartbeats.
        """
        self.store.is_down = True
        self.advance(away_s)
        pause_s = self.network.clock.seconds() - copy.taken_s
        lost = self.store.store.return_from(copy, pause_s)
        self.store.is_down = False
        by_operator = {key: lost[key] for key in lost if key.startswith("op/")}
        self.network.clock.callLater(again_s, self.store.store.write_again, by_operator)

    def drain_server(self, number: int) -> None:
        self._states[number] = "draining"
        self._renew_server(number)

    def remove_server(self, number: int) -> None:
        del self._states[number]
        self.store.remove(f"servers/i-{number}")

    def versions(self) -> list[int]:
        """Return the version of the configuration in force at each instance."""
        found = [each.store_view.configuration for each in self.instances]
        return [0 if each is None else each.version for each in found]

    def users_of(self, number: int) -> list[str]:
        """Return the instances that would still send requests to a server."""
        return [
            f"edge-{index}"
            for index, each in enumerate(self.instances)
            if (server := each.store_view.servers_by_id.get(f"i-{number}")) is not None
            and not server.draining
        ]

    def listed(self) -> int:
        """Return how many instances are listed in the store."""
        return len(self.store.store.range("peers/", ""))
