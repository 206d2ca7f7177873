"""Keep the knowledge of the store fresh, from the store or from other instances."""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPStatus
from typing import Any

import attrs
from twisted.internet.defer import Deferred
from twisted.internet.defer import TimeoutError as DeferredTimeoutError
from twisted.web.client import ResponseFailed

from gentianhitch.http_client import NOT_SENT_ERRORS
from gentianhitch.http_client import Progress
from gentianhitch.http_client import call
from gentianhitch.instances.codec import MalformedMessageError
from gentianhitch.instances.datagrams import Ask
from gentianhitch.instances.datagrams import Datagrams
from gentianhitch.instances.datagrams import Told
from gentianhitch.instances.view_transfer import decode_view
from gentianhitch.platform.interface import PlatformError
from gentianhitch.platform.store import KeyValueStore
from gentianhitch.platform.store_view import ViewDecoder
from gentianhitch.proxy.events import Events
from gentianhitch.proxy.inner_resources import VIEW_PATH
from gentianhitch.proxy.knowledge import Change
from gentianhitch.proxy.knowledge import Knowledge
from gentianhitch.proxy.model import Peer
from gentianhitch.proxy.model import StoreView
from gentianhitch.proxy.sources import SourcePlan
from gentianhitch.repeating import Repeating

TICK_S = 0.1
TRANSFER_TIMEOUT_S = 1.0
EVERYTHING = ""
"""The prefix of all keys: one call reads all that an instance must know."""

STORE = "store"
LAPSE = "lapse"
"""Sources of changes that come from no other instance."""


@attrs.frozen
class Origin:
    """Where a view came from, and how long and how large its transfer was.

    ``source`` is the name of an instance, ``STORE`` or ``LAPSE``; ``age_s`` counts from
    the start
    of the read of the store that showed the view.
    """

    source: str
    size_bytes: int
    elapsed_s: float
    age_s: float


class Refresher:
    """Read the store, ask peers, and take what is newer."""

    def __init__(
        self,
        clock: Any,
        store: KeyValueStore,
        agent: Any,
        datagrams: Datagrams,
        knowledge: Knowledge,
        name: str,
        failure_domain: str,
        events: Events,
        on_change: Callable[[Change, Origin], None],
    ) -> None:
        self._clock = clock
        self._store = store
        self._agent = agent
        self._datagrams = datagrams
        self._knowledge = knowledge
        self._plan = SourcePlan(name, failure_domain)
        self._events = events
        self._on_change = on_change
        self._decoder = ViewDecoder()
        self._reading = False
        self._fetching: set[str] = set()
        self._store_reachable = True
        self._rejected: dict[str, str] = {}
        self._loop = Repeating(clock, TICK_S, self._tick, events.failure)

    def start(self) -> None:
        """Begin to refresh."""
        self._loop.start()

    def stop(self) -> None:
        """Stop refreshing."""
        self._loop.stop()

    def _tick(self) -> None:
        now = self._clock.seconds()
        self._note_change(self._knowledge.expire(now), Origin(LAPSE, 0, 0.0, 0.0))
        peers = self._knowledge.peers_by_name.values()
        step = self._plan.next_step(peers, self._knowledge.age_s(now), now)
        for peer in step.peers:
            self._datagrams.send(Ask(self._plan.name, now), peer.datagrams)
        if step.read_store and not self._reading:
            self._reading = True
            Deferred.fromCoroutine(self._read_store()).addErrback(self._events.failure)

    async def _read_store(self) -> None:
        began_s = self._clock.seconds()
        progress = Progress()
        try:
            page = await self._store.read_range(EVERYTHING, progress)
            view = self._decoder.decode(page.items, page.revision)
        except PlatformError as error:
            self._plan.read_ended(succeeded=False)
            self._note_store(
                reachable=False,
                detail=str(error),
                received_bytes=progress.received,
                elapsed_ms=self._elapsed_ms(began_s),
            )
            return
        finally:
            self._reading = False
        self._plan.read_ended(succeeded=True)
        self._note_store(reachable=True)
        self._note_rejected()
        self._take(view, began_s, STORE, began_s, progress.received)

    def told(self, message: Told) -> None:
        """Take a peer's answer: a proof, or a reason to fetch its view."""
        now = self._clock.seconds()
        self._plan.answered(message.sender, message.age_s, now)
        began_s = message.asked_s - message.age_s
        if self._knowledge.confirm(message.digest, began_s):
            return
        view = self._knowledge.view
        newer = view is None or message.revision > view.revision
        peer = self._knowledge.peers_by_name.get(message.sender)
        if newer and peer is not None and message.sender not in self._fetching:
            self._fetching.add(message.sender)
            fetching = Deferred.fromCoroutine(self._fetch(peer))
            fetching.addErrback(self._events.failure)

    async def _fetch(self, peer: Peer) -> None:
        began_s = self._clock.seconds()
        url = f"http://{peer.views}{VIEW_PATH}"
        progress = Progress()
        try:
            calling = Deferred.fromCoroutine(self._get(url, progress))
            body = await calling.addTimeout(TRANSFER_TIMEOUT_S, self._clock)
            received = decode_view(body)
            configuration = self._decoder.configuration(
                received.configuration_source, received.configuration_revision
            )
        except (
            *NOT_SENT_ERRORS,
            DeferredTimeoutError,
            MalformedMessageError,
            PlatformError,
            ResponseFailed,
        ) as error:
            self._events.state(
                "view_not_fetched",
                peer=peer.name,
                detail=repr(error),
                received_bytes=progress.received,
                elapsed_ms=self._elapsed_ms(began_s),
                transfers=len(self._fetching),
            )
            return
        finally:
            self._fetching.discard(peer.name)
        view = StoreView(
            received.revision,
            received.configuration_revision,
            received.configuration_source,
            configuration,
            {server.id: server for server in received.backend_servers},
            {each.name: each for each in received.peers},
            received.digest,
        )
        self._take(
            view, began_s - received.age_s, peer.name, began_s, progress.received
        )

    async def _get(self, url: str, progress: Progress) -> bytes:
        answer = await call(self._agent, "GET", url, progress=progress)
        if answer.status != HTTPStatus.OK:
            raise MalformedMessageError(f"status {answer.status} from {url}")
        return answer.body

    def _take(
        self,
        view: StoreView,
        proved_s: float,
        source: str,
        began_s: float,
        size_bytes: int,
    ) -> None:
        now = self._clock.seconds()
        if source == STORE:
            change = self._knowledge.learn_read(view, proved_s, now)
        else:
            change = self._knowledge.learn(view, proved_s)
        origin = Origin(source, size_bytes, now - began_s, now - proved_s)
        self._note_change(change, origin)

    def _note_change(self, change: Change | None, origin: Origin) -> None:
        if change is not None:
            self._on_change(change, origin)

    def _elapsed_ms(self, began_s: float) -> int:
        return int((self._clock.seconds() - began_s) * 1000)

    def _note_store(self, *, reachable: bool, **inputs: object) -> None:
        if reachable != self._store_reachable:
            self._store_reachable = reachable
            event = "store_regained" if reachable else "store_lost"
            self._events.state(event, **inputs)

    def _note_rejected(self) -> None:
        rejected = self._decoder.rejected_by_key
        for key, reason in rejected.items():
            if key not in self._rejected:
                self._events.state("entry_rejected", key=key, detail=reason)
        self._rejected = dict(rejected)
