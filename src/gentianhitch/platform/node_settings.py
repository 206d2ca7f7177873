"""Decode the JSON settings file of an instance that runs on the platform."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import attrs
import msgspec

from gentianhitch.addresses import Address
from gentianhitch.buffers import DEFAULT_MEMORY_MB
from gentianhitch.errors import UsageError
from gentianhitch.proxy.balancing import DEFAULT_FLOOR_SHARE
from gentianhitch.proxy.model import DEFAULT_LINK_MBPS
from gentianhitch.proxy.warmup import WarmupBounds

DEFAULT_CONFIGURATION_APPLY_S = 2.0
"""Assumed for deployments that agree on no bound."""

DEFAULT_EVACUATION_S = 5.0
"""As the platform's deployments agree on; longer than any other bound of a change."""

PRESSURE_CONTRACT = "pressure"


class NodeSettingsError(UsageError):
    """The settings file is unreadable or invalid; the message names the field."""


@attrs.frozen
class Bounds:
    """Limits agreed for the deployment; decisions depend on them."""

    revocation_s: float
    drain_s: float
    shutdown_grace_s: float
    retry_ratio: float
    retry_slack: float
    retry_window_s: float
    directory_ttl_s: float
    quota_window_s: float
    quota_overshoot: float
    quota_slack: float
    floor_share: float
    configuration_apply_s: float
    evacuation_s: float
    warmup: WarmupBounds | None


@attrs.frozen
class NodeSettings:
    """Settings of an entry instance, read once at its start.

    ``expects_pressure`` is set if the deployment agreed on service under overload.
    """

    name: str
    failure_domain: str
    region: str
    callers: Address
    readiness: Address
    directory: Address
    internal: Address
    metrics: Address
    store: Address
    heartbeat_s: float
    capacity: float
    link_mbps: float
    memory_mb: float
    bounds: Bounds
    expects_pressure: bool


class _Fields:
    """Reads the fields of one JSON object; errors name the field by its full path."""

    def __init__(self, raw: Any, place: str) -> None:
        if not isinstance(raw, dict):
            raise NodeSettingsError(f"{place} is not a JSON object")
        self._raw = raw
        self._place = place

    def get(self, name: str, type_: Any) -> Any:
        try:
            return msgspec.convert(self._raw[name], type_)
        except KeyError as error:
            raise NodeSettingsError(f"{self._place}.{name} is missing") from error
        except msgspec.ValidationError as error:
            raise NodeSettingsError(f"{self._place}.{name}: {error}") from error

    def get_or(self, name: str, type_: Any, default: Any) -> Any:
        return self.get(name, type_) if self.has(name) else default

    def get_address(self, name: str) -> Address:
        try:
            return Address.parse(self.get(name, str))
        except ValueError as error:
            raise NodeSettingsError(f"{self._place}.{name}: {error}") from error

    def has(self, name: str) -> bool:
        return name in self._raw

    def get_object(self, name: str) -> _Fields:
        return _Fields(self._raw.get(name), f"{self._place}.{name}")


def load_node_settings(path: Path) -> NodeSettings:
    """Read and check the settings file at ``path``; raise NodeSettingsError."""
    try:
        raw = msgspec.json.decode(path.read_bytes())
    except (OSError, msgspec.DecodeError) as error:
        raise NodeSettingsError(f"cannot read settings {path}: {error}") from error
    return decode_node_settings(raw)


