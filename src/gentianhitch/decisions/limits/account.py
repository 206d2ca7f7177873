"""Account of one origin's share in a workspace, with what is lent from it."""

from __future__ import annotations

import math

import attrs

from gentianhitch.decisions.limits.bucket import TokenBucket
from gentianhitch.decisions.limits.constants import CLOCK_MARGIN
from gentianhitch.decisions.limits.constants import IDLE_S
from gentianhitch.decisions.limits.constants import LOAN_S
from gentianhitch.decisions.limits.constants import MIN_LOAN_BURST
from gentianhitch.decisions.limits.constants import RECALL_S
from gentianhitch.decisions.limits.constants import URGENT_LOAN_S
from gentianhitch.decisions.limits.messages import LoanGranted
from gentianhitch.decisions.limits.messages import LoanWanted
from gentianhitch.decisions.limits.shares import NOTHING
from gentianhitch.decisions.limits.shares import Share
from gentianhitch.instances.identity import InstanceId


@attrs.define
class Lending:
    """One grant, kept out of the account until ``end`` by the lender's clock."""

    number: int
    lent: Share
    end: float


@attrs.define
class BorrowerRecord:
    """What one borrower wants and may still hold."""

    wanted_rate: float = 0.0
    asked: float = -math.inf
    last_number: int = 0
    lendings: list[Lending] = attrs.Factory(list)

    def outstanding(self) -> Share:
        """Return the most that the borrower can hold: one grant at a time."""
        return Share(
            max((lending.lent.rate for lending in self.lendings), default=0.0),
            max((lending.lent.burst for lending in self.lendings), default=0.0),
        )


