"""Tie the decisions about freshness to peers, the platform and the clock."""

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
FORGET_INTERVAL_S = 10.0
MAX_TOLD_DIRECTLY = 64
LIVE_WITHIN_S = 3.0


class Fleet:
    """Agree with the other instances, and show what was agreed on.

    Implements ``AgreedStates``. Callbacks of ``on_change`` run after a new state,
    a state in force, or a change of freshness or of a member's standing.
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
            on_newest=self._tell_newest,
            counts_by_name=self.counts_by_name,
        )
        self._callbacks: list[Callable[[], None]] = []
        self._seen: tuple[object, ...] = ()
        self._was_fresh = False
        self._stopped = False
        self._forgot_at = clock.seconds()
        self._reader = PlatformReader(
            environment=environment,
            platform=platform,
            clock=clock,
            freshness=self.freshness,
            schedule=ReadSchedule(self.freshness),
            writer=ListProposer(self.freshness),
            take_head=self._states.take_head,
            on_list=self._take_contacts,
            members_digest=self._states.members_digest,
            counts_by_name=self.counts_by_name,
        )
        self._loops = [
            (LoopingCall(self._round), ROUND_S),
            (LoopingCall(self._tick), PLATFORM_TICK_S),
        ]

    def start(self) -> None:
        """Begin to talk to peers and the platform."""
        self._states.start()
        self._transport.subscribe(ExchangeRequest, self._answer)
        self._transport.subscribe(ExchangeReply, self._hear)
        self._transport.subscribe(Announcement, self._hear_announcement)
        self._transport.subscribe(StandingChanged, self._hear_standing)
        for loop, interval_s in self._loops:
            # Rounds of instances started together would else stay in step, and
            # evidence would travel only one hop in each.
            phase_s = self._random.uniform(0.0, interval_s)
            self._clock.callLater(phase_s, self._start_loop, loop, interval_s)

    def _start_loop(self, loop: LoopingCall, interval_s: float) -> None:
        if not self._stopped:
            loop.clock = self._clock
            loop.start(interval_s, now=True).addErrback(_log_failure)

    def stop(self) -> None:
        """Stop talking; what was agreed on grows stale."""
        self._stopped = True
        for loop, _ in self._loops:
            if loop.running:
                loop.stop()

    def on_change(self, callback: Callable[[], None]) -> None:
        """Call ``callback`` after every change of what this instance knows."""
        self._callbacks.append(callback)

    def is_fresh(self, now: float) -> bool:
        """Tell whether this instance may act on what it knows at ``now``."""
        return self.freshness.is_fresh(now)

    def active(self, now: float) -> tuple[AgreedState, ...]:
        """Return the states not superseded by one in force, oldest first."""
        return self._states.active(now)

    @property
    def is_superseded(self) -> bool:
        """Tell whether a later incarnation of this name runs; then stop."""
        return self.freshness.superseded

    @property
    def members(self) -> dict[str, Member]:
        """Return who holds each name of the newest agreed list."""
        current = self.freshness.current
        records = self.freshness.records_by_name
        return {n: records[n].member for n in current.names} if current else {}

    def live_members(self, now: float) -> list[Member]:
        """Return the members heard lately that are fresh, stay and serve well."""
        current = self.freshness.current
        if current is None:
            return []
        live = []
        for name in current.names:
            record = self.freshness.records_by_name[name]
            own = record.member.id == self.own.id
            standing = self._exchange.standing if own else record.standing
            serving = self.is_fresh(now) if own else standing.serving
            heard = own or record.silence_s(now) <= LIVE_WITHIN_S
            if heard and serving and not (standing.leaving or standing.gray):
                live.append(record.member)
        return live

    @property
    def standing(self) -> Standing:
        """Return what this instance says of itself."""
        return self._exchange.standing

    def begin_leaving(self) -> None:
        """Tell the peers that this instance leaves, so that none names it."""
        self._change_standing(leaving=True)

    def report_gray(self, gray: bool) -> None:
        """Tell the peers whether this instance serves badly itself."""
        if gray != self.standing.gray:
            self._change_standing(gray=gray)

    async def take_head(self, value: bytes) -> bool:
        """Load a head that the platform answered; False if that failed."""
        return await self._states.take_head(value)

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
        for member in self._partners.some(MAX_TOLD_DIRECTLY):
            self._transport.send(member.peers, StandingChanged(self.own, standing))
        self._notice()

    def _round(self) -> None:
        now = self._clock.seconds()
        if self.freshness.superseded:
            return
        for partner in self._partners.choose(now):
            request = self._exchange.build_request(partner.member, now)
            self._transport.send(partner.peers, request)
        if now - self._forgot_at >= FORGET_INTERVAL_S:
            self._forgot_at = now
            self.freshness.drop_absent_members(now)

    def _tick(self) -> None:
        if not self.freshness.superseded:
            self._reader.tick()
        self._notice()

    def _answer(self, sender: InstanceId, request: ExchangeRequest) -> None:
        reply = self._exchange.build_reply(request, self._clock.seconds())
        if reply is not None:
            self._transport.send(request.member.peers, reply)

    def _hear(self, sender: InstanceId, reply: ExchangeReply) -> None:
        self._exchange.handle_reply(reply, sender, self._clock.seconds())
        freshness = self.freshness
        lacks_base = freshness.in_force not in freshness.chain.lists_by_sequence
        if reply.sequence > freshness.sequence or (lacks_base and reply.sequence):
            self._states.pull(sender)
        self._notice()

    def _hear_announcement(self, sender: InstanceId, hint: Announcement) -> None:
        self.freshness.record_member(hint.member, self._clock.seconds())
        if hint.sequence > self.freshness.sequence:
            self._states.pull(sender)

    def _hear_standing(self, sender: InstanceId, change: StandingChanged) -> None:
        now = self._clock.seconds()
        self._exchange.handle_standing(change.member, change.standing, now)
        self._notice()

    def _tell_newest(self) -> None:
        """Spread a newer state at once, and ask who knows it too."""
        for member in self._partners.some():
            hint = Announcement(self.freshness.sequence, self.own)
            self._transport.send(member.peers, hint)
        self._round()
        self._notice()

    def _take_contacts(self) -> None:
        listed = self._reader.writer.listed_by_name.values()
        self._partners.contacts = self._seeds | {each.peers for each in listed}

    def _notice(self) -> None:
        """Call back, and log, if what this instance knows has changed."""
        now = self._clock.seconds()
        fresh = self.freshness.is_fresh(now)
        in_force = self.freshness.in_force
        seen = (
            fresh,
            self.freshness.sequence,
            in_force,
            self.standing,
            self.freshness.change_count,
        )
        if seen == self._seen:
            return
        self._seen = seen
        if fresh != self._was_fresh:
            self._was_fresh = fresh
            self.counts_by_name["fleet.freshness_changes"] += 1
            state = "fresh" if fresh else "not fresh"
            logger.info("{} at sequence {}", state, self.freshness.sequence)
            self._change_standing(serving=fresh)
        for callback in self._callbacks:
            callback()


def _log_failure(failure: object) -> None:
    logger.error("the fleet's loop failed: {}", failure)
