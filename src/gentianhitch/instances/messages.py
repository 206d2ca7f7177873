"""Messages between entry instances about freshness and configuration."""

from __future__ import annotations

from gentianhitch.instances.codec import message
from gentianhitch.instances.identity import Member


@message
class ExchangeRequest:
    """Ask a peer for its evidence; the sender shows itself.

    ``expected_incarnation`` is the peer's as the sender knows it (0: unknown).
    """

    nonce: int
    member: Member
    expected_incarnation: int
    successors_key: int
    standings_key: int


@message
class Standing:
    """What one incarnation says of itself; the larger version counts.

    It is ``serving`` while it is fresh.
    """

    incarnation: int = 0
    version: int = 0
    serving: bool = False
    leaving: bool = False
    gray: bool = False


@message
class ExchangeReply:
    """Pass on what the sender has evidence of at the moment of sending.

    ``ages`` has one byte for each index of the list with ``list_key``: an upper
    bound of the age of the evidence that this member knew no sequence above
    ``sequence``. ``behind_by_index`` says by how much a member with an age is
    known to lag. ``read_age_ms`` is the age of the newest platform read of the
    fleet. ``member`` and ``successors`` are left out when the receiver has them.
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
    """Hint that the sender has loaded ``sequence``."""

    sequence: int
    member: Member


@message
class StandingChanged:
    """Tell at once what the sender now says of itself."""

    member: Member
    standing: Standing


@message
class HeadRequest:
    """Ask for every head from the newest one in force on, above ``after``."""

    nonce: int
    after: int
    member: Member


@message
class HeadReply:
    """Bring values of the head key, oldest first, and small pieces new in them."""

    nonce: int
    values: tuple[bytes, ...]
    pieces: tuple[bytes, ...] = ()


@message
class PieceRequest:
    """Ask for one content-addressed piece."""

    nonce: int
    digest: str
    member: Member


@message
class PieceReply:
    """Bring one piece; None when the sender does not have it."""

    nonce: int
    digest: str
    value: bytes | None