def fair_level(capacity: float, wants: list[float]) -> float:
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
    """Spend and lend the share of ``origin`` in one workspace."""

    origin: InstanceId
    bucket: TokenBucket
    share: Share = NOTHING
    records_by_borrower: dict[InstanceId, BorrowerRecord] = attrs.Factory(dict)
    _urgent: dict[tuple[InstanceId, int], Lending] = attrs.Factory(dict)
    _lent: Share = NOTHING
    _next_end: float = math.inf
    _recalled: float = -math.inf

    @property
    def lent(self) -> Share:
        """Return the sum of what borrowers may still hold."""
        return self._lent

    def lent_until(self) -> float:
        """Return the time at which the last lease ends."""
        leases = [lending.end for lending in self._lendings()]
        return max(leases, default=-math.inf)

    def settle(self, now: float, share: Share | None = None) -> None:
        """Refill until ``now``, end leases, and change to ``share`` if given."""
        if now >= self._next_end:
            self._count_lent(now)
        if share is not None:
            self.share = share
        self.bucket.resize(
            max(0.0, self.share.rate - self._lent.rate),
            max(0.0, self.share.burst - self._lent.burst),
            now,
        )

    def lend_tokens(
        self, borrower: InstanceId, wanted: LoanWanted, now: float
    ) -> LoanGranted | None:
        """Grant tokens for requests that wait; None for a copy of a request."""
        self.settle(now)
        if (borrower, wanted.number) in self._urgent:
            return None
        tokens = self.bucket.remove(wanted.tokens)
        lent = Share(0.0, tokens)
        if tokens > 0.0:
            end = now + URGENT_LOAN_S * CLOCK_MARGIN
            self._urgent[borrower, wanted.number] = Lending(wanted.number, lent, end)
            self._count_lent(now)
            self.settle(now)
        return LoanGranted(wanted.number, lent, tokens, self.share)

    def take_tokens_back(
        self, borrower: InstanceId, number: int, tokens: float, now: float
    ) -> None:
        """End an urgent loan and keep its unspent tokens; a copy has no effect."""
        self.settle(now)
        if self._urgent.pop((borrower, number), None) is not None:
            self._count_lent(now)
            self.settle(now)
            self.bucket.add(tokens)

    def lend_rate(
        self,
        borrower: InstanceId,
        wanted: LoanWanted,
        own_rate: float,
        now: float,
        *,
        returned: float,
    ) -> LoanGranted | None:
        """Grant a fair part of the rate; None for a request already answered."""
        self.settle(now)
        record = self.records_by_borrower.setdefault(borrower, BorrowerRecord())
        if wanted.number <= record.last_number:
            return None
        record.wanted_rate = wanted.rate
        record.asked = now
        self._take_back(record, wanted, returned, now)
        lent = self._fair_part(record, wanted.rate, own_rate, now)
        held_rate = wanted.held.rate if wanted.holding else 0.0
        tokens = self._tokens_for(max(0.0, lent.rate - held_rate))
        if lent.rate > 0.0:
            end = now + LOAN_S * CLOCK_MARGIN
            record.lendings.append(Lending(wanted.number, lent, end))
        self._count_lent(now)
        self.settle(now)
        return LoanGranted(wanted.number, lent, tokens, self.share)

    def to_recall(self, now: float) -> list[InstanceId]:
        """Return the borrowers of rate to recall from, at most every RECALL_S."""
        if now - self._recalled < RECALL_S or not self._lent.rate:
            return []
        self._recalled = now
        return [
            borrower
            for borrower, record in self.records_by_borrower.items()
            # Who got less than it wanted has nothing to return.
            if record.lendings and record.wanted_rate <= record.outstanding().rate
        ]

    def _take_back(
        self, record: BorrowerRecord, wanted: LoanWanted, returned: float, now: float
    ) -> None:
        record.last_number = wanted.number
        kept = [one for one in record.lendings if one.number == wanted.holding]
        for lending in kept:
            lending.lent = lending.lent.least(wanted.held)
        had_lending = bool(record.lendings)
        record.lendings = kept
        self._count_lent(now)
        self.settle(now)
        # Without a live lending this could be a late copy whose tokens were
        # already counted.
        if had_lending:
            self.bucket.add(returned)

    def _fair_part(
        self, record: BorrowerRecord, wanted: float, own_rate: float, now: float
    ) -> Share:
        if self.share.rate <= 0.0 or wanted <= 0.0:
            return NOTHING
        recent = [
            one.wanted_rate
            for one in self.records_by_borrower.values()
            if now - one.asked <= LOAN_S
        ]
        level = fair_level(self.share.rate, [own_rate, *recent])
        held = record.outstanding()
        free_rate = self.share.rate - (self._lent.rate - held.rate)
        free_burst = self.share.burst - (self._lent.burst - held.burst)
        rate = min(wanted, level, free_rate - min(own_rate, level))
        if rate <= 0.0:
            return NOTHING
        burst = min(free_burst, self.share.burst * rate / self.share.rate)
        # A bucket below one request fills up and admits nothing; such a workspace
        # is served by loans of tokens.
        return NOTHING if burst < MIN_LOAN_BURST else Share(rate, burst)

    def _tokens_for(self, rate: float) -> float:
        # Tokens go with the cap, or what exceeds the lender's new cap is lost.
        part = rate / max(rate, self.bucket.rate) if rate > 0.0 else 0.0
        return self.bucket.remove(part * self.bucket.tokens)

    def _lendings(self) -> list[Lending]:
        records = self.records_by_borrower.values()
        by_rate = [lending for record in records for lending in record.lendings]
        return by_rate + list(self._urgent.values())

    def _count_lent(self, now: float) -> None:
        self._urgent = {
            key: lending for key, lending in self._urgent.items() if lending.end > now
        }
        for record in self.records_by_borrower.values():
            record.lendings = [one for one in record.lendings if one.end > now]
        self._forget_borrowers(now)
        held = [one.outstanding() for one in self.records_by_borrower.values()]
        held += [lending.lent for lending in self._urgent.values()]
        self._lent = Share(
            sum(share.rate for share in held), sum(share.burst for share in held)
        )
        ends = [lending.end for lending in self._lendings()]
        self._next_end = min(ends, default=math.inf)

    def _forget_borrowers(self, now: float) -> None:
        self.records_by_borrower = {
            borrower: record
            for borrower, record in self.records_by_borrower.items()
            if record.lendings or now - record.asked < IDLE_S
        }
