"""Serve the configuration to other instances, limited by the bandwidth of the link."""

from __future__ import annotations

from collections import OrderedDict
from collections import deque
from collections.abc import Callable
from http import HTTPStatus
from typing import Any

import attrs

from gentianhitch.instances.configuration_transfer import ConfigurationTransfer
from gentianhitch.instances.configuration_transfer import TransferBusy
from gentianhitch.instances.configuration_transfer import compress
from gentianhitch.instances.configuration_transfer import encode
from gentianhitch.proxy.model import StoredConfiguration
from gentianhitch.proxy.store_revision import NO_REVISION
from gentianhitch.proxy.store_revision import StoreRevision

KEPT_REVISIONS = 4
"""A receiver that is further behind gets the complete configuration."""

MAX_LINK_S = 0.25
"""Maximum total time for which the transfers under way may occupy the link."""

BYTES_PER_MEGABIT = 125_000
MAX_HOLDERS = 32


@attrs.frozen
class _Holder:
    """An instance that has received the configuration by ``since_s``."""

    name: str
    since_s: float


class ConfigurationServer:
    """Serve deltas between configurations; if the link is busy, name another holder."""

    def __init__(
        self,
        clock: Any,
        link_mbps: float,
        age_s: Callable[[], float],
        count: Callable[..., None],
    ) -> None:
        self._clock = clock
        self._bytes_per_s = link_mbps * BYTES_PER_MEGABIT
        self._age_s = age_s
        self._count = count
        self._encoded_by_revision: OrderedDict[StoreRevision, bytes] = OrderedDict()
        self._compressed_by_base: dict[StoreRevision, bytes] = {}
        self._sending_until_s = float("-inf")
        self._holders: deque[_Holder] = deque(maxlen=MAX_HOLDERS)

    def publish(self, stored: StoredConfiguration) -> None:
        """Serve a newer configuration from now on, or the same at a later era."""
        if stored.written in self._encoded_by_revision:
            return
        self._encoded_by_revision[stored.written] = stored.encoded
        while len(self._encoded_by_revision) > KEPT_REVISIONS:
            self._encoded_by_revision.popitem(last=False)
        self._compressed_by_base.clear()
        self._holders.clear()

    def encoded_at(self, revision: StoreRevision) -> bytes:
        """Return the encoded configuration of ``revision``; empty if it was dropped."""
        return self._encoded_by_revision.get(revision, b"")

    def respond(self, request: Any) -> bytes:
        """Return the response body for a request of another instance."""
        if not self._encoded_by_revision:
            request.setResponseCode(HTTPStatus.NOT_FOUND)
            return b""
        base = StoreRevision(
            int(request.args.get(b"era", [b"0"])[0]),
            int(request.args.get(b"base", [b"0"])[0]),
        )
        receiver = request.args.get(b"for", [b""])[0].decode()
        revision = next(reversed(self._encoded_by_revision))
        base = base if base in self._encoded_by_revision else NO_REVISION
        compressed = self._compress(base, revision)
        if not self._reserve_link(receiver, len(compressed)):
            request.setResponseCode(HTTPStatus.SERVICE_UNAVAILABLE)
            self._count("configurations_refused")
            return encode(TransferBusy(self._next_holder()))
        self._count("configurations_sent")
        self._count("configuration_bytes_sent", len(compressed))
        return encode(
            ConfigurationTransfer(
                self._age_s(),
                revision.number,
                base.number,
                compressed,
                revision.era,
                base.era,
            )
        )

    def _reserve_link(self, receiver: str, size: int) -> bool:
        """Reserve the link for a transfer; return whether there is capacity left."""
        now = self._clock.seconds()
        start_s = max(self._sending_until_s, now)
        end_s = start_s + size / self._bytes_per_s
        if start_s > now and end_s - now > MAX_LINK_S:
            return False
        self._sending_until_s = end_s
        self._holders.append(_Holder(receiver, end_s))
        return True

    def _next_holder(self) -> str:
        """Return an instance that has the configuration, in turn; "" if none has."""
        now = self._clock.seconds()
        for _ in range(len(self._holders)):
            self._holders.rotate(1)
            if self._holders[0].since_s <= now:
                return self._holders[0].name
        return ""

    def _compress(self, base: StoreRevision, revision: StoreRevision) -> bytes:
        compressed = self._compressed_by_base.get(base)
        if compressed is None:
            compressed = compress(
                self._encoded_by_revision[revision], self.encoded_at(base)
            )
            self._compressed_by_base[base] = compressed
        return compressed
