"""Messages between entry instances about loans and transfers of shares."""

from __future__ import annotations

import attrs

from gentianhitch.addresses import Address
from gentianhitch.decisions.limits.shares import Share
from gentianhitch.instances.codec import message
from gentianhitch.instances.identity import InstanceId


@attrs.frozen
class LoanRequestItem:
    """Request a loan from the share of ``origin``, its owner, in a workspace.

    ``base`` is the owner's share as known to the borrower, which cannot use a grant
    that is based on a larger one. From now on the borrower holds at most ``held`` of
    the grant numbered ``holding`` (0: none) and ignores grants for earlier requests.
    It has removed ``returned`` tokens from its bucket.
    An ``urgent`` request is for a token loan and leaves other loans as they are. The
    lender decides on the tokens that go with a rate loan.
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
    """The items that one borrower requests of one lender.

    The grant goes to ``reply_to``; ``sequence`` is that of the newest state known to
    the borrower.
    """

    reply_to: Address
    sequence: int
    items: tuple[LoanRequestItem, ...]


@attrs.frozen
class LoanGrantItem:
    """Grant for one LoanRequestItem, based on the lender's share ``base``.

    A denied request gets a grant of nothing.
    """

    number: int
    lent: Share
    tokens: float
    base: Share


@message
class LoanGrant:
    """The grants for the items of one LoanRequest."""

    items: tuple[LoanGrantItem, ...]


@attrs.frozen
class LoanReturnItem:
    """Unspent tokens of token loan ``number``, removed from the borrower's bucket."""

    number: int
    workspace: str
    origin: InstanceId
    tokens: float


@message
class LoanReturn:
    """Unspent tokens that a borrower returns; the lender adds each loan's once."""

    sequence: int
    items: tuple[LoanReturnItem, ...]


@message
class LoanRecall:
    """Request to a borrower to return the surplus of a rate loan now."""

    workspace: str
    origin: InstanceId


@message
class HeirQuery:
    """Query whether an instance can take over a share; reply to ``reply_to``."""

    reply_to: Address


@message
class HeirOffer:
    """Offer to take over a share: the sender at ``address`` is fresh and stays."""

    address: Address


@message
class Transfer:
    """Permanent handover of the share of ``origin``, its owner, to ``heir``.

    ``lent_s`` is the time until the last loan from it expires. The tokens are valid
    only if the newest state of the heir, the successor, has this ``sequence``.
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
    """Acknowledgement of the transfer with this number."""

    number: int


@message
class ShareNotice:
    """Notice that the shares of ``origins``, their owners, are held at ``address``."""

    address: Address
    origins: tuple[InstanceId, ...]
