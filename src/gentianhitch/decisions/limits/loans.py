"""Loans as the borrower holds them."""

from __future__ import annotations

import attrs

from gentianhitch.addresses import Address
from gentianhitch.decisions.limits.bucket import TokenBucket
from gentianhitch.decisions.limits.shares import Share
from gentianhitch.instances.identity import InstanceId


@attrs.define
class PendingRequest:
    """A request that was sent to a lender and not answered yet."""

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
    """Spend a part of a lender's share until ``end`` by the borrower's clock."""

    number: int
    owner: InstanceId
    lender: Address
    bucket: TokenBucket
    end: float
    base: Share

    def settle(self, now: float) -> None:
        """Refill until ``now``; a loan whose lease has ended holds nothing."""
        if now >= self.end:
            self.bucket.resize(0.0, 0.0, now)
        else:
            self.bucket.refill(now)

    def shrink(self, rate: float, now: float, *, kept_s: float) -> tuple[Share, float]:
        """Give up all but ``rate``; return what is held and the tokens freed.

        The cap shrinks in proportion, and tokens of ``kept_s`` at most stay.
        """
        self.settle(now)
        bucket = self.bucket
        if rate >= bucket.rate:
            return Share(bucket.rate, bucket.capacity), 0.0
        cap = bucket.capacity * rate / bucket.rate
        freed = bucket.remove(bucket.tokens - min(cap, rate * kept_s))
        bucket.resize(rate, cap, now)
        return Share(rate, cap), freed
