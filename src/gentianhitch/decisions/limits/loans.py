"""Loan requests and loans on the side of the borrower."""

from __future__ import annotations

import attrs

from gentianhitch.addresses import Address
from gentianhitch.decisions.limits.bucket import TokenBucket
from gentianhitch.decisions.limits.shares import Share
from gentianhitch.instances.identity import InstanceId


@attrs.define
class PendingRequest:
    """A loan request without a grant so far.

    ``newest_sequence`` is that of the newest state known when it was sent.
    """

    number: int
    workspace: str
    owner: InstanceId
    lender: Address
    requested_at: float
    rate: float
    tokens: float
    urgent: bool
    newest_sequence: int


@attrs.define
class Loan:
    """A part of a share, borrowed until ``expires_at`` on the borrower's clock.

    ``base`` is the lender's share at the time of the grant.
    """

    number: int
    owner: InstanceId
    lender: Address
    bucket: TokenBucket
    expires_at: float
    base: Share

    def settle(self, now: float) -> None:
        """Refill until ``now``; an expired loan loses its tokens."""
        if now >= self.expires_at:
            self.bucket.resize(0.0, 0.0, now)
        else:
            self.bucket.refill(now)

    def shrink(self, rate: float, now: float, *, kept_s: float) -> tuple[Share, float]:
        """Reduce the loan to ``rate``; return the remaining share and freed tokens.

        The capacity shrinks in proportion. Tokens for at most ``kept_s`` seconds at
        the new rate are kept.
        """
        self.settle(now)
        bucket = self.bucket
        if rate >= bucket.rate:
            return Share(bucket.rate, bucket.capacity), 0.0
        cap = bucket.capacity * rate / bucket.rate
        freed = bucket.remove(bucket.tokens - min(cap, rate * kept_s))
        bucket.resize(rate, cap, now)
        return Share(rate, cap), freed
