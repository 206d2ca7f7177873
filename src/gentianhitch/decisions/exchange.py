"""Request evidence from peers and reply to their requests."""

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
from gentianhitch.decisions.member_list import hash_ids
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
    """Builds and handles the messages that carry evidence.

    The evidence in a reply is dated from the moment at which the request was sent, so
    that a delayed reply is not taken for recent evidence.
    """

    freshness: Freshness
    standing: Standing = Standing()
    _next_nonce: int = attrs.field(init=False)
    _sent_requests_by_nonce: dict[int, _SentRequest] = attrs.Factory(dict)
    _standings_version: tuple[int, int, int] = (-1, -1, -1)
    _cached_standings_key: int = 0

    def __attrs_post_init__(self) -> None:
        self._next_nonce = first_nonce(self.freshness.own.id)

    def build_request(self, target: Member | None, now: float) -> ExchangeRequest:
        """Return a new request; ``target`` is None where only an address is known."""
        self._drop_expired_requests(now)
        nonce = self._next_nonce
        self._next_nonce += 1
        successors = self._successors()
        self._sent_requests_by_nonce[nonce] = _SentRequest(now, successors)
        return ExchangeRequest(
            nonce,
            self.freshness.own,
            target.id.incarnation if target else 0,
            _successors_key(successors),
            self._standings_key(),
        )

    def build_reply(self, request: ExchangeRequest, now: float) -> ExchangeReply | None:
        """Return the reply to a peer, or None if this instance is superseded."""
        freshness = self.freshness
        record = freshness.record_member(request.member, now)
        if record.member.id == request.member.id:
            record.request_received_at = now
        if freshness.superseded:
            return None
        member_list = freshness.current or MemberList(())
        successors = self._successors()
        is_same = request.successors_key == _successors_key(successors)
        is_expected = request.expected_incarnation == freshness.own.id.incarnation
        return ExchangeReply(
            nonce=request.nonce,
            sequence=freshness.sequence,
            in_force=freshness.in_force,
            established=freshness.established,
            list_key=member_list.key,
            ages=self._ages(member_list, now),
            behind_by_index=self._behind_by_index(member_list),
            read_age_ms=self._read_age_ms(now),
            member=None if is_expected else freshness.own,
            successors=() if is_same else successors,
            same_successors=is_same,
            standing=self.standing,
            standings_by_index=self._standings_if_different(
                request.standings_key, member_list
            ),
        )

    def handle_reply(
        self, reply: ExchangeReply, sender: InstanceId, now: float
    ) -> None:
        """Apply the evidence in a reply; drop and count one that was not requested."""
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
        self._apply_sender(record, reply, request.sent_at, now)
        self._apply_member_ages(reply, request, now)
        if reply.read_age_ms is not None:
            read_at = request.sent_at - reply.read_age_ms / 1000
            freshness.fleet_read_at = max(freshness.fleet_read_at, read_at)
        freshness.evaluate(now)

    def handle_standing(self, member: Member, standing: Standing, now: float) -> None:
        """Record a member's report about itself."""
        record = self.freshness.record_member(member, now)
        if record.member.id == member.id:
            self.freshness.update_standing(record, standing)

    def _apply_sender(
        self, record: MemberRecord, reply: ExchangeReply, sent_at: float, now: float
    ) -> None:
        freshness = self.freshness
        record.established = record.established or reply.established
        record.acknowledged_at = min(record.acknowledged_at, now)
        record.confirm_alive(sent_at, reply.sequence, freshness.sequence)
        record.update_known(reply.sequence, freshness.pending_sequences(), now)
        freshness.update_standing(record, reply.standing)

    def _apply_member_ages(
        self, reply: ExchangeReply, request: _SentRequest, now: float
    ) -> None:
        """Apply the sender's evidence about the other members of its list."""
        member_list = self.freshness.chain.lists_by_key.get(reply.list_key)
        if member_list is None or len(member_list.names) != len(reply.ages):
            self.freshness.counts_by_name["exchange.unknown_list"] += 1
            return
        successors = request.successors if reply.same_successors else reply.successors
        pending = self.freshness.pending_sequences()
        incarnations_by_name = {m.id.name: m.id.incarnation for m in successors}
        for index, name in enumerate(member_list.names):
            record = self.freshness.records_by_name.get(name)
            if record is None or name == self.freshness.own.id.name:
                continue
            listed = member_list.members_by_name[name].id.incarnation
            newest = max(incarnations_by_name.get(name, listed), listed)
            if record.member.id.incarnation != newest:
                continue
            standing = reply.standings_by_index.get(index, Standing())
            self.freshness.update_standing(record, standing)
            if reply.ages[index] != NO_AGE:
                record.established = record.established or newest != listed
                moment = request.sent_at - reply.ages[index] * AGE_UNIT_S
                record.confirm_alive(moment, reply.sequence, self.freshness.sequence)
                known = reply.sequence - reply.behind_by_index.get(index, 0)
                record.update_known(known, pending, now)

    def _ages(self, member_list: MemberList, now: float) -> bytes:
        freshness = self.freshness
        ages = bytearray()
        for name in member_list.names:
            record = freshness.records_by_name[name]
            if name == freshness.own.id.name:
                ages.append(0 if freshness.is_counted() else NO_AGE)
            elif record.is_counted_in(member_list):
                ages.append(encode_age(record.confirmed_at, now))
            else:
                ages.append(NO_AGE)
        return bytes(ages)

    def _behind_by_index(self, member_list: MemberList) -> dict[int, int]:
        sequence = self.freshness.sequence
        behind = {
            index: sequence - self.freshness.records_by_name[name].known_sequence
            for index, name in enumerate(member_list.names)
        }
        return {index: lag for index, lag in behind.items() if lag > 0}

    def _standings_by_index(self, member_list: MemberList) -> dict[int, Standing]:
        standings = {
            index: self._standing_of(name)
            for index, name in enumerate(member_list.names)
        }
        return {
            index: standing for index, standing in standings.items() if standing.version
        }

    def _standing_of(self, name: str) -> Standing:
        if name == self.freshness.own.id.name:
            return self.standing
        return self.freshness.records_by_name[name].standing

    def _standings_if_different(
        self, key: int, member_list: MemberList
    ) -> dict[int, Standing]:
        """Return the standings, or none if the sender of ``key`` has the same ones."""
        return (
            {}
            if key == self._standings_key()
            else self._standings_by_index(member_list)
        )

    def _standings_key(self) -> int:
        member_list = self.freshness.current or MemberList(())
        version = (self.freshness.change_count, self.standing.version, member_list.key)
        if self._standings_version != version:
            standings = self._standings_by_index(member_list)
            text = str([(i, s.incarnation, s.version) for i, s in standings.items()])
            self._standings_version = version
            self._cached_standings_key = (
                xxhash.xxh64_intdigest(f"{member_list.key}{text}".encode()) >> 1
            )
        return self._cached_standings_key

    def _read_age_ms(self, now: float) -> int | None:
        age_s = now - self.freshness.fleet_read_at
        return math.ceil(age_s * 1000) if age_s < MAX_READ_AGE_S else None

    def _successors(self) -> tuple[Member, ...]:
        member_list = self.freshness.current
        if member_list is None:
            return ()
        records_by_name = self.freshness.records_by_name
        return tuple(
            records_by_name[name].member
            for name, listed in member_list.members_by_name.items()
            if records_by_name[name].member.id.incarnation > listed.id.incarnation
        )

    def _drop_expired_requests(self, now: float) -> None:
        oldest = now - 2 * self.freshness.window_s
        for nonce, request in list(self._sent_requests_by_nonce.items()):
            if request.sent_at >= oldest:
                break
            del self._sent_requests_by_nonce[nonce]


def first_nonce(own: InstanceId) -> int:
    """Return the first nonce of an incarnation; no two incarnations share nonces.

    Otherwise a delayed reply to an earlier incarnation would be dated wrongly.
    """
    return (own.incarnation << NONCE_BITS) + 1


def _successors_key(members: tuple[Member, ...]) -> int:
    return hash_ids([member.id for member in members])
