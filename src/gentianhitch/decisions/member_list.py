"""The agreed list of entry instances and its form in the platform."""

from __future__ import annotations

from functools import cached_property

import attrs
import msgspec
import xxhash

from gentianhitch.addresses import Address
from gentianhitch.decisions.rendezvous import interleave_domains
from gentianhitch.decisions.rendezvous import order_members
from gentianhitch.errors import GentianhitchError
from gentianhitch.instances.identity import InstanceId
from gentianhitch.instances.identity import Member


class MalformedListError(GentianhitchError):
    """The agreed list could not be read."""


@attrs.frozen
class _Header:
    previous_digest: str | None


@attrs.frozen(slots=False)
class MemberList:
    """Hold the members of one list change.

    ``previous_digest`` names the list that this one follows. It is None for a
    list that follows none: the first one, or one written after the majority of
    its predecessor was provably gone.
    """

    members: tuple[Member, ...]
    previous_digest: str | None = None

    @cached_property
    def members_by_name(self) -> dict[str, Member]:
        """Return the members by name, in the order of their index."""
        ordered = sorted(self.members, key=lambda member: member.id.name)
        return {member.id.name: member for member in ordered}

    @cached_property
    def names(self) -> tuple[str, ...]:
        """Return the name of each index."""
        return tuple(self.members_by_name)

    @cached_property
    def key(self) -> int:
        """Return a short key of the members' names and incarnations."""
        return key_of([member.id for member in self.members_by_name.values()])

    @cached_property
    def watch_order(self) -> tuple[str, ...]:
        """Return the names in the order in which they watch the platform."""
        return tuple(
            m.id.name for m in interleave_domains(order_members("watch", self.members))
        )

    @cached_property
    def watch_rank_by_name(self) -> dict[str, int]:
        """Return the place of each name in the order of watchers, from 0."""
        return {name: rank for rank, name in enumerate(self.watch_order)}

    @cached_property
    def majority(self) -> int:
        """Return the smallest count above half of the list."""
        return len(self.members) // 2 + 1

    @cached_property
    def ids(self) -> frozenset[InstanceId]:
        """Return the names and incarnations of all members."""
        return frozenset({member.id for member in self.members})


def key_of(ids: list[InstanceId]) -> int:
    """Return a short key of sorted names and incarnations."""
    text = "\n".join(f"{id_.name}:{id_.incarnation}" for id_ in ids)
    return xxhash.xxh64_intdigest(text.encode()) >> 1


def encode_list(agreed: MemberList) -> bytes:
    """Encode a list with one line for each member, so that pieces stay stable."""
    rows: list[object] = [_Header(agreed.previous_digest)]
    rows += agreed.members_by_name.values()
    return b"".join(msgspec.json.encode(row, enc_hook=str) + b"\n" for row in rows)


def decode_list(data: bytes) -> MemberList:
    """Decode a list; raise MalformedListError."""
    try:
        header, *rows = data.splitlines()
        previous = msgspec.json.decode(header, type=_Header).previous_digest
        members = tuple(
            msgspec.json.decode(row, type=Member, dec_hook=_decode_hook) for row in rows
        )
    except (msgspec.MsgspecError, ValueError) as error:
        raise MalformedListError(f"malformed agreed list: {error}") from error
    return MemberList(members, previous)


def _decode_hook(kind: type, value: object) -> object:
    if kind is Address:
        return Address.parse(value)
    raise NotImplementedError(kind)
