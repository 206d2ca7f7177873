"""The agreed list of entry instances and its encoding in the platform."""

from __future__ import annotations

from functools import cached_property

import attrs
import msgspec
import xxhash

from gentianhitch import json_codec
from gentianhitch.addresses import Address
from gentianhitch.decisions.rendezvous import interleave_domains
from gentianhitch.decisions.rendezvous import order_members
from gentianhitch.errors import GentianhitchError
from gentianhitch.instances.identity import InstanceId
from gentianhitch.instances.identity import Member


class MalformedListError(GentianhitchError):
    """A stored list of entry instances cannot be decoded."""


@attrs.frozen
class _Header:
    previous_digest: str | None


@attrs.frozen(slots=False)
class MemberList:
    """The entry instances on which the fleet agreed with one change.

    ``previous_digest`` is the digest of the preceding list. It is None for the first
    list, and for one that was written after the majority of the preceding list was
    provably gone.
    """

    members: tuple[Member, ...]
    previous_digest: str | None = None

    @cached_property
    def members_by_name(self) -> dict[str, Member]:
        """Return the members by name, sorted by name; the position is their index."""
        members = sorted(self.members, key=lambda member: member.id.name)
        return {member.id.name: member for member in members}

    @cached_property
    def names(self) -> tuple[str, ...]:
        """Return the names in the order of their index."""
        return tuple(self.members_by_name)

    @cached_property
    def key(self) -> int:
        """Return a 63-bit hash of the members' names and incarnations."""
        return hash_ids([member.id for member in self.members_by_name.values()])

    @cached_property
    def watch_order(self) -> tuple[str, ...]:
        """Return the names by watch rank: the first few watch the platform.

        Neighbours in this order are in different failure domains where possible.
        """
        return tuple(
            m.id.name for m in interleave_domains(order_members("watch", self.members))
        )

    @cached_property
    def watch_rank_by_name(self) -> dict[str, int]:
        """Return the watch rank of each name, from 0."""
        return {name: rank for rank, name in enumerate(self.watch_order)}

    @cached_property
    def majority(self) -> int:
        """Return the smallest number of members above half of the list."""
        return len(self.members) // 2 + 1

    @cached_property
    def ids(self) -> frozenset[InstanceId]:
        """Return the names and incarnations of all members."""
        return frozenset({member.id for member in self.members})


def hash_ids(ids: list[InstanceId]) -> int:
    """Return a 63-bit hash of sorted names and incarnations."""
    text = "\n".join(f"{id_.name}:{id_.incarnation}" for id_ in ids)
    return xxhash.xxh64_intdigest(text.encode()) >> 1


def encode_list(member_list: MemberList) -> bytes:
    """Encode a list with one line for each member.

    So a change of one member leaves the other stored pieces as they are.
    """
    rows: list[object] = [_Header(member_list.previous_digest)]
    rows += member_list.members_by_name.values()
    return b"".join(msgspec.json.encode(row, enc_hook=str) + b"\n" for row in rows)


def decode_list(data: bytes) -> MemberList:
    """Decode a stored list; raise MalformedListError."""
    try:
        header, *rows = data.splitlines()
        previous = msgspec.json.decode(header, type=_Header).previous_digest
        members = tuple(
            msgspec.json.decode(row, type=Member, dec_hook=_decode_hook) for row in rows
        )
    except json_codec.DecodeError as error:
        raise MalformedListError(
            f"malformed agreed list of {len(data)} bytes: {error}"
        ) from error
    return MemberList(members, previous)


def _decode_hook(kind: type, value: object) -> object:
    if kind is Address:
        return Address.parse(value)
    raise NotImplementedError(kind)
