"""Run the freshness protocol with the peers, the platform and the clock."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from collections.abc import Iterable
from random import Random

from loguru import logger
from twisted.internet.interfaces import IReactorTime
from twisted.internet.task import LoopingCall

from gentianhitch.addresses import Address
from gentianhitch.decisions.exchange import EvidenceExchange
from gentianhitch.decisions.freshness import Freshness
from gentianhitch.decisions.interfaces import AgreedState
from gentianhitch.decisions.membership import ListProposer
from gentianhitch.decisions.platform_reads import ReadSchedule
from gentianhitch.instances.identity import InstanceId
from gentianhitch.instances.identity import Member
from gentianhitch.instances.messages import Announcement
from gentianhitch.instances.messages import ExchangeReply
from gentianhitch.instances.messages import ExchangeRequest
from gentianhitch.instances.messages import Standing
from gentianhitch.instances.messages import StandingChanged
from gentianhitch.instances.partners import Partners
from gentianhitch.instances.platform_reader import PlatformReader
from gentianhitch.instances.state_keeper import StateKeeper
from gentianhitch.instances.states import DecodeDocument
from gentianhitch.instances.transport import Transport
from gentianhitch.platform.interface import Platform

ROUND_S = 0.4
PLATFORM_TICK_S = 0.1
CLEANUP_INTERVAL_S = 10.0
MAX_STANDING_RECIPIENTS = 64
MAX_LIVE_SILENCE_S = 3.0


class Fleet:
    """Runs the agreement protocol of one instance and provides the agreed states.

    Implements ``AgreedStates``. The callbacks of ``on_change`` run after a state was
    loaded or came into force, and after a change of freshness or of a standing.
    """

    def __init__(
        self,
        own: Member,
        environment: str,
        transport: Transport,
        platform: Platform,
        clock: IReactorTime,
        decode_document: DecodeDocument,
        random: Random,
        seeds: Iterable[Address] = (),
        freshness: Freshness | None = None,
        exchange: Callable[[Freshness], EvidenceExchange] = EvidenceExchange,
    ) -> None:
        self.own = own
        self.counts_by_name: Counter[str] = Counter()
        self.freshness = freshness or Freshness(own)
        self.freshness.counts_by_name = self.counts_by_name
        self._exchange = exchange(self.freshness)
        self._environment = environment
        self._transport = transport
        self._platform = platform
        self._clock = clock
        self._random = random
        self._seeds = frozenset(seeds)
        self._partners = Partners(self.freshness, random, self._seeds)
        self._states = StateKeeper(
            own=own,
            environment=environment,
            transport=transport,
            platform=platform,
            clock=clock,
            freshness=self.freshness,
            partners=self._partners,
            decode_document=decode_document,
            on_newest=self._announce_newest,
            counts_by_name=self.counts_by_name,
        )
        self._callbacks: list[Callable[[], None]] = []
        self._last_snapshot: tuple[object, ...] = ()
        self._was_fresh = False
        self._stopped = False
        self._cleaned_up_at = clock.seconds()
        self._reader = PlatformReader(
            environment=environment,
            platform=platform,
            clock=clock,
            freshness=self.freshness,
            schedule=ReadSchedule(self.freshness),
            proposer=ListProposer(self.freshness),
            load_head=self._states.load_head,
            on_listing=self._update_contacts,
            members_digest=self._states.members_digest,
            counts_by_name=self.counts_by_name,
        )
        self._loops = [
            (LoopingCall(self._round), ROUND_S),
            (LoopingCall(self._tick), PLATFORM_TICK_S),
        ]

    def start(self) -> None:
        """Start exchanging evidence with the peers and reading from the platform."""
        self._states.start()
        self._transport.subscribe(ExchangeRequest, self._handle_request)
        self._transport.subscribe(ExchangeReply, self._handle_reply)
        self._transport.subscribe(Announcement, self._handle_announcement)
        self._transport.subscribe(StandingChanged, self._handle_standing)
        for loop, interval_s in self._loops:
            # Without a random phase, the rounds of instances started together would
            # stay synchronised and evidence would advance only one hop per round.
            phase_s = self._random.uniform(0.0, interval_s)
            self._clock.callLater(phase_s, self._start_loop, loop, interval_s)

    def _start_loop(self, loop: LoopingCall, interval_s: float) -> None:
        if not self._stopped:
            loop.clock = self._clock
            loop.start(interval_s, now=True).addErrback(_log_failure)

    def stop(self) -> None:
        """Stop all loops; the agreed states then become stale."""
        self._stopped = True
        for loop, _ in self._loops:
            if loop.running:
                loop.stop()

    def on_change(self, callback: Callable[[], None]) -> None:
        """Call ``callback`` after each change of states, freshness or standings."""
        self._callbacks.append(callback)

    def is_fresh(self, now: float) -> bool:
        """Return whether this instance may act on its states at ``now``."""
        return self.freshness.is_fresh(now)

    def active(self, now: float) -> tuple[AgreedState, ...]:
        """Return the states not superseded by one in force, oldest first."""
        return self._states.active(now)

    @property
    def is_superseded(self) -> bool:
        """Return whether a later incarnation of this name runs; stop if so."""
        return self.freshness.superseded

    @property
    def members(self) -> dict[str, Member]:
        """Return the member of each name of the newest member list."""
        current = self.freshness.current
        records = self.freshness.records_by_name
        return {n: records[n].member for n in current.names} if current else {}

    def live_members(self, now: float) -> list[Member]:
        """Return the listed members to which callers may be sent.

        These sent a message within ``MAX_LIVE_SILENCE_S``, are fresh, are not leaving
        and report no gray failure.
        """
        current = self.freshness.current
        if current is None:
            return []
        live = []
        for name in current.names:
            record = self.freshness.records_by_name[name]
            is_own = record.member.id == self.own.id
            standing = self._exchange.standing if is_own else record.standing
            is_serving = self.is_fresh(now) if is_own else standing.serving
            is_recent = is_own or record.silence_s(now) <= MAX_LIVE_SILENCE_S
            if is_recent and is_serving and not (standing.leaving or standing.gray):
                live.append(record.member)
        return live

    @property
    def standing(self) -> Standing:
        """Return the standing that this instance reports to its peers."""
        return self._exchange.standing

    def begin_leaving(self) -> None:
        """Notify the peers that this instance leaves; they then send it no callers."""
        self._change_standing(leaving=True)

    def report_gray(self, gray: bool) -> None:
        """Notify the peers if this instance starts or ends having a gray failure."""
        if gray != self.standing.gray:
            self._change_standing(gray=gray)

    async def load_head(self, value: bytes) -> bool:
        """Load a head read from the platform; return False if that failed."""
        return await self._states.load_head(value)

    def _change_standing(
        self,
        *,
        serving: bool | None = None,
        leaving: bool | None = None,
        gray: bool | None = None,
    ) -> None:
        old = self.standing
        standing = Standing(
            incarnation=self.own.id.incarnation,
            version=old.version + 1,
            serving=old.serving if serving is None else serving,
            leaving=old.leaving if leaving is None else leaving,
            gray=old.gray if gray is None else gray,
        )
        self._exchange.standing = standing
        for member in self._partners.random_members(MAX_STANDING_RECIPIENTS):
            self._transport.send(member.peers, StandingChanged(self.own, standing))
        self._notify_on_change()

    def _round(self) -> None:
        now = self._clock.seconds()
        if self.freshness.superseded:
            return
        for partner in self._partners.choose(now):
            request = self._exchange.build_request(partner.member, now)
            self._transport.send(partner.peers, request)
        if now - self._cleaned_up_at >= CLEANUP_INTERVAL_S:
            self._cleaned_up_at = now
            self.freshness.drop_absent_members(now)

    def _tick(self) -> None:
        if not self.freshness.superseded:
            self._reader.tick()
        self._notify_on_change()

    def _handle_request(self, sender: InstanceId, request: ExchangeRequest) -> None:
        reply = self._exchange.build_reply(request, self._clock.seconds())
        if reply is not None:
            self._transport.send(request.member.peers, reply)

    def _handle_reply(self, sender: InstanceId, reply: ExchangeReply) -> None:
        self._exchange.handle_reply(reply, sender, self._clock.seconds())
        freshness = self.freshness
        lacks_base = freshness.in_force not in freshness.chain.lists_by_sequence
        if reply.sequence > freshness.sequence or (lacks_base and reply.sequence):
            self._states.pull(sender)
        self._notify_on_change()

    def _handle_announcement(
        self, sender: InstanceId, announcement: Announcement
    ) -> None:
        self.freshness.record_member(announcement.member, self._clock.seconds())
        if announcement.sequence > self.freshness.sequence:
            self._states.pull(sender)

    def _handle_standing(self, sender: InstanceId, change: StandingChanged) -> None:
        now = self._clock.seconds()
        self._exchange.handle_standing(change.member, change.standing, now)
        self._notify_on_change()

    def _announce_newest(self) -> None:
        """Announce a newer state, and start a round to collect evidence for it."""
        for member in self._partners.random_members():
            announcement = Announcement(self.freshness.sequence, self.own)
            self._transport.send(member.peers, announcement)
        self._round()
        self._notify_on_change()

    def _update_contacts(self) -> None:
        listed = self._reader.proposer.listed_by_name.values()
        self._partners.contacts = self._seeds | {member.peers for member in listed}

    def _notify_on_change(self) -> None:
        """Run the callbacks after a change; log a change of freshness."""
        now = self._clock.seconds()
        fresh = self.freshness.is_fresh(now)
        in_force = self.freshness.in_force
        snapshot = (
            fresh,
            self.freshness.sequence,
            in_force,
            self.standing,
            self.freshness.change_count,
        )
        if snapshot == self._last_snapshot:
            return
        self._last_snapshot = snapshot
        if fresh != self._was_fresh:
            self._was_fresh = fresh
            self.counts_by_name["fleet.freshness_changes"] += 1
            state = "fresh" if fresh else "not fresh"
            logger.info("{} at sequence {}", state, self.freshness.sequence)
            self._change_standing(serving=fresh)
        for callback in self._callbacks:
            callback()


def _log_failure(failure: object) -> None:
    logger.error("loop of the fleet stopped after an error: {}", failure)
