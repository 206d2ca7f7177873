"""Account of one owner's share in a workspace, with what is lent from it."""

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
    """One grant, kept out of the account until ``end`` by the lender's clock."""

    number: int
    lent: Share
    end: float


@attrs.define
class BorrowerRecord:
    """What one borrower wants and may still hold."""

    wanted_rate: float = 0.0
    requested_at: float = -math.inf
    last_number: int = 0
    loans: list[OutstandingLoan] = attrs.Factory(list)

    def outstanding(self) -> Share:
        """Return the most that the borrower can hold: one grant at a time."""
        return Share(
            max((loan.lent.rate for loan in self.loans), default=0.0),
            max((loan.lent.burst for loan in self.loans), default=0.0),
        )


def fair_limit(capacity: float, wants: list[float]) -> float:
    """Return the max-min fair bound on each want within ``capacity``."""
    remaining = capacity
    for index, want in enumerate(sorted(wants)):
        level = remaining / (len(wants) - index)
        if want >= level:
            return level
        remaining -= want
    return math.inf


@attrs.define
class Account:
    """Spend and lend the share of ``owner`` in one workspace."""

    owner: InstanceId
    bucket: TokenBucket
    share: Share = NO_SHARE
    records_by_borrower: dict[InstanceId, BorrowerRecord] = attrs.Factory(dict)
    _token_loans: dict[tuple[InstanceId, int], OutstandingLoan] = attrs.Factory(dict)
    _lent: Share = NO_SHARE
    _next_end: float = math.inf
    _last_recall: float = -math.inf

    @property
    def lent(self) -> Share:
        """Return the sum of what borrowers may still hold."""
        return self._lent

    def lent_until(self) -> float:
        """Return the time at which the last lease ends."""
        leases = [loan.end for loan in self._loans()]
        return max(leases, default=-math.inf)

    def settle(self, now: float, share: Share | None = None) -> None:
        """Refill until ``now``, end leases, and change to ``share`` if given."""
        if now >= self._next_end:
            self._update_lent(now)
        if share is not None:
            self.share = share
        self.bucket.resize(
            max(0.0, self.share.rate - self._lent.rate),
            max(0.0, self.share.burst - self._lent.burst),
            now,
        )

    def lend_tokens(
        self, borrower: InstanceId, wanted: LoanRequestItem, now: float
    ) -> LoanGrantItem | None:
        """Grant tokens for requests that wait; None for a copy of a request."""
        self.settle(now)
        if (borrower, wanted.number) in self._token_loans:
            return None
        tokens = self.bucket.remove(wanted.tokens)
        lent = Share(0.0, tokens)
        if tokens > 0.0:
            end = now + TOKEN_LOAN_LEASE_S * CLOCK_DRIFT_FACTOR
            self._token_loans[borrower, wanted.number] = OutstandingLoan(
                wanted.number, lent, end
            )
            self._update_lent(now)
            self.settle(now)
        return LoanGrantItem(wanted.number, lent, tokens, self.share)

    def accept_returned_tokens(
        self, borrower: InstanceId, number: int, tokens: float, now: float
    ) -> None:
        """End an urgent loan and keep its unspent tokens; a copy has no effect."""
        self.settle(now)
        if self._token_loans.pop((borrower, number), None) is not None:
            self._update_lent(now)
            self.settle(now)
            self.bucket.add(tokens)

    def lend_rate(
        self,
        borrower: InstanceId,
        wanted: LoanRequestItem,
        own_rate: float,
        now: float,
        *,
        returned: float,
    ) -> LoanGrantItem | None:
        """Grant a fair part of the rate; None for a request already answered."""
        self.settle(now)
        record = self.records_by_borrower.setdefault(borrower, BorrowerRecord())
        if wanted.number <= record.last_number:
            return None
        record.wanted_rate = wanted.rate
        record.requested_at = now
        self._apply_return(record, wanted, returned, now)
        lent = self._fair_share(record, wanted.rate, own_rate, now)
        held_rate = wanted.held.rate if wanted.holding else 0.0
        tokens = self._take_tokens_for(max(0.0, lent.rate - held_rate))
        if lent.rate > 0.0:
            end = now + RATE_LOAN_LEASE_S * CLOCK_DRIFT_FACTOR
            record.loans.append(OutstandingLoan(wanted.number, lent, end))
        self._update_lent(now)
        self.settle(now)
        return LoanGrantItem(wanted.number, lent, tokens, self.share)

    def borrowers_to_recall(self, now: float) -> list[InstanceId]:
        """Return the borrowers of rate to recall from."""
        if now - self._last_recall < MIN_RECALL_INTERVAL_S or not self._lent.rate:
            return []
        self._last_recall = now
        return [
            borrower
            for borrower, record in self.records_by_borrower.items()
            # Who got less than it wanted has nothing to return.
            if record.loans and record.wanted_rate <= record.outstanding().rate
        ]

    def _apply_return(
        self,
        record: BorrowerRecord,
        wanted: LoanRequestItem,
        returned: float,
        now: float,
    ) -> None:
        record.last_number = wanted.number
        kept = [loan for loan in record.loans if loan.number == wanted.holding]
        for loan in kept:
            loan.lent = loan.lent.least(wanted.held)
        had_loan = bool(record.loans)
        record.loans = kept
        self._update_lent(now)
        self.settle(now)
        # Without a live loan this could be a late copy whose tokens were
        # already counted.
        if had_loan:
            self.bucket.add(returned)

    def _fair_share(
        self, record: BorrowerRecord, wanted: float, own_rate: float, now: float
    ) -> Share:
        if self.share.rate <= 0.0 or wanted <= 0.0:
            return NO_SHARE
        recent = [
            record.wanted_rate
            for record in self.records_by_borrower.values()
            if now - record.requested_at <= RATE_LOAN_LEASE_S
        ]
        level = fair_limit(self.share.rate, [own_rate, *recent])
        held = record.outstanding()
        free_rate = self.share.rate - (self._lent.rate - held.rate)
        free_burst = self.share.burst - (self._lent.burst - held.burst)
        rate = min(wanted, level, free_rate - min(own_rate, level))
        if rate <= 0.0:
            return NO_SHARE
        burst = min(free_burst, self.share.burst * rate / self.share.rate)
        # A bucket below one request fills up and admits nothing; such a workspace
        # is served by loans of tokens.
        return NO_SHARE if burst < MIN_LOAN_BURST else Share(rate, burst)

    def _take_tokens_for(self, rate: float) -> float:
        # Tokens go with the cap, or what exceeds the lender's new cap is lost.
        part = rate / max(rate, self.bucket.rate) if rate > 0.0 else 0.0
        return self.bucket.remove(part * self.bucket.tokens)

    def _loans(self) -> list[OutstandingLoan]:
        records = self.records_by_borrower.values()
        by_rate = [loan for record in records for loan in record.loans]
        return by_rate + list(self._token_loans.values())

    def _update_lent(self, now: float) -> None:
        self._token_loans = {
            key: loan for key, loan in self._token_loans.items() if loan.end > now
        }
        for record in self.records_by_borrower.values():
            record.loans = [loan for loan in record.loans if loan.end > now]
        self._evict_borrowers(now)
        held = [record.outstanding() for record in self.records_by_borrower.values()]
        held += [loan.lent for loan in self._token_loans.values()]
        self._lent = Share(
            sum(share.rate for share in held), sum(share.burst for share in held)
        )
        ends = [loan.end for loan in self._loans()]
        self._next_end = min(ends, default=math.inf)

    def _evict_borrowers(self, now: float) -> None:
        self.records_by_borrower = {
            borrower: record
            for borrower, record in self.records_by_borrower.items()
            if record.loans or now - record.requested_at < IDLE_TIMEOUT_S
        }
