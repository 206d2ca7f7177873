"""Messages between entry instances about freshness and configuration."""

from __future__ import annotations

from gentianhitch.instances.codec import message
from gentianhitch.instances.identity import Member


@message
class ExchangeRequest:
    """Requests the evidence of a peer; ``member`` is the sender.

    ``expected_incarnation`` is the last known incarnation of the peer, or 0. The keys
    identify the successors and standings that the sender already has.
    """

    nonce: int
    member: Member
    expected_incarnation: int
    successors_key: int
    standings_key: int


@message
class Standing:
    """Status that one incarnation reports; a larger version replaces a smaller one.

    An instance is ``serving`` while it is fresh.
    """

    incarnation: int = 0
    version: int = 0
    serving: bool = False
    leaving: bool = False
    gray: bool = False


@message
class ExchangeReply:
    """Reports the evidence that the sender holds at the time of sending.

    ``ages`` has one byte for each index of the list with ``list_key``: an upper bound
    of the age of the evidence that this member knew no sequence above ``sequence``.
    ``behind_by_index`` holds by how much a member with an age lags behind.
    ``read_age_ms`` is the age of the newest platform read of the fleet. ``member`` and
    ``successors`` are left out if the receiver has them.
    """

    nonce: int
    sequence: int
    in_force: int
    established: bool
    list_key: int
    ages: bytes
    behind_by_index: dict[int, int]
    read_age_ms: int | None
    member: Member | None
    successors: tuple[Member, ...]
    same_successors: bool
    standing: Standing
    standings_by_index: dict[int, Standing]


@message
class Announcement:
    """Notifies a peer that the sender has loaded ``sequence``."""

    sequence: int
    member: Member


@message
class StandingChanged:
    """Notifies a peer of the sender's new standing, ahead of the next round."""

    member: Member
    standing: Standing


@message
class HeadRequest:
    """Requests the heads above ``after``, starting at the newest one in force."""

    nonce: int
    after: int
    member: Member


@message
class HeadReply:
    """Contains encoded heads, oldest first, and small pieces first used in them."""

    nonce: int
    values: tuple[bytes, ...]
    pieces: tuple[bytes, ...] = ()


@message
class PieceRequest:
    """Requests one content-addressed piece."""

    nonce: int
    digest: str
    member: Member


@message
class PieceReply:
    """Contains one piece, or None if the sender does not have it."""

    nonce: int
    digest: str
    value: bytes | None
