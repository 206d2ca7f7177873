"""Pull evidence from peers and answer theirs."""

from __future__ import annotations

import math

import attrs
import xxhash

from gentianhitch.decisions.agreed_list import AgreedList
from gentianhitch.decisions.agreed_list import key_of
from gentianhitch.decisions.evidence import AGE_UNIT_S
from gentianhitch.decisions.evidence import NO_AGE
from gentianhitch.decisions.evidence import Seat
from gentianhitch.decisions.evidence import age_byte
from gentianhitch.decisions.freshness import Freshness
from gentianhitch.instances.identity import InstanceId
from gentianhitch.instances.identity import Member
from gentianhitch.instances.messages import ExchangeReply
from gentianhitch.instances.messages import ExchangeRequest
from gentianhitch.instances.messages import Standing

MAX_READ_AGE_S = 3_600.0
NONCE_BITS = 20


@attrs.frozen
class _Asked:
    sent_at: float
    successors: tuple[Member, ...]


@attrs.define(eq=False)
class Exchange:
    """Build and read the messages that carry evidence.

    Evidence in a reply is dated from the moment the request was sent, so a late
    reply is only old evidence.
    """

    freshness: Freshness
    standing: Standing = Standing()
    _next_nonce: int = attrs.field(init=False)
    _asked_by_nonce: dict[int, _Asked] = attrs.Factory(dict)
    _keyed: tuple[int, int, int] = (-1, -1, -1)
    _key: int = 0

    def __attrs_post_init__(self) -> None:
        self._next_nonce = first_nonce(self.freshness.own.id)

    def request(self, target: Member | None, now: float) -> ExchangeRequest:
        """Return a request; ``target`` is None where only an address is known."""
        self._drop_expired(now)
        nonce = self._next_nonce
        self._next_nonce += 1
        successors = self._successors()
        self._asked_by_nonce[nonce] = _Asked(now, successors)
        return ExchangeRequest(
            nonce,
            self.freshness.own,
            target.id.incarnation if target else 0,
            _key(successors),
            self._standings_key(),
        )

    def answer(self, request: ExchangeRequest, now: float) -> ExchangeReply | None:
        """Return the reply to a peer, or None if this instance must be silent."""
        freshness = self.freshness
        seat = freshness.meet(request.member, now)
        if seat.holder.id == request.member.id:
            seat.heard_at = now
        if freshness.superseded:
            return None
        agreed = freshness.current or AgreedList(())
        successors = self._successors()
        same = request.successors_key == _key(successors)
        expected = request.expected_incarnation == freshness.own.id.incarnation
        return ExchangeReply(
            nonce=request.nonce,
            sequence=freshness.sequence,
            in_force=freshness.in_force,
            established=freshness.established,
            list_key=agreed.key,
            ages=self._ages(agreed, now),
            behind_by_index=self._behind_by_index(agreed),
            read_age_ms=self._read_age_ms(now),
            member=None if expected else freshness.own,
            successors=() if same else successors,
            same_successors=same,
            standing=self.standing,
            standings_by_index=self._standings_unless(request.standings_key, agreed),
        )

    def hear(self, reply: ExchangeReply, sender: InstanceId, now: float) -> None:
        """Take in the reply to a request of this instance; others are dropped."""
        freshness = self.freshness
        asked = self._asked_by_nonce.pop(reply.nonce, None)
        if asked is None:
            freshness.counts_by_name["exchange.unasked"] += 1
            return
        for member in (*reply.successors, reply.member):
            if member is not None:
                freshness.meet(member, now)
        seat = freshness.seats_by_name.get(sender.name)
        if seat is None or seat.holder.id != sender:
            freshness.counts_by_name["exchange.superseded"] += 1
            return
        freshness.hear_in_force(reply.in_force)
        self._hear_sender(seat, reply, asked.sent_at, now)
        self._hear_vector(reply, asked, now)
        if reply.read_age_ms is not None:
            read_at = asked.sent_at - reply.read_age_ms / 1000
            freshness.fleet_read_at = max(freshness.fleet_read_at, read_at)
        freshness.judge(now)

    def hear_standing(self, member: Member, standing: Standing, now: float) -> None:
        """Take in what a member says of itself."""
        seat = self.freshness.meet(member, now)
        if seat.holder.id == member.id:
            self.freshness.update_standing(seat, standing)

    def _hear_sender(
        self, seat: Seat, reply: ExchangeReply, sent_at: float, now: float
    ) -> None:
        freshness = self.freshness
        seat.established = seat.established or reply.established
        seat.acknowledged_at = min(seat.acknowledged_at, now)
        seat.date(sent_at, reply.sequence, freshness.sequence)
        seat.reach(reply.sequence, freshness.pending(), now)
        freshness.update_standing(seat, reply.standing)

    def _hear_vector(self, reply: ExchangeReply, asked: _Asked, now: float) -> None:
        agreed = self.freshness.chain.lists_by_key.get(reply.list_key)
        if agreed is None or len(agreed.names) != len(reply.ages):
            self.freshness.counts_by_name["exchange.unknown_list"] += 1
            return
        successors = asked.successors if reply.same_successors else reply.successors
        pending = self.freshness.pending()
        incarnation_by_name = {m.id.name: m.id.incarnation for m in successors}
        for index, name in enumerate(agreed.names):
            seat = self.freshness.seats_by_name.get(name)
            if seat is None or name == self.freshness.own.id.name:
                continue
            listed = agreed.members_by_name[name].id.incarnation
            holder = max(incarnation_by_name.get(name, listed), listed)
            if seat.holder.id.incarnation != holder:
                continue
            standing = reply.standings_by_index.get(index, Standing())
            self.freshness.update_standing(seat, standing)
            if reply.ages[index] != NO_AGE:
                seat.established = seat.established or holder != listed
                moment = asked.sent_at - reply.ages[index] * AGE_UNIT_S
                seat.date(moment, reply.sequence, self.freshness.sequence)
                known = reply.sequence - reply.behind_by_index.get(index, 0)
                seat.reach(known, pending, now)

    def _ages(self, agreed: AgreedList, now: float) -> bytes:
        freshness = self.freshness
        ages = bytearray()
        for name in agreed.names:
            seat = freshness.seats_by_name[name]
            if name == freshness.own.id.name:
                ages.append(0 if freshness.is_counted() else NO_AGE)
            elif seat.is_counted_in(agreed):
                ages.append(age_byte(seat.agreed_at, now))
            else:
                ages.append(NO_AGE)
        return bytes(ages)

    def _behind_by_index(self, agreed: AgreedList) -> dict[int, int]:
        sequence = self.freshness.sequence
        behind = {
            index: sequence - self.freshness.seats_by_name[name].known
            for index, name in enumerate(agreed.names)
        }
        return {index: lag for index, lag in behind.items() if lag > 0}

    def _standings_by_index(self, agreed: AgreedList) -> dict[int, Standing]:
        standings = {
            index: self._standing_of(name) for index, name in enumerate(agreed.names)
        }
        return {index: each for index, each in standings.items() if each.version}

    def _standing_of(self, name: str) -> Standing:
        if name == self.freshness.own.id.name:
            return self.standing
        return self.freshness.seats_by_name[name].standing

    def _standings_unless(self, key: int, agreed: AgreedList) -> dict[int, Standing]:
        """Return the standings, or none if the asker has just the same."""
        return {} if key == self._standings_key() else self._standings_by_index(agreed)

    def _standings_key(self) -> int:
        agreed = self.freshness.current or AgreedList(())
        seen = (self.freshness.changes, self.standing.version, agreed.key)
        if self._keyed != seen:
            standings = self._standings_by_index(agreed)
            text = str([(i, s.incarnation, s.version) for i, s in standings.items()])
            self._keyed = seen
            self._key = xxhash.xxh64_intdigest(f"{agreed.key}{text}".encode()) >> 1
        return self._key

    def _read_age_ms(self, now: float) -> int | None:
        age_s = now - self.freshness.fleet_read_at
        return math.ceil(age_s * 1000) if age_s < MAX_READ_AGE_S else None

    def _successors(self) -> tuple[Member, ...]:
        agreed = self.freshness.current
        if agreed is None:
            return ()
        seats_by_name = self.freshness.seats_by_name
        return tuple(
            seats_by_name[name].holder
            for name, listed in agreed.members_by_name.items()
            if seats_by_name[name].holder.id.incarnation > listed.id.incarnation
        )

    def _drop_expired(self, now: float) -> None:
        oldest = now - 2 * self.freshness.window_s
        for nonce, asked in list(self._asked_by_nonce.items()):
            if asked.sent_at >= oldest:
                break
            del self._asked_by_nonce[nonce]


def first_nonce(own: InstanceId) -> int:
    """Return where nonces begin, so that no two incarnations use the same ones.

    A late reply to an earlier incarnation would otherwise be dated wrongly.
    """
    return (own.incarnation << NONCE_BITS) + 1


def _key(members: tuple[Member, ...]) -> int:
    return key_of([member.id for member in members])
