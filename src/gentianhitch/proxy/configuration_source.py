"""Hand the configuration to other instances, to as many at a time as the link bears."""

from __future__ import annotations

from collections import OrderedDict
from collections import deque
from collections.abc import Callable
from http import HTTPStatus
from typing import Any

from gentianhitch.instances.configuration_transfer import Busy
from gentianhitch.instances.configuration_transfer import ConfigurationTransfer
from gentianhitch.instances.configuration_transfer import compress
from gentianhitch.instances.configuration_transfer import encode
from gentianhitch.proxy.model import StoredConfiguration

KEPT_VERSIONS = 4
"""A receiver that is further behind gets the whole configuration."""

LINK_S = 0.25
"""Transfers in progress may take the link for so long, the sum of all of them."""

BYTES_PER_MEGABIT = 125_000
MAX_HOLDERS = 32


class ConfigurationSource:
    """Serve differences between configurations, and send on those that must wait."""

    def __init__(
        self, link_mbps: float, age_s: Callable[[], float], count: Callable[..., None]
    ) -> None:
        self._room_bytes = link_mbps * BYTES_PER_MEGABIT * LINK_S
        self._age_s = age_s
        self._count = count
        self._sources_by_revision: OrderedDict[int, bytes] = OrderedDict()
        self._compressed_by_base: dict[int, bytes] = {}
        self._sending_bytes = 0
        self._holders: deque[str] = deque(maxlen=MAX_HOLDERS)

    def take(self, stored: StoredConfiguration) -> None:
        """Offer a newer configuration from now on."""
        self._sources_by_revision[stored.revision] = stored.source
        while len(self._sources_by_revision) > KEPT_VERSIONS:
            self._sources_by_revision.popitem(last=False)
        self._compressed_by_base.clear()
        self._holders.clear()

    def source_of(self, revision: int) -> bytes:
        """Return a kept configuration as bytes; none if it is not kept."""
        return self._sources_by_revision.get(revision, b"")

    def answer(self, request: Any) -> bytes:
        """Answer one request of another instance."""
        if not self._sources_by_revision:
            request.setResponseCode(HTTPStatus.NOT_FOUND)
            return b""
        base = int(request.args.get(b"base", [b"0"])[0])
        receiver = request.args.get(b"for", [b""])[0].decode()
        revision = next(reversed(self._sources_by_revision))
        base = base if base in self._sources_by_revision else 0
        compressed = self._compress(base, revision)
        if not self._has_room(len(compressed)):
            request.setResponseCode(HTTPStatus.SERVICE_UNAVAILABLE)
            self._count("configurations_refused")
            return encode(Busy(self._next_holder()))
        self._begin(request, receiver, revision, len(compressed))
        return encode(ConfigurationTransfer(self._age_s(), revision, base, compressed))

    def _has_room(self, size: int) -> bool:
        return not self._sending_bytes or self._sending_bytes + size <= self._room_bytes

    def _next_holder(self) -> str:
        if not self._holders:
            return ""
        self._holders.rotate(1)
        return self._holders[0]

    def _begin(self, request: Any, receiver: str, revision: int, size: int) -> None:
        self._sending_bytes += size
        self._count("configurations_sent")
        self._count("configuration_bytes_sent", size)

        def end(failure: Any) -> None:
            self._sending_bytes -= size
            newest = next(reversed(self._sources_by_revision))
            if failure is None and revision == newest:
                self._holders.append(receiver)

        request.notifyFinish().addBoth(end)

    def _compress(self, base: int, revision: int) -> bytes:
        compressed = self._compressed_by_base.get(base)
        if compressed is None:
            compressed = compress(
                self._sources_by_revision[revision], self.source_of(base)
            )
            self._compressed_by_base[base] = compressed
        return compressed
