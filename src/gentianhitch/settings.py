"""Settings of one entry instance, read from JSON with comments."""

from __future__ import annotations

from pathlib import Path
from typing import Literal

import attrs

from gentianhitch import checked
from gentianhitch.addresses import Address

DEFAULT_MAX_HEAD_BYTES = 16 * 1024
DEFAULT_MAX_BODY_BYTES = 8 * 1024 * 1024


@attrs.frozen
class LogSettings:
    """Minimum level and output format of log lines."""

    level: Literal["DEBUG", "INFO", "WARNING", "ERROR"] = "INFO"
    format: Literal["text", "json"] = "text"


@attrs.frozen
class LimitSettings:
    """Maximum sizes of the head and the body of a request, in bytes."""

    max_head_bytes: int = DEFAULT_MAX_HEAD_BYTES
    max_body_bytes: int = DEFAULT_MAX_BODY_BYTES


@attrs.frozen
class Settings:
    """Startup settings of one entry instance.

    ``instance`` is the unique name of this instance. ``callers`` and ``peers``
    are the addresses on which it listens for HTTP requests and for other
    instances. ``seeds`` are peer addresses that are queried for the configuration
    when the platform does not respond. ``operator_key_hashes`` are lowercase
    hexadecimal SHA-256 digests of the keys that operators send. Port 0 selects a
    free port.
    """

    instance: str
    failure_domain: str
    environment: str
    callers: Address
    peers: Address
    platform: tuple[Address, ...]
    seeds: tuple[Address, ...] = ()
    operator_key_hashes: tuple[str, ...] = ()
    statsd: Address | None = None
    logs: LogSettings = LogSettings()
    limits: LimitSettings = LimitSettings()


def load_settings(path: Path) -> Settings:
    """Load and validate the settings file at ``path``; raise CheckError."""
    settings = checked.load(path, Settings)
    if not settings.platform:
        raise checked.CheckError(f"{path}: $.platform needs at least one address")
    return settings
