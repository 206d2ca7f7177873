"""Account of one owner's share of a workspace and of the loans granted from it."""

from __future__ import annotations

import math

import attrs

from gentianhitch.decisions.limits.bucket import TokenBucket
from gentianhitch.decisions.limits.constants import CLOCK_DRIFT_FACTOR
from gentianhitch.decisions.limits.constants import IDLE_TIMEOUT_S
from gentianhitch.decisions.limits.constants import MIN_LOAN_BURST
from gentianhitch.decisions.limits.constants import MIN_RECALL_INTERVAL_S
from gentianhitch.decisions.limits.constants import RATE_LOAN_LEASE_S
from gentianhitch.decisions.limits.constants import TOKEN_LOAN_LEASE_S
from gentianhitch.decisions.limits.messages import LoanGrantItem
from gentianhitch.decisions.limits.messages import LoanRequestItem
from gentianhitch.decisions.limits.shares import NO_SHARE
from gentianhitch.decisions.limits.shares import Share
from gentianhitch.instances.identity import InstanceId


@attrs.define
class OutstandingLoan:
    """A grant that reduces the account until ``expires_at`` on the lender's clock."""

    number: int
    lent: Share
    expires_at: float


@attrs.define
class BorrowerRecord:
    """The last request of a borrower and the loans that it may still hold."""

    requested_rate: float = 0.0
    requested_at: float = -math.inf
    last_number: int = 0
    loans: list[OutstandingLoan] = attrs.Factory(list)

    def outstanding(self) -> Share:
        """Return the largest loan, as a borrower holds one grant at a time."""
        return Share(
            max((loan.lent.rate for loan in self.loans), default=0.0),
            max((loan.lent.burst for loan in self.loans), default=0.0),
        )


def fair_limit(capacity: float, demands: list[float]) -> float:
    """Return the max-min fair limit per demand when ``capacity`` is divided."""
    remaining = capacity
    for index, demand in enumerate(sorted(demands)):
        limit = remaining / (len(demands) - index)
        if demand >= limit:
            return limit
        remaining -= demand
    return math.inf


