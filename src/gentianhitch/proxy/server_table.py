"""The listed backend servers, and the requests that run at them."""

from __future__ import annotations

from collections.abc import Iterable

import xxhash

from gentianhitch.proxy.digests import route_digest
from gentianhitch.proxy.digests import server_digest
from gentianhitch.proxy.gray_filter import GrayFilter
from gentianhitch.proxy.model import BackendServer
from gentianhitch.proxy.server_notices import ServerNotices
from gentianhitch.proxy.server_records import RemoteRequests
from gentianhitch.proxy.server_records import RunningRequest
from gentianhitch.proxy.server_records import ServerRecord
from gentianhitch.proxy.warmup import LIST_SPREAD_S
from gentianhitch.proxy.warmup import LISTING_CURRENT_S
from gentianhitch.proxy.warmup import SendWindow
from gentianhitch.proxy.warmup import Share
from gentianhitch.proxy.warmup import WarmupLimit
from gentianhitch.proxy.warmup import share_of

TURN_S = 0.25
"""Instances try an unused server in turn: each learns what came of the try before."""

MAX_TURN_S = 2.0

MIN_COLD_S = 0.5
"""Assumed of a server whose entry says cold beyond the time that it said."""

MAX_DIGEST = 2**32 - 1
BROKEN_PATH_PRIOR = 0.01
"""Prior probability that the path from this instance to a server is broken."""


