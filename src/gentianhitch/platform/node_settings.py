"""Decode the settings file of an instance on the users' platform."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import attrs
import msgspec

from gentianhitch.addresses import Address
from gentianhitch.errors import UsageError
from gentianhitch.proxy.model import DEFAULT_LINK_MBPS


class NodeSettingsError(UsageError):
    """The settings file can't be read; the message names the field."""


@attrs.frozen
class Bounds:
    """Promises of the deployment that decisions depend on; times in seconds."""

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


@attrs.frozen
class NodeSettings:
    """Everything that an instance is told at its start."""

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
    bounds: Bounds


class _Fields:
    """Read nested fields of one table and name the missing one."""

    def __init__(self, raw: Any, place: str) -> None:
        if not isinstance(raw, dict):
            raise NodeSettingsError(f"{place} is not a table")
        self._raw = raw
        self._place = place

    def get(self, name: str, kind: Any) -> Any:
        try:
            return msgspec.convert(self._raw[name], kind)
        except KeyError as error:
            raise NodeSettingsError(f"{self._place}.{name} is missing") from error
        except msgspec.ValidationError as error:
            raise NodeSettingsError(f"{self._place}.{name}: {error}") from error

    def address(self, name: str) -> Address:
        try:
            return Address.parse(self.get(name, str))
        except ValueError as error:
            raise NodeSettingsError(f"{self._place}.{name}: {error}") from error

    def has(self, name: str) -> bool:
        return name in self._raw

    def table(self, name: str) -> _Fields:
        return _Fields(self._raw.get(name), f"{self._place}.{name}")


def load_node_settings(path: Path) -> NodeSettings:
    """Read and check the settings file at ``path``; raise NodeSettingsError."""
    try:
        raw = msgspec.json.decode(path.read_bytes())
    except (OSError, msgspec.DecodeError) as error:
        raise NodeSettingsError(f"cannot read settings {path}: {error}") from error
    return decode_node_settings(raw)


def decode_node_settings(raw: Any) -> NodeSettings:
    """Decode the settings; raise NodeSettingsError."""
    fields = _Fields(raw, "settings")
    # "self" describes the instance, "provider" the store and its own peer.
    own = fields.table("self")
    network = fields.table("network")
    listen = network.table("listenAddresses")
    provider = fields.table("provider")
    host = own.get("ipAddress", str)
    internal_port, last_port = network.get("internalPortRange", tuple[int, int])
    metrics_port = internal_port + 1 if internal_port else 0
    if last_port < metrics_port:
        raise NodeSettingsError("settings.network.internalPortRange needs two ports")
    return NodeSettings(
        name=own.get("nodeName", str),
        failure_domain=own.get("zone", str),
        region=own.get("region", str),
        callers=listen.address("frontend"),
        readiness=listen.address("ready"),
        directory=listen.address("directory"),
        internal=Address(host, internal_port),
        metrics=Address(host, metrics_port),
        store=provider.table("provider").address("address"),
        capacity=_decode_capacity(own),
        link_mbps=_decode_link(own),
        heartbeat_s=provider.get("heartbeatIntervalMs", float) / 1000,
        bounds=_decode_bounds(fields.table("terms").table("bounds")),
    )


def _decode_capacity(own: _Fields) -> float:
    """Return the cores of the machine; 1 where the settings do not tell."""
    if not own.has("limits"):
        return 1.0
    limits = own.table("limits")
    return float(limits.get("cpuShare", float) * limits.get("cpuCores", int))


def _decode_link(own: _Fields) -> float:
    """Return the bandwidth of the link; fast where the settings do not tell."""
    if not own.has("limits") or not own.table("limits").has("linkMbps"):
        return DEFAULT_LINK_MBPS
    return float(own.table("limits").get("linkMbps", float))


def _decode_bounds(bounds: _Fields) -> Bounds:
    return Bounds(
        revocation_s=bounds.get("revocationMs", float) / 1000,
        drain_s=bounds.get("drainMs", float) / 1000,
        # graceS: from the request to stop until the process is killed.
        shutdown_grace_s=bounds.get("graceS", float),
        retry_ratio=bounds.get("retryBudgetRatio", float),
        retry_slack=bounds.get("retryBudgetSlack", float),
        retry_window_s=bounds.get("budgetWindowS", float),
        # ttl_max_s caps how long callers keep a directory answer.
        directory_ttl_s=bounds.get("ttl_max_s", float),
        quota_window_s=bounds.get("quotaWindowS", float),
        quota_overshoot=bounds.get("quotaOvershoot", float),
        quota_slack=bounds.get("quotaSlack", float),
    )