@attrs.define
class Account:
    """Token account of the share of ``owner`` in a workspace, less its loans."""

    owner: InstanceId
    bucket: TokenBucket
    share: Share = NO_SHARE
    records_by_borrower: dict[InstanceId, BorrowerRecord] = attrs.Factory(dict)
    _token_loans: dict[tuple[InstanceId, int], OutstandingLoan] = attrs.Factory(dict)
    _lent: Share = NO_SHARE
    _next_expiry: float = math.inf
    _last_recall: float = -math.inf

    @property
    def lent(self) -> Share:
        """The sum of rates and bursts that borrowers may still hold."""
        return self._lent

    def lent_until(self) -> float:
        """Return the latest expiry of a loan; minus infinity without loans."""
        leases = [loan.expires_at for loan in self._loans()]
        return max(leases, default=-math.inf)

    def settle(self, now: float, share: Share | None = None) -> None:
        """Refill until ``now``, expire loans, and change to ``share`` if given."""
        if now >= self._next_expiry:
            self._update_lent(now)
        if share is not None:
            self.share = share
        self.bucket.resize(
            max(0.0, self.share.rate - self._lent.rate),
            max(0.0, self.share.burst - self._lent.burst),
            now,
        )

    def lend_tokens(
        self, borrower: InstanceId, item: LoanRequestItem, now: float
    ) -> LoanGrantItem | None:
        """Grant tokens for waiting requests; None for a duplicate request."""
        self.settle(now)
        if (borrower, item.number) in self._token_loans:
            return None
        tokens = self.bucket.remove(item.tokens)
        lent = Share(0.0, tokens)
        if tokens > 0.0:
            expires_at = now + TOKEN_LOAN_LEASE_S * CLOCK_DRIFT_FACTOR
            self._token_loans[borrower, item.number] = OutstandingLoan(
                item.number, lent, expires_at
            )
            self._update_lent(now)
            self.settle(now)
        return LoanGrantItem(item.number, lent, tokens, self.share)

    def accept_returned_tokens(
        self, borrower: InstanceId, number: int, tokens: float, now: float
    ) -> None:
        """End a token loan and add its unspent tokens; duplicates have no effect."""
        self.settle(now)
        if self._token_loans.pop((borrower, number), None) is not None:
            self._update_lent(now)
            self.settle(now)
            self.bucket.add(tokens)

    def lend_rate(
        self,
        borrower: InstanceId,
        item: LoanRequestItem,
        reserved_rate: float,
        now: float,
        *,
        returned: float,
    ) -> LoanGrantItem | None:
        """Grant a max-min fair part of the rate; None for an outdated request.

        ``reserved_rate`` is the part in requests/s that the lender itself needs;
        ``returned`` is the number of tokens that the borrower returns.
        """
        self.settle(now)
        record = self.records_by_borrower.setdefault(borrower, BorrowerRecord())
        if item.number <= record.last_number:
            return None
        record.requested_rate = item.rate
        record.requested_at = now
        self._apply_return(record, item, returned, now)
        lent = self._fair_share(record, item.rate, reserved_rate, now)
        held_rate = item.held.rate if item.holding else 0.0
        tokens = self._take_tokens_for(max(0.0, lent.rate - held_rate))
        if lent.rate > 0.0:
            expires_at = now + RATE_LOAN_LEASE_S * CLOCK_DRIFT_FACTOR
            record.loans.append(OutstandingLoan(item.number, lent, expires_at))
        self._update_lent(now)
        self.settle(now)
        return LoanGrantItem(item.number, lent, tokens, self.share)

    def borrowers_to_recall(self, now: float) -> list[InstanceId]:
        """Return the borrowers of rate to send a recall to.

        Empty within MIN_RECALL_INTERVAL_S of the last recall.
        """
        if now - self._last_recall < MIN_RECALL_INTERVAL_S or not self._lent.rate:
            return []
        self._last_recall = now
        return [
            borrower
            for borrower, record in self.records_by_borrower.items()
            # A borrower that was granted less than it requested has no surplus.
            if record.loans and record.requested_rate <= record.outstanding().rate
        ]

    def _apply_return(
        self,
        record: BorrowerRecord,
        item: LoanRequestItem,
        returned: float,
        now: float,
    ) -> None:
        record.last_number = item.number
        kept = [loan for loan in record.loans if loan.number == item.holding]
        for loan in kept:
            loan.lent = loan.lent.minimum(item.held)
        had_loan = bool(record.loans)
        record.loans = kept
        self._update_lent(now)
        self.settle(now)
        # Without an unexpired loan this may be a late duplicate whose tokens have
        # already been counted.
        if had_loan:
            self.bucket.add(returned)

    def _fair_share(
        self,
        record: BorrowerRecord,
        requested_rate: float,
        reserved_rate: float,
        now: float,
    ) -> Share:
        if self.share.rate <= 0.0 or requested_rate <= 0.0:
            return NO_SHARE
        recent = [
            record.requested_rate
            for record in self.records_by_borrower.values()
            if now - record.requested_at <= RATE_LOAN_LEASE_S
        ]
        limit = fair_limit(self.share.rate, [reserved_rate, *recent])
        held = record.outstanding()
        free_rate = self.share.rate - (self._lent.rate - held.rate)
        free_burst = self.share.burst - (self._lent.burst - held.burst)
        rate = min(requested_rate, limit, free_rate - min(reserved_rate, limit))
        if rate <= 0.0:
            return NO_SHARE
        burst = min(free_burst, self.share.burst * rate / self.share.rate)
        # A bucket with a capacity below one token would never admit a request; such
        # a workspace is served by token loans.
        return NO_SHARE if burst < MIN_LOAN_BURST else Share(rate, burst)

    def _take_tokens_for(self, rate: float) -> float:
        # The tokens are lent in proportion to the rate: otherwise those above the
        # lender's reduced capacity would be discarded.
        part = rate / max(rate, self.bucket.rate) if rate > 0.0 else 0.0
        return self.bucket.remove(part * self.bucket.tokens)

    def _loans(self) -> list[OutstandingLoan]:
        records = self.records_by_borrower.values()
        by_rate = [loan for record in records for loan in record.loans]
        return by_rate + list(self._token_loans.values())

    def _update_lent(self, now: float) -> None:
        self._token_loans = {
            key: loan
            for key, loan in self._token_loans.items()
            if loan.expires_at > now
        }
        for record in self.records_by_borrower.values():
            record.loans = [loan for loan in record.loans if loan.expires_at > now]
        self._evict_borrowers(now)
        held = [record.outstanding() for record in self.records_by_borrower.values()]
        held += [loan.lent for loan in self._token_loans.values()]
        self._lent = Share(
            sum(share.rate for share in held), sum(share.burst for share in held)
        )
        ends = [loan.expires_at for loan in self._loans()]
        self._next_expiry = min(ends, default=math.inf)

    def _evict_borrowers(self, now: float) -> None:
        self.records_by_borrower = {
            borrower: record
            for borrower, record in self.records_by_borrower.items()
            if record.loans or now - record.requested_at < IDLE_TIMEOUT_S
        }
