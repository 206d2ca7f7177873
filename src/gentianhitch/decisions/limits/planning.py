"""Plan which rate to borrow from whom."""

from __future__ import annotations

import math
from collections import defaultdict

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

SETTLED = 0.75
"""Part of a loan down to which a smaller demand leaves it as it is."""

GROWN = 1.1
"""Factor on a loan from which a larger demand is asked for at once."""

ANSWER_S = 1.0
"""Time for which an answer is awaited before a lender is asked again."""

RENEW_S = 1.2
"""Remaining lease at which a loan is renewed."""


class RatePlanner:
    """Spread the demand of a workspace over its lenders."""

    def __init__(self, lenders: Lenders, asks: AskBook) -> None:
        self._lenders = lenders
        self._asks = asks
        self._short_by_lender: dict[tuple[str, InstanceId], float] = {}

    def note_short(self, workspace: str, origin: InstanceId, rate: float) -> None:
        """Remember that a lender granted only ``rate``."""
        self._short_by_lender[workspace, origin] = rate

    def plan(
        self, budget: Budget, demand: float, now: float, *, kept_s: float = math.inf
    ) -> dict[Address, list[LoanWanted]]:
        """Return what to ask of each lender so that loans follow the demand.

        A loan that shrinks keeps the tokens of ``kept_s`` seconds at most.
        """
        missing = 0.0
        if demand * LOAN_S >= MIN_BORROWED_REQUESTS:
            missing = max(0.0, HEADROOM * demand - budget.own_share().rate)
        items_by_address: dict[Address, list[LoanWanted]] = defaultdict(list)
        for lender in self._lenders.all(budget.workspace):
            key = (budget.workspace, lender.origin)
            expected = min(
                missing,
                lender.share.rate,
                self._short_by_lender.pop(key, lender.share.rate),
            )
            loan = budget.loans_by_origin.get(lender.origin)
            wanted = min(missing, lender.share.rate)
            recalled = kept_s < math.inf
            due = recalled or self._is_due(key, loan, wanted, now)
            if due and (expected > 0.0 or loan is not None):
                item = self._want_rate(budget, lender, loan, wanted, now, kept_s=kept_s)
                items_by_address[lender.address].append(item)
            missing -= expected
        return items_by_address

    def _is_due(
        self, key: tuple[str, InstanceId], loan: Loan | None, wanted: float, now: float
    ) -> bool:
        ask = self._asks.pending_rate(*key)
        if ask is not None and now - ask.asked < ANSWER_S:
            return False
        if loan is None or loan.end - now < RENEW_S:
            return True
        rate = loan.bucket.rate
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
