"""Probe the health endpoints of backend servers; the results are only hints."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
from typing import Any
from typing import Literal

import attrs
import msgspec
from twisted.internet.defer import Deferred
from twisted.internet.task import LoopingCall
from twisted.python.failure import Failure

from gentianhitch import json_codec
from gentianhitch.addresses import Address
from gentianhitch.decisions.targets.availability import TargetAvailability
from gentianhitch.decisions.targets.slots import Clock
from gentianhitch.errors import GentianhitchError
from gentianhitch.operators.document import BackendServer

PROBE_INTERVAL_S = 1.0
PROBE_TIMEOUT_S = 1.0
MAX_PROBES_PER_ROUND = 64
MAX_HEALTH_BYTES = 4096


class ProbeError(GentianhitchError):
    """The health response of a backend server is malformed or too long."""


@attrs.frozen
class Health:
    """Health response of a backend server; ``cold`` is set while it warms up."""

    state: Literal["serving", "draining", "failing"]
    cold: bool = False


Fetch = Callable[[Address], Deferred[Health]]
"""Request the health of one server; fails with ProbeError or a connection error."""


def read_health(data: bytes) -> Health:
    """Decode the JSON body of a health response; raise ProbeError."""
    if len(data) > MAX_HEALTH_BYTES:
        raise ProbeError(
            f"health response has {len(data)} bytes, at most {MAX_HEALTH_BYTES} allowed"
        )
    try:
        return msgspec.json.decode(data, type=Health)
    except json_codec.DecodeError as error:
        raise ProbeError(f"malformed health response: {error}") from error


def fetch_with(client: Any) -> Fetch:
    """Return a Fetch that uses a treq client."""

    def fetch(address: Address) -> Deferred[Health]:
        request: Deferred[Any] = client.get(
            f"http://{address}/health", timeout=PROBE_TIMEOUT_S
        )
        request.addCallback(lambda response: response.content())
        return request.addCallback(read_health)

    return fetch


class Prober:
    """Probes the servers that ``targets`` returns, each at most once in a round.

    A server is not probed again before its last probe has ended.
    """

    def __init__(
        self,
        fetch: Fetch,
        targets: Callable[[], Iterable[BackendServer]],
        availability: TargetAvailability,
        clock: Clock,
    ) -> None:
        self._fetch = fetch
        self._targets = targets
        self._availability = availability
        self._clock = clock
        self._pending: set[str] = set()
        self._next_index = 0
        self._loop = LoopingCall(self.probe)
        runtime: Any = clock
        self._loop.clock = runtime

    def start(self) -> None:
        """Start the periodic rounds with one at once."""
        self._loop.start(PROBE_INTERVAL_S, now=True)

    def stop(self) -> None:
        """Start no further round; probes in flight continue."""
        if self._loop.running:
            self._loop.stop()

    def probe(self) -> None:
        """Start one round; above MAX_PROBES_PER_ROUND, rounds take servers in turn."""
        targets = sorted(self._targets(), key=lambda target: target.name)
        start = self._next_index if self._next_index < len(targets) else 0
        batch = (targets[start:] + targets[:start])[:MAX_PROBES_PER_ROUND]
        self._next_index = (start + len(batch)) % max(len(targets), 1)
        for target in batch:
            if target.name not in self._pending:
                self._pending.add(target.name)
                self._fetch(target.address).addCallbacks(
                    self._record_health,
                    self._probe_failed,
                    (target.name,),
                    {},
                    (target.name,),
                )

    def _record_health(self, health: Health, target: str) -> None:
        self._pending.discard(target)
        now = self._clock.seconds()
        if health.state == "draining":
            self._availability.mark_leaving(target, now)
        else:
            self._availability.mark_serving(target)
        if health.cold:
            self._availability.mark_cold(target, now)

    def _probe_failed(self, _: Failure, target: str) -> None:
        # Health endpoints lag or mislead, so a failed probe is no evidence.
        self._pending.discard(target)