def decode_node_settings(raw: Any) -> NodeSettings:
    """Decode the parsed JSON of a settings file; raise NodeSettingsError.

    Unknown fields are ignored.
    """
    fields = _Fields(raw, "settings")
    # "self" describes this instance, "provider" the store and its peer.
    own = fields.get_object("self")
    network = fields.get_object("network")
    listen = network.get_object("listenAddresses")
    provider = fields.get_object("provider")
    terms = fields.get_object("terms")
    host = own.get("ipAddress", str)
    internal_port, last_port = network.get("internalPortRange", tuple[int, int])
    metrics_port = internal_port + 1 if internal_port else 0
    if last_port < metrics_port:
        raise NodeSettingsError(
            "settings.network.internalPortRange must span at least two ports, "
            f"got {internal_port} to {last_port}"
        )
    return NodeSettings(
        name=own.get("nodeName", str),
        failure_domain=own.get("zone", str),
        region=own.get("region", str),
        callers=listen.get_address("frontend"),
        readiness=listen.get_address("ready"),
        directory=listen.get_address("directory"),
        internal=Address(host, internal_port),
        metrics=Address(host, metrics_port),
        store=provider.get_object("provider").get_address("address"),
        capacity=_decode_capacity(own),
        link_mbps=_decode_link(own),
        memory_mb=_decode_memory(own),
        heartbeat_s=provider.get("heartbeatIntervalMs", float) / 1000,
        bounds=_decode_bounds(terms.get_object("bounds")),
        expects_pressure=PRESSURE_CONTRACT in _decode_contracts(terms),
    )


def _decode_capacity(own: _Fields) -> float:
    """Return the usable CPU cores; 1 if the settings contain no limits."""
    if not own.has("limits"):
        return 1.0
    limits = own.get_object("limits")
    return float(limits.get("cpuShare", float) * limits.get("cpuCores", int))


def _decode_link(own: _Fields) -> float:
    """Return the link's bandwidth in Mbit/s; the default if it is not set."""
    if not own.has("limits") or not own.get_object("limits").has("linkMbps"):
        return DEFAULT_LINK_MBPS
    return float(own.get_object("limits").get("linkMbps", float))


def _decode_memory(own: _Fields) -> float:
    """Return at how many megabytes the process is killed; the default if not set."""
    if not own.has("limits") or not own.get_object("limits").has("memoryMb"):
        return DEFAULT_MEMORY_MB
    return float(own.get_object("limits").get("memoryMb", float))


def _decode_contracts(terms: _Fields) -> frozenset[str]:
    """Return the names of the contracts: a list, or an object keyed by name."""
    names = terms.get_or("contracts", list[Any] | dict[str, Any] | None, None)
    return frozenset(name for name in names or () if isinstance(name, str))


def _decode_warmup(bounds: _Fields) -> WarmupBounds | None:
    """Return the bounds for cold servers; None unless both are set."""
    if not (bounds.has("warmupOvershoot") and bounds.has("warmupSlack")):
        return None
    return WarmupBounds(
        bounds.get("warmupOvershoot", float), bounds.get("warmupSlack", float)
    )


def _decode_bounds(bounds: _Fields) -> Bounds:
    return Bounds(
        revocation_s=bounds.get("revocationMs", float) / 1000,
        drain_s=bounds.get("drainMs", float) / 1000,
        # The time from the request to stop until the process is killed.
        shutdown_grace_s=bounds.get("graceS", float),
        retry_ratio=bounds.get("retryBudgetRatio", float),
        retry_slack=bounds.get("retryBudgetSlack", float),
        retry_window_s=bounds.get("budgetWindowS", float),
        # The longest time for which callers cache a directory response.
        directory_ttl_s=bounds.get("ttl_max_s", float),
        quota_window_s=bounds.get("quotaWindowS", float),
        quota_overshoot=bounds.get("quotaOvershoot", float),
        quota_slack=bounds.get("quotaSlack", float),
        # The share of a service's sound servers that must stay in use.
        floor_share=bounds.get_or("floorShare", float, DEFAULT_FLOOR_SHARE),
        configuration_apply_s=bounds.get_or(
            "configurationApplyMs", float, DEFAULT_CONFIGURATION_APPLY_S * 1000
        )
        / 1000,
        evacuation_s=bounds.get_or("evacuationMs", float, DEFAULT_EVACUATION_S * 1000)
        / 1000,
        warmup=_decode_warmup(bounds),
    )