class ServerTable:
    """The records of the listed servers, with the running requests of all instances.

    ``name`` is that of this instance. ``listing_verified_s`` is the start of the read
    that last confirmed which servers are cold.
    """

    def __init__(self, name: str) -> None:
        self._name = name
        self._records_by_key: dict[tuple[str, int], ServerRecord] = {}
        self._by_service: dict[str, list[ServerRecord]] = {}
        self._server_keys_by_digest: dict[int, tuple[str, int]] = {}
        self._route_names_by_digest: dict[int, str] = {}
        self._reported_by_instance: dict[str, frozenset[tuple[str, int]]] = {}
        self._instances: frozenset[str] = frozenset()
        self._former_instances: list[tuple[float, frozenset[str]]] = []
        self._unlisted_sends: dict[tuple[str, int], SendWindow] = {}
        self._evacuated_domains: frozenset[str] = frozenset()
        self.failure_domains: frozenset[str] = frozenset()
        self._returned_s_by_domain: dict[str, float] = {}
        self._warmup_limits: dict[str, WarmupLimit] = {}
        self.listing_verified_s = float("-inf")
        self.notices = ServerNotices()

    def update(self, servers: Iterable[BackendServer], now: float) -> None:
        """Replace the set of candidates by the backend servers in the listing."""
        listed = {server.key: server for server in servers}
        for key in tuple(self._records_by_key):
            if key not in listed:
                self._unlisted_sends[key] = self._records_by_key.pop(key).sends
        self._by_service = {}
        self._server_keys_by_digest = {server_digest(key): key for key in listed}
        self.failure_domains = frozenset(
            server.failure_domain for server in listed.values()
        )
        for key, server in listed.items():
            record = self._records_by_key.get(key)
            if record is None:
                record = ServerRecord(server, GrayFilter(now), _new_path_filter(now))
                record.warm_at_s = now + server.warmup_s
                record.last_used_s = now
                record.sends = self._unlisted_sends.pop(key, record.sends)
                self._records_by_key[key] = record
                self._set_turn(record)
                self._set_shares(record, now)
                self._start_warmup(record, server, now, is_new=True)
            elif server is not record.server:
                self._start_warmup(record, server, now, is_new=False)
            record.server = server
            self._by_service.setdefault(server.service, []).append(record)
        # An entry may lapse and be written again within the window of its sends.
        self._unlisted_sends = {
            key: sends
            for key, sends in self._unlisted_sends.items()
            if not sends.is_empty(now)
        }

    def servers_of(self, service: str) -> list[BackendServer]:
        """Return the listed servers of ``service``."""
        return [record.server for record in self._by_service.get(service, ())]

    def forget_paths(self, server_ids: frozenset[str], now: float) -> None:
        """Forget what is known of the paths from this instance to some servers."""
        for record in self._records_by_key.values():
            if record.server.id in server_ids:
                record.path_filter = _new_path_filter(now)

    def server_key(self, digest: int) -> tuple[str, int] | None:
        """Return the key of the listed server with ``digest``; None if none has it."""
        return self._server_keys_by_digest.get(digest)

    def route_name(self, digest: int) -> str | None:
        """Return the name of the route with ``digest``; None if none has it."""
        return self._route_names_by_digest.get(digest)

    def set_routes(self, routes: frozenset[str]) -> None:
        """Set the routes of the configuration in force."""
        self._route_names_by_digest = {route_digest(name): name for name in routes}

    def set_evacuated(self, domains: frozenset[str], now: float) -> None:
        """Set the failure domains whose servers get no requests."""
        returned = self._evacuated_domains - domains
        self._returned_s_by_domain.update(dict.fromkeys(returned, now))
        self._evacuated_domains = domains
        for record in self._records_by_key.values() if returned else ():
            limit = self._warmup_limits.get(record.server.service)
            if limit is not None and record.server.failure_domain in returned:
                record.warm_at_s = max(record.warm_at_s, now + limit.duration_s)

    def usable_domains(self) -> frozenset[str]:
        """Return the failure domains with listed servers that are not evacuated."""
        return self.failure_domains - self._evacuated_domains

    def is_evacuated(self, server: BackendServer) -> bool:
        """Return whether the failure domain of ``server`` is evacuated."""
        return server.failure_domain in self._evacuated_domains

    def describe_unused(self, service: str, now: float) -> str:
        """Return how many servers of ``service`` get no requests, or "" if all do."""
        records = self._by_service.get(service, ())
        evacuated = sum(self.is_evacuated(record.server) for record in records)
        cold = sum(
            self._warmup_wait_s(record, now) > 0
            for record in records
            if not self.is_evacuated(record.server)
        )
        counts = [
            f"{count} {reason}"
            for count, reason in ((evacuated, "evacuated"), (cold, "cold"))
            if count
        ]
        if not counts:
            return ""
        return f"of {len(records)} servers, {' and '.join(counts)}"

    def count_evacuated(self) -> int:
        """Return how many listed servers get no requests for this reason."""
        return sum(
            self.is_evacuated(record.server) for record in self._records_by_key.values()
        )

    def set_instances(self, names: frozenset[str], now: float) -> None:
        """Set the instances that use the servers with this one."""
        if names == self._instances:
            return
        self._former_instances = [
            each for each in self._former_instances if each[0] > now
        ]
        self._former_instances.append((now + LIST_SPREAD_S, self._instances))
        self._instances = names
        for record in self._records_by_key.values():
            self._set_turn(record)
            record.shares.replace(self._share(record.server, names), now)

    def _set_turn(self, record: ServerRecord) -> None:
        """Set this instance's preference for a server, and its turn to try it."""
        own = _order_digest(self._name, record.server)
        record.affinity = own / MAX_DIGEST
        before = sum(
            _order_digest(name, record.server) > own for name in self._instances
        )
        record.turn_s = min(before * TURN_S, MAX_TURN_S)

    def _set_shares(self, record: ServerRecord, now: float) -> None:
        """Set the shares of a new server's requests, as if it had been known before."""
        record.shares.current = self._share(record.server, self._instances)
        for until_s, names in self._former_instances:
            if until_s > now:
                record.shares.add_former(until_s, self._share(record.server, names))

    def _share(self, server: BackendServer, names: frozenset[str]) -> Share:
        own = _order_digest(self._name, server) if self._name in names else None
        return share_of(
            own, (_order_digest(name, server) for name in names), len(names)
        )

    # Cold servers.

    def set_warmup_limits(self, limits_by_service: dict[str, WarmupLimit]) -> None:
        """Set the limits for cold servers of the services that have one."""
        self._warmup_limits = limits_by_service

    def _start_warmup(
        self, record: ServerRecord, server: BackendServer, now: float, *, is_new: bool
    ) -> None:
        """Record until when a server that is new, or whose entry changed, is cold."""
        if not server.is_cold:
            record.cold_until_s = float("-inf")
            return
        limit = self._warmup_limits.get(server.service)
        cold_s = server.warmup_s
        if limit is not None:
            record.warm_at_s = max(record.warm_at_s, now + cold_s)
            if is_new:
                # Its entry may be as old as the server's last heartbeat.
                cold_s = max(cold_s, limit.duration_s)
        record.cold_until_s = max(record.cold_until_s, now + cold_s)

    def _cold_for_s(
        self, record: ServerRecord, limit: WarmupLimit, now: float
    ) -> float:
        """Return for how long at least a server is cold; 0 if it is warm."""
        server = record.server
        returned_s = self._returned_s_by_domain.get(server.failure_domain)
        cold_s = record.cold_until_s - now
        if returned_s is not None:
            cold_s = max(cold_s, returned_s + limit.duration_s - now)
        is_current = now - self.listing_verified_s < LISTING_CURRENT_S
        if server.is_cold and is_current:
            # It has become cold again, or the next read will show it warm.
            cold_s = max(cold_s, MIN_COLD_S)
        return max(cold_s, 0.0)

    def _warmup_wait_s(self, record: ServerRecord, now: float) -> float:
        """Return after how long a server takes one more request of this instance."""
        limit = self._warmup_limits.get(record.server.service)
        if limit is None:
            return 0.0
        cold_s = self._cold_for_s(record, limit, now)
        if not cold_s:
            return 0.0
        allowance = record.shares.allowance(limit, now)
        if not allowance:
            return cold_s
        return min(cold_s, record.sends.room_in_s(allowance, now))

    def is_cold(self, record: ServerRecord, now: float) -> bool:
        """Return whether a server is cold and its service has a limit for that."""
        limit = self._warmup_limits.get(record.server.service)
        return limit is not None and self._cold_for_s(record, limit, now) > 0

    def count_cold(self, now: float) -> int:
        """Return how many listed servers are cold."""
        return sum(
            self.is_cold(record, now) for record in self._records_by_key.values()
        )

    def reason_not_to_write(self, server: BackendServer, now: float) -> str:
        """Return why a server that was chosen must not get the request, or "".

        Call this once for each choice, just before the write.
        """
        if self.is_evacuated(server):
            return "evacuated"
        record = self._records_by_key.get(server.key)
        limit = self._warmup_limits.get(server.service)
        if record is None or limit is None:
            return ""
        allowance = record.shares.allowance(limit, now)
        has_room = record.sends.may_write(allowance, now)
        is_cold = self._cold_for_s(record, limit, now) > 0
        return "cold" if is_cold and not has_room else ""

    def record_wait(self, server: BackendServer, wait_s: float, now: float) -> float:
        """Record that a server wants no requests for ``wait_s``; return until when.

        Instances then try it in turn, as any server that nobody uses.
        """
        until_s = self.notices.record_wait(server.key, wait_s, now)
        record = self._records_by_key.get(server.key)
        if record is not None:
            record.last_used_s = max(record.last_used_s, until_s)
        return until_s

    def free_in_s(self, service: str, now: float) -> float | None:
        """Return after how long a server of ``service`` wants requests; None: never."""
        waits_s = [
            max(wait_s, self._warmup_wait_s(record, now))
            for record in self._by_service.get(service, ())
            if not record.server.draining
            and not record.is_replaced
            and not self.is_evacuated(record.server)
            and (wait_s := self.notices.free_in_s((record.server.key,), now))
            is not None
        ]
        return min(waits_s, default=None)

    def mark_replaced(self, server: BackendServer) -> None:
        """Exclude a server whose address another server has taken over.

        The store may list its entry for some seconds more.
        """
        record = self._records_by_key.get(server.key)
        if record is not None:
            record.is_replaced = True

    def merge_running(
        self,
        instance: str,
        requests_by_server: dict[tuple[str, int], tuple[RunningRequest, ...]],
        now: float,
    ) -> None:
        """Replace the running requests of another instance by those of its report."""
        before = self._reported_by_instance.get(instance, frozenset())
        for key in before - requests_by_server.keys():
            record = self._records_by_key.get(key)
            if record is not None:
                record.remote_by_instance.pop(instance, None)
        for key, requests in requests_by_server.items():
            record = self._records_by_key.get(key)
            if record is not None:
                record.remote_by_instance[instance] = RemoteRequests(requests, now)
                starts_s = (request.started_s for request in requests)
                started_s = max(starts_s, default=record.last_used_s)
                record.last_used_s = max(record.last_used_s, started_s)
        self._reported_by_instance[instance] = frozenset(requests_by_server)

    def running_by_server(self) -> dict[tuple[str, int], list[RunningRequest]]:
        """Return the own running requests, by the key of their server."""
        return {
            key: list(record.running_by_token.values())
            for key, record in self._records_by_key.items()
            if record.running_by_token
        }


def _new_path_filter(now: float) -> GrayFilter:
    return GrayFilter(now, BROKEN_PATH_PRIOR, 0.0)


def _order_digest(instance: str, server: BackendServer) -> int:
    return xxhash.xxh32_intdigest(f"{instance} {server.id}".encode())
