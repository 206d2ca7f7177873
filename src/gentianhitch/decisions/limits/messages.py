"""Messages about shares between entry instances."""

from __future__ import annotations

import attrs

from gentianhitch.addresses import Address
from gentianhitch.decisions.limits.shares import Share
from gentianhitch.instances.codec import message
from gentianhitch.instances.identity import InstanceId


@attrs.frozen
class LoanRequestItem:
    """Ask for a part of the share that ``origin`` has in a workspace.

    ``base`` is the origin's share as the borrower knows it: it could not use a
    grant that rests on a larger one. The borrower promises that from now on it
    holds no more than ``held`` of the grant ``holding`` (0: none) and ignores the
    answers to earlier requests.
    ``returned`` tokens have left its bucket. ``urgent`` asks for tokens only and
    promises nothing; tokens that go with a rate are for the lender to say.
    """

    number: int
    workspace: str
    origin: InstanceId
    base: Share
    rate: float
    tokens: float
    urgent: bool = False
    holding: int = 0
    held: Share = Share(0.0, 0.0)
    returned: float = 0.0


@message
class LoanRequest:
    """Carry what one borrower wants from one lender; answer to ``reply_to``.

    ``sequence`` is the newest that the borrower knows.
    """

    reply_to: Address
    sequence: int
    items: tuple[LoanRequestItem, ...]


@attrs.frozen
class LoanGrantItem:
    """Answer one LoanRequestItem; ``base`` is the lender's share on which it rests."""

    number: int
    lent: Share
    tokens: float
    base: Share


@message
class LoanGrant:
    """Carry the answers to one LoanRequest."""

    items: tuple[LoanGrantItem, ...]


@attrs.frozen
class LoanReturnItem:
    """Tokens of the urgent loan ``number`` that have left the borrower's bucket."""

    number: int
    workspace: str
    origin: InstanceId
    tokens: float


@message
class LoanReturn:
    """Carry unspent tokens back to a lender; it counts each loan's once."""

    sequence: int
    items: tuple[LoanReturnItem, ...]


@message
class LoanRecall:
    """Ask a borrower to return at once what it does not need."""

    workspace: str
    origin: InstanceId


@message
class HeirQuery:
    """Ask whether the instance at an address could take a share over."""

    reply_to: Address


@message
class HeirOffer:
    """Say that the sender, at ``address``, is fresh and stays."""

    address: Address


@message
class Transfer:
    """Hand the share of ``origin`` over to ``heir`` for good.

    ``lent_s`` is the time for which parts of it may still be lent; tokens are
    valid only for an heir whose newest sequence is ``sequence``.
    """

    number: int
    heir: InstanceId
    reply_to: Address
    origin: InstanceId
    lent_s: float
    sequence: int
    tokens_by_workspace: dict[str, float]


@message
class TransferAck:
    """Confirm that the heir holds the transfer of this number."""

    number: int


@message
class ShareNotice:
    """Tell borrowers at which address the shares of ``origins`` are held."""

    address: Address
    origins: tuple[InstanceId, ...]
