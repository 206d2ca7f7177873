"""Fetch newer configurations from other instances, one transfer at a time."""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPStatus
from random import Random
from typing import Any
from urllib.parse import urlencode

from twisted.internet.defer import Deferred
from twisted.web.client import ResponseFailed

from gentianhitch.http_client import NOT_SENT_ERRORS
from gentianhitch.http_client import Answer
from gentianhitch.http_client import Progress
from gentianhitch.http_client import StalledError
from gentianhitch.http_client import call
from gentianhitch.instances.codec import MalformedMessageError
from gentianhitch.instances.configuration_transfer import decode_busy
from gentianhitch.instances.configuration_transfer import decode_transfer
from gentianhitch.instances.configuration_transfer import decompress
from gentianhitch.platform.interface import PlatformError
from gentianhitch.platform.store_reader import decode_stored
from gentianhitch.proxy.configuration_server import ConfigurationServer
from gentianhitch.proxy.events import Events
from gentianhitch.proxy.internal_resources import CONFIGURATION_PATH
from gentianhitch.proxy.model import Peer
from gentianhitch.proxy.model import StoredConfiguration
from gentianhitch.proxy.origin import Origin
from gentianhitch.proxy.store_view import StoreView

STALL_TIMEOUT_S = 0.5
"""Many round trips; a connection without a byte for so long is broken."""

MIN_PAUSE_S = 0.05
MAX_PAUSE_S = 2.0
"""The pause doubles with each failure; jitter keeps instances from retrying at once."""


class ConfigurationFetcher:
    """Fetch a newer configuration from an instance, or from a holder that it names."""

    def __init__(
        self,
        clock: Any,
        agent: Any,
        store_view: StoreView,
        name: str,
        configuration_server: ConfigurationServer,
        events: Events,
        apply: Callable[[StoredConfiguration, float, Origin], None],
    ) -> None:
        self._clock = clock
        self._agent = agent
        self._store_view = store_view
        self._name = name
        self._configuration_server = configuration_server
        self._events = events
        self._apply = apply
        self._random = Random(name)
        self._failures = 0
        self._paused_until_s = 0.0
        self.is_fetching = False

    def start_fetch(self, peer: Peer) -> None:
        """Start a fetch from ``peer``, unless one is under way or paused."""
        if self.is_fetching or self._clock.seconds() < self._paused_until_s:
            return
        self.is_fetching = True
        fetching = Deferred.fromCoroutine(self._fetch(peer))
        fetching.addErrback(self._events.failure)

    async def _fetch(self, peer: Peer) -> None:
        started_s = self._clock.seconds()
        progress = Progress()
        try:
            holder = await self._fetch_from(peer, started_s, progress)
            if holder is not None:
                await self._fetch_from(holder, self._clock.seconds(), progress)
            self._failures = 0
        except (
            *NOT_SENT_ERRORS,
            MalformedMessageError,
            PlatformError,
            ResponseFailed,
            StalledError,
        ) as error:
            self._pause()
            self._events.state(
                "configuration_not_fetched",
                peer=peer.name,
                detail=repr(error),
                received_bytes=progress.received,
                elapsed_ms=int((self._clock.seconds() - started_s) * 1000),
                failures=self._failures,
            )
        finally:
            self.is_fetching = False

    async def _fetch_from(
        self, peer: Peer, started_s: float, progress: Progress
    ) -> Peer | None:
        """Fetch and apply; return the holder that a busy peer names instead."""
        base = self._store_view.configuration_revision.written
        query = {"base": base.number, "era": base.era, "for": self._name}
        url = f"http://{peer.transfer_address}{CONFIGURATION_PATH}?{urlencode(query)}"
        response = await call(
            self._clock, STALL_TIMEOUT_S, self._agent, "GET", url, progress=progress
        )
        if response.status == HTTPStatus.SERVICE_UNAVAILABLE:
            return self._store_view.peers_by_name.get(decode_busy(response.body).holder)
        self._apply_response(response, peer, started_s, progress)
        return None

    def _apply_response(
        self, response: Answer, peer: Peer, started_s: float, progress: Progress
    ) -> None:
        if response.status != HTTPStatus.OK:
            raise MalformedMessageError(
                f"configuration request got status {response.status}, not 200"
            )
        transfer = decode_transfer(response.body)
        base = self._configuration_server.encoded_at(transfer.base)
        stored = decode_stored(transfer.written, decompress(transfer.compressed, base))
        verified_s = started_s - transfer.age_s
        now = self._clock.seconds()
        origin = Origin(peer.name, progress.received, now - started_s, now - verified_s)
        self._apply(stored, verified_s, origin)

    def _pause(self) -> None:
        pause_s = min(MIN_PAUSE_S * 2**self._failures, MAX_PAUSE_S)
        self._failures += 1
        pause_s *= self._random.uniform(0.5, 1.5)
        self._paused_until_s = self._clock.seconds() + pause_s
