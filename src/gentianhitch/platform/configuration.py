"""Decode the JSON configuration that the operator writes to the store."""

from __future__ import annotations

import msgspec

from gentianhitch import json_codec
from gentianhitch.platform.interface import PlatformError
from gentianhitch.proxy.model import CallerLimits
from gentianhitch.proxy.model import Configuration
from gentianhitch.proxy.model import Route
from gentianhitch.proxy.model import Service
from gentianhitch.proxy.model import WeightedService
from gentianhitch.proxy.model import Workspace

DEFAULT_ATTEMPTS = 1
LOWEST_PRIORITY = 9
DEFAULT_OBJECTIVE_MS = 1_000.0


class MalformedConfigurationError(PlatformError):
    """The stored configuration is not valid JSON, or a field is missing or wrong."""


class _Match(msgspec.Struct):
    prefix: str


class _Split(msgspec.Struct):
    service: str
    weight: float


class _Action(msgspec.Struct, rename="camel"):
    service: str | None = None
    traffic_split: list[_Split] | None = None
    timeout_ms: float | None = None
    # Maximum number of backend servers tried for one request, the first included.
    attempts: int | None = None


class _Rule(msgspec.Struct, rename="camel"):
    name: str
    # "safe": the request is idempotent and may be retried; any other value: it is not.
    type: str
    match: _Match
    action: _Action
    objective_latency_ms: float | None = None
    priority: int | None = None
    public: bool = False


class _Listener(msgspec.Struct):
    hostname: str
    rules: list[_Rule]


class _Tenant(msgspec.Struct, rename="camel"):
    name: str
    api_keys: list[str] = []
    priority: int | None = None
    rate_per_s: float | None = msgspec.field(default=None, name="ratePerS")
    burst: float | None = None


class _Cluster(msgspec.Struct, rename="camel"):
    name: str
    health_check_path: str = "/health"
    max_connections: int = 0
    # How long a server is cold after a start, and the requests that it takes meanwhile.
    warmup_s: float | None = None
    warmup_per_s: float | None = None


class _Limits(msgspec.Struct, rename="camel"):
    max_header_bytes: int
    max_body_bytes: int
    header_timeout_ms: float
    idle_timeout_ms: float


class _Document(msgspec.Struct):
    version: int
    listeners: list[_Listener] = []
    clusters: list[_Cluster] = []
    # Absent: requests need no key. An empty list still asks for one.
    tenants: list[_Tenant] | None = None
    limits: _Limits | None = None


_decoder = msgspec.json.Decoder(_Document)


def decode_configuration(data: bytes) -> Configuration:
    """Decode a configuration; raise MalformedConfigurationError.

    Routes are sorted by falling length of their prefix, so the first match is the
    longest one. Host names are in lower case. Unknown fields are ignored.
    """
    try:
        document = _decoder.decode(data)
    except json_codec.DecodeError as error:
        raise MalformedConfigurationError(f"configuration: {error}") from error
    routes_by_host: dict[str, list[Route]] = {}
    for listener in document.listeners:
        routes = routes_by_host.setdefault(listener.hostname.lower(), [])
        routes += [_decode_rule(listener.hostname, rule) for rule in listener.rules]
    tenants = document.tenants or []
    workspaces_by_name = {tenant.name: _decode_tenant(tenant) for tenant in tenants}
    return Configuration(
        version=document.version,
        limits=_decode_limits(document.limits),
        routes_by_host={
            host: tuple(sorted(routes, key=lambda route: -len(route.prefix)))
            for host, routes in routes_by_host.items()
        },
        requires_key=document.tenants is not None,
        workspaces_by_key={
            key: workspaces_by_name[tenant.name]
            for tenant in tenants
            for key in tenant.api_keys
        },
        workspaces_by_name=workspaces_by_name,
        services_by_name={
            cluster.name: Service(
                cluster.name,
                cluster.health_check_path,
                cluster.max_connections,
                max(cluster.warmup_s or 0.0, 0.0),
                max(cluster.warmup_per_s or 0.0, 0.0),
            )
            for cluster in document.clusters
        },
    )


def _decode_rule(host: str, rule: _Rule) -> Route:
    action = rule.action
    if action.traffic_split:
        destinations = tuple(
            WeightedService(split.service, split.weight)
            for split in action.traffic_split
        )
    elif action.service is not None:
        destinations = (WeightedService(action.service, 1.0),)
    else:
        raise MalformedConfigurationError(
            f"route {rule.name} has neither a service nor a traffic split"
        )
    return Route(
        name=rule.name,
        host=host.lower(),
        prefix=rule.match.prefix,
        idempotent=rule.type == "safe",
        public=rule.public,
        priority=LOWEST_PRIORITY if rule.priority is None else rule.priority,
        objective_s=(rule.objective_latency_ms or DEFAULT_OBJECTIVE_MS) / 1000,
        timeout_s=None if not action.timeout_ms else action.timeout_ms / 1000,
        max_attempts=max(action.attempts or DEFAULT_ATTEMPTS, 1),
        destinations=destinations,
    )


def _decode_tenant(tenant: _Tenant) -> Workspace:
    return Workspace(
        tenant.name, tenant.priority, tenant.rate_per_s or 0.0, tenant.burst or 0.0
    )


def _decode_limits(limits: _Limits | None) -> CallerLimits:
    if limits is None:
        return CallerLimits()
    return CallerLimits(
        max_head_bytes=limits.max_header_bytes,
        max_body_bytes=limits.max_body_bytes,
        head_timeout_s=limits.header_timeout_ms / 1000,
        idle_timeout_s=limits.idle_timeout_ms / 1000,
    )
