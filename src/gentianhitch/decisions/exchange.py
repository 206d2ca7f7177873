"""Pull evidence from peers and answer theirs."""

from __future__ import annotations

import math

import attrs
import xxhash

from gentianhitch.decisions.evidence import AGE_UNIT_S
from gentianhitch.decisions.evidence import NO_AGE
from gentianhitch.decisions.evidence import MemberRecord
from gentianhitch.decisions.evidence import encode_age
from gentianhitch.decisions.freshness import Freshness
from gentianhitch.decisions.member_list import MemberList
from gentianhitch.decisions.member_list import key_of
from gentianhitch.instances.identity import InstanceId
from gentianhitch.instances.identity import Member
from gentianhitch.instances.messages import ExchangeReply
from gentianhitch.instances.messages import ExchangeRequest
from gentianhitch.instances.messages import Standing

MAX_READ_AGE_S = 3_600.0
NONCE_BITS = 20


@attrs.frozen
class _SentRequest:
    sent_at: float
    successors: tuple[Member, ...]


@attrs.define(eq=False)
class EvidenceExchange:
    """Build and read the messages that carry evidence.

    Evidence in a reply is dated from the moment the request was sent, so a late
    reply is only old evidence.
    """

    freshness: Freshness
    standing: Standing = Standing()
    _next_nonce: int = attrs.field(init=False)
    _sent_requests_by_nonce: dict[int, _SentRequest] = attrs.Factory(dict)
    _keyed: tuple[int, int, int] = (-1, -1, -1)
    _key: int = 0

    def __attrs_post_init__(self) -> None:
        self._next_nonce = first_nonce(self.freshness.own.id)

    def build_request(self, target: Member | None, now: float) -> ExchangeRequest:
        """Return a request; ``target`` is None where only an address is known."""
        self._drop_expired(now)
        nonce = self._next_nonce
        self._next_nonce += 1
        successors = self._successors()
        self._sent_requests_by_nonce[nonce] = _SentRequest(now, successors)
        return ExchangeRequest(
            nonce,
            self.freshness.own,
            target.id.incarnation if target else 0,
            _key(successors),
            self._standings_key(),
        )

    def build_reply(self, request: ExchangeRequest, now: float) -> ExchangeReply | None:
        """Return the reply to a peer, or None if this instance must be silent."""
        freshness = self.freshness
        record = freshness.record_member(request.member, now)
        if record.member.id == request.member.id:
            record.request_received_at = now
        if freshness.superseded:
            return None
        agreed = freshness.current or MemberList(())
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

    def handle_reply(
        self, reply: ExchangeReply, sender: InstanceId, now: float
    ) -> None:
        """Take in the reply to a request of this instance; others are dropped."""
        freshness = self.freshness
        request = self._sent_requests_by_nonce.pop(reply.nonce, None)
        if request is None:
            freshness.counts_by_name["exchange.unasked"] += 1
            return
        for member in (*reply.successors, reply.member):
            if member is not None:
                freshness.record_member(member, now)
        record = freshness.records_by_name.get(sender.name)
        if record is None or record.member.id != sender:
            freshness.counts_by_name["exchange.superseded"] += 1
            return
        freshness.record_in_force(reply.in_force)
        self._hear_sender(record, reply, request.sent_at, now)
        self._hear_vector(reply, request, now)
        if reply.read_age_ms is not None:
            read_at = request.sent_at - reply.read_age_ms / 1000
            freshness.fleet_read_at = max(freshness.fleet_read_at, read_at)
        freshness.evaluate(now)

    def handle_standing(self, member: Member, standing: Standing, now: float) -> None:
        """Take in what a member says of itself."""
        record = self.freshness.record_member(member, now)
        if record.member.id == member.id:
            self.freshness.update_standing(record, standing)

    def _hear_sender(
        self, record: MemberRecord, reply: ExchangeReply, sent_at: float, now: float
    ) -> None:
        freshness = self.freshness
        record.established = record.established or reply.established
        record.acknowledged_at = min(record.acknowledged_at, now)
        record.confirm_alive(sent_at, reply.sequence, freshness.sequence)
        record.update_known(reply.sequence, freshness.pending_sequences(), now)
        freshness.update_standing(record, reply.standing)

    def _hear_vector(
        self, reply: ExchangeReply, request: _SentRequest, now: float
    ) -> None:
        agreed = self.freshness.chain.lists_by_key.get(reply.list_key)
        if agreed is None or len(agreed.names) != len(reply.ages):
            self.freshness.counts_by_name["exchange.unknown_list"] += 1
            return
        successors = request.successors if reply.same_successors else reply.successors
        pending = self.freshness.pending_sequences()
        incarnation_by_name = {m.id.name: m.id.incarnation for m in successors}
        for index, name in enumerate(agreed.names):
            record = self.freshness.records_by_name.get(name)
            if record is None or name == self.freshness.own.id.name:
                continue
            listed = agreed.members_by_name[name].id.incarnation
            holder = max(incarnation_by_name.get(name, listed), listed)
            if record.member.id.incarnation != holder:
                continue
            standing = reply.standings_by_index.get(index, Standing())
            self.freshness.update_standing(record, standing)
            if reply.ages[index] != NO_AGE:
                record.established = record.established or holder != listed
                moment = request.sent_at - reply.ages[index] * AGE_UNIT_S
                record.confirm_alive(moment, reply.sequence, self.freshness.sequence)
                known = reply.sequence - reply.behind_by_index.get(index, 0)
                record.update_known(known, pending, now)

    def _ages(self, agreed: MemberList, now: float) -> bytes:
        freshness = self.freshness
        ages = bytearray()
        for name in agreed.names:
            record = freshness.records_by_name[name]
            if name == freshness.own.id.name:
                ages.append(0 if freshness.is_counted() else NO_AGE)
            elif record.is_counted_in(agreed):
                ages.append(encode_age(record.confirmed_at, now))
            else:
                ages.append(NO_AGE)
        return bytes(ages)

    def _behind_by_index(self, agreed: MemberList) -> dict[int, int]:
        sequence = self.freshness.sequence
        behind = {
            index: sequence - self.freshness.records_by_name[name].known_sequence
            for index, name in enumerate(agreed.names)
        }
        return {index: lag for index, lag in behind.items() if lag > 0}

    def _standings_by_index(self, agreed: MemberList) -> dict[int, Standing]:
        standings = {
            index: self._standing_of(name) for index, name in enumerate(agreed.names)
        }
        return {index: each for index, each in standings.items() if each.version}

    def _standing_of(self, name: str) -> Standing:
        if name == self.freshness.own.id.name:
            return self.standing
        return self.freshness.records_by_name[name].standing

    def _standings_unless(self, key: int, agreed: MemberList) -> dict[int, Standing]:
        """Return the standings, or none if the asker has just the same."""
        return {} if key == self._standings_key() else self._standings_by_index(agreed)

    def _standings_key(self) -> int:
        agreed = self.freshness.current or MemberList(())
        seen = (self.freshness.change_count, self.standing.version, agreed.key)
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
        records_by_name = self.freshness.records_by_name
        return tuple(
            records_by_name[name].member
            for name, listed in agreed.members_by_name.items()
            if records_by_name[name].member.id.incarnation > listed.id.incarnation
        )

    def _drop_expired(self, now: float) -> None:
        oldest = now - 2 * self.freshness.window_s
        for nonce, request in list(self._sent_requests_by_nonce.items()):
            if request.sent_at >= oldest:
                break
            del self._sent_requests_by_nonce[nonce]


def first_nonce(own: InstanceId) -> int:
    """Return where nonces begin, so that no two incarnations use the same ones.

    A late reply to an earlier incarnation would otherwise be dated wrongly.
    """
    return (own.incarnation << NONCE_BITS) + 1


def _key(members: tuple[Member, ...]) -> int:
    return key_of([member.id for member in members])
