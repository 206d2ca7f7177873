"""Ask targets for their health and keep the answers as hints only."""

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

from gentianhitch.addresses import Address
from gentianhitch.decisions.targets.availability import TargetAvailability
from gentianhitch.decisions.targets.slots import Clock
from gentianhitch.errors import GentianhitchError
from gentianhitch.operators.document import BackendServer

PROBE_S = 1.0
TIMEOUT_S = 1.0
MAX_PROBES_PER_ROUND = 64
MAX_HEALTH_BYTES = 4096


class ProbeError(GentianhitchError):
    """A target gave no health answer that can be read."""


@attrs.frozen
class Health:
    """What a target says of itself."""

    state: Literal["serving", "draining", "failing"]
    cold: bool = False


Fetch = Callable[[Address], Deferred[Health]]
"""Ask one target; fails with ProbeError or a connection's error."""


def read_health(data: bytes) -> Health:
    """Read a health answer; raise ProbeError."""
    if len(data) > MAX_HEALTH_BYTES:
        raise ProbeError("health answer is too long")
    try:
        return msgspec.json.decode(data, type=Health)
    except msgspec.MsgspecError as error:
        raise ProbeError(f"malformed health answer: {error}") from error


def fetch_with(client: Any) -> Fetch:
    """Make a Fetch from a treq client."""

    def fetch(address: Address) -> Deferred[Health]:
        asked: Deferred[Any] = client.get(f"http://{address}/health", timeout=TIMEOUT_S)
        asked.addCallback(lambda response: response.content())
        return asked.addCallback(read_health)

    return fetch


class Prober:
    """Probe the targets that ``targets`` names, each once in a round."""

    def __init__(
        self,
        fetch: Fetch,
        targets: Callable[[], Iterable[BackendServer]],
        hints: TargetAvailability,
        clock: Clock,
    ) -> None:
        self._fetch = fetch
        self._targets = targets
        self._hints = hints
        self._clock = clock
        self._asked: set[str] = set()
        self._place = 0
        self._round = LoopingCall(self.probe)
        runtime: Any = clock
        self._round.clock = runtime

    def start(self) -> None:
        """Begin to probe."""
        self._round.start(PROBE_S, now=True)

    def stop(self) -> None:
        """Begin no further round."""
        if self._round.running:
            self._round.stop()

    def probe(self) -> None:
        """Probe one round, in turn when there are many targets."""
        targets = sorted(self._targets(), key=lambda target: target.name)
        start = self._place if self._place < len(targets) else 0
        turn = (targets[start:] + targets[:start])[:MAX_PROBES_PER_ROUND]
        self._place = (start + len(turn)) % max(len(targets), 1)
        for target in turn:
            if target.name not in self._asked:
                self._asked.add(target.name)
                self._fetch(target.address).addCallbacks(
                    self._heard, self._failed, (target.name,), {}, (target.name,)
                )

    def _heard(self, health: Health, target: str) -> None:
        self._asked.discard(target)
        now = self._clock.seconds()
        if health.state == "draining":
            self._hints.mark_leaving(target, now)
        else:
            self._hints.mark_serving(target)
        if health.cold:
            self._hints.mark_cold(target, now)

    def _failed(self, _: Failure, target: str) -> None:
        # Health endpoints lag or mislead: silence here is no evidence.
        self._asked.discard(target)
