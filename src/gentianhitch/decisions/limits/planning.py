"""Plan which rate to borrow from whom."""

from __future__ import annotations

import math
from collections import defaultdict

import attrs

from gentianhitch.addresses import Address
from gentianhitch.decisions.limits.asks import AskBook
from gentianhitch.decisions.limits.budget import Budget
from gentianhitch.decisions.limits.constants import HEADROOM
from gentianhitch.decisions.limits.constants import LOAN_S
from gentianhitch.decisions.limits.constants import MIN_BORROWED_REQUESTS
from gentianhitch.decisions.limits.lenders import Lendable
from gentianhitch.decisions.limits.lenders import Lenders
from gentianhitch.decisions.limits.loans import Loan
from gentianhitch.decisions.limits.messages import LoanWanted
from gentianhitch.decisions.limits.shares import NOTHING
from gentianhitch.instances.identity import InstanceId

KEPT_S = 0.1
"""Time for which a borrower keeps tokens when a loan is recalled."""

SETTLED = 0.75
"""Part of a loan down to which a smaller demand leaves it as it is."""

GROWN = 1.1
"""Factor on a loan from which a larger demand is asked for at once."""

ANSWER_S = 1.0
"""Time for which an answer is awaited before a lender is asked again."""

RENEW_S = 1.2
"""Remaining lease at which a loan is renewed."""


SHORT_S = 0.25
"""Time for which a lender that granted less is not asked for more."""


@attrs.frozen
class Short:
    """What a lender granted when it could not grant all."""

    rate: float
    until: float


class RatePlanner:
    """Spread the demand of a workspace over its lenders."""

    def __init__(self, lenders: Lenders, asks: AskBook) -> None:
        self._lenders = lenders
        self._asks = asks
        self._short_by_lender: dict[tuple[str, InstanceId], Short] = {}

    def note_short(
        self, workspace: str, origin: InstanceId, rate: float, now: float
    ) -> None:
        """Remember that a lender granted only ``rate``."""
        self._short_by_lender[workspace, origin] = Short(rate, now + SHORT_S)

    def is_needed(self, budget: Budget, now: float) -> bool:
        """Tell whether the budget has loans or needs some."""
        requests = budget.demand.rate(now) * LOAN_S
        return bool(budget.loans_by_origin) or requests >= MIN_BORROWED_REQUESTS

    def forget_short(self, now: float) -> None:
        """Drop what is known of lenders that may be asked for more again."""
        self._short_by_lender = {
            key: short
            for key, short in self._short_by_lender.items()
            if now < short.until + SHORT_S
        }

    def plan(
        self,
        budget: Budget,
        demand: float,
        now: float,
        *,
        recalled: InstanceId | None = None,
    ) -> dict[Address, list[LoanWanted]]:
        """Return what to ask of each lender so that loans follow the demand.

        After a recall by the lender of ``recalled``, only its loan shrinks, and it
        keeps the tokens of KEPT_S seconds at most.
        """
        kept_s = math.inf if recalled is None else KEPT_S
        missing = 0.0
        if demand * LOAN_S >= MIN_BORROWED_REQUESTS:
            missing = max(0.0, HEADROOM * demand - budget.own_share().rate)
        items_by_address: dict[Address, list[LoanWanted]] = defaultdict(list)
        for lender in self._lenders.all(budget.workspace):
            key = (budget.workspace, lender.origin)
            wanted = min(missing, lender.share.rate)
            expected = self._expected(key, wanted, now)
            loan = budget.loans_by_origin.get(lender.origin)
            if recalled is None:
                due = self._is_due(key, loan, wanted, now)
            else:
                due = lender.origin == recalled and _has_surplus(loan, wanted)
            if due and (expected > 0.0 or loan is not None):
                item = self._want_rate(budget, lender, loan, wanted, now, kept_s=kept_s)
                items_by_address[lender.address].append(item)
            missing -= expected
        return items_by_address

    def _expected(
        self, key: tuple[str, InstanceId], wanted: float, now: float
    ) -> float:
        short = self._short_by_lender.get(key)
        if short is None:
            return wanted
        if now >= short.until:
            del self._short_by_lender[key]
        return min(wanted, short.rate)

    def _is_due(
        self, key: tuple[str, InstanceId], loan: Loan | None, wanted: float, now: float
    ) -> bool:
        ask = self._asks.pending_rate(*key)
        if ask is not None and now - ask.asked < ANSWER_S:
            return False
        if loan is not None and loan.end - now < RENEW_S:
            return True
        rate = loan.bucket.rate if loan is not None else 0.0
        if wanted > rate and key in self._short_by_lender:
            return False
        return not SETTLED * rate <= wanted <= GROWN * rate

    def _want_rate(
        self,
        budget: Budget,
        lender: Lendable,
        loan: Loan | None,
        wanted: float,
        now: float,
        *,
        kept_s: float,
    ) -> LoanWanted:
        held, returned = NOTHING, 0.0
        if loan is not None:
            if SETTLED * loan.bucket.rate <= wanted < loan.bucket.rate:
                wanted = loan.bucket.rate
            held, returned = loan.shrink(wanted, now, kept_s=kept_s)
        ask = self._asks.open(budget.workspace, lender, now, rate=wanted)
        if loan is not None and wanted <= 0.0:
            del budget.loans_by_origin[lender.origin]
        return LoanWanted(
            ask.number,
            budget.workspace,
            lender.origin,
            lender.share,
            wanted,
            0.0,
            holding=loan.number if loan else 0,
            held=held,
            returned=returned,
        )


def _has_surplus(loan: Loan | None, wanted: float) -> bool:
    return loan is not None and wanted < SETTLED * loan.bucket.rate
