"""Plan the rate loans to request from each lender."""

from __future__ import annotations

import math
from collections import defaultdict

import attrs

from gentianhitch.addresses import Address
from gentianhitch.decisions.limits.asks import PendingRequests
from gentianhitch.decisions.limits.budget import Budget
from gentianhitch.decisions.limits.constants import DEMAND_HEADROOM
from gentianhitch.decisions.limits.constants import MIN_REQUESTS_PER_LEASE
from gentianhitch.decisions.limits.constants import RATE_LOAN_LEASE_S
from gentianhitch.decisions.limits.lenders import LenderCandidate
from gentianhitch.decisions.limits.lenders import LenderSelector
from gentianhitch.decisions.limits.loans import Loan
from gentianhitch.decisions.limits.messages import LoanRequestItem
from gentianhitch.decisions.limits.shares import NO_SHARE
from gentianhitch.instances.identity import InstanceId

RECALL_RESERVE_S = 0.1
"""Time at the reduced rate for which a borrower keeps tokens after a recall."""

SHRINK_THRESHOLD = 0.75
"""Ratio of demand to loan down to which the loan is left unchanged."""

GROWTH_THRESHOLD = 1.1
"""Ratio of demand to loan above which more is requested before the renewal."""

GRANT_TIMEOUT_S = 1.0
"""Time after which a rate request without a grant is repeated."""

RENEW_BEFORE_EXPIRY_S = 1.2
"""Remaining lease below which a loan is renewed."""


PARTIAL_GRANT_S = 0.25
"""Time after a partial grant in which no more rate is requested."""


@attrs.frozen
class PartialGrant:
    """The rate that a lender granted of a larger request, valid for a while."""

    rate: float
    until: float


class RatePlanner:
    """Divide the demand for a workspace that exceeds the own share among lenders."""

    def __init__(self, lenders: LenderSelector, pending: PendingRequests) -> None:
        self._lenders = lenders
        self._pending = pending
        self._partial_grants_by_lender: dict[tuple[str, InstanceId], PartialGrant] = {}

    def record_partial_grant(
        self, workspace: str, owner: InstanceId, rate: float, now: float
    ) -> None:
        """Record that a lender granted only ``rate`` of a request."""
        self._partial_grants_by_lender[workspace, owner] = PartialGrant(
            rate, now + PARTIAL_GRANT_S
        )

    def is_needed(self, budget: Budget, now: float) -> bool:
        """Return whether the budget has rate loans or enough demand for one."""
        requests = budget.demand.rate(now) * RATE_LOAN_LEASE_S
        return bool(budget.rate_loans_by_owner) or requests >= MIN_REQUESTS_PER_LEASE

    def expire_partial_grants(self, now: float) -> None:
        """Remove records that expired more than PARTIAL_GRANT_S ago."""
        self._partial_grants_by_lender = {
            key: partial
            for key, partial in self._partial_grants_by_lender.items()
            if now < partial.until + PARTIAL_GRANT_S
        }

    def plan(
        self,
        budget: Budget,
        demand: float,
        now: float,
        *,
        recalled: InstanceId | None = None,
    ) -> dict[Address, list[LoanRequestItem]]:
        """Return the request items per lender that adapt the loans to ``demand``.

        After a recall of the share of ``recalled``, only that loan is reduced, and
        its tokens are reduced to those for RECALL_RESERVE_S.
        """
        kept_s = math.inf if recalled is None else RECALL_RESERVE_S
        missing = 0.0
        if demand * RATE_LOAN_LEASE_S >= MIN_REQUESTS_PER_LEASE:
            missing = max(0.0, DEMAND_HEADROOM * demand - budget.total_share().rate)
        items_by_address: dict[Address, list[LoanRequestItem]] = defaultdict(list)
        for lender in self._lenders.candidates(budget.workspace):
            key = (budget.workspace, lender.owner)
            wanted = min(missing, lender.share.rate)
            expected = self._expected(key, wanted, now)
            loan = budget.rate_loans_by_owner.get(lender.owner)
            if recalled is None:
                due = self._is_due(key, loan, wanted, now)
            else:
                due = lender.owner == recalled and _has_surplus(loan, wanted)
            if due and (expected > 0.0 or loan is not None):
                item = self._build_item(
                    budget, lender, loan, wanted, now, kept_s=kept_s
                )
                items_by_address[lender.address].append(item)
            missing -= expected
        return items_by_address

    def _expected(
        self, key: tuple[str, InstanceId], wanted: float, now: float
    ) -> float:
        partial = self._partial_grants_by_lender.get(key)
        if partial is None:
            return wanted
        if now >= partial.until:
            del self._partial_grants_by_lender[key]
        return min(wanted, partial.rate)

    def _is_due(
        self, key: tuple[str, InstanceId], loan: Loan | None, wanted: float, now: float
    ) -> bool:
        pending = self._pending.find_rate_request(*key)
        if pending is not None and now - pending.requested_at < GRANT_TIMEOUT_S:
            return False
        if loan is not None and loan.expires_at - now < RENEW_BEFORE_EXPIRY_S:
            return True
        rate = loan.bucket.rate if loan is not None else 0.0
        if wanted > rate and key in self._partial_grants_by_lender:
            return False
        return not SHRINK_THRESHOLD * rate <= wanted <= GROWTH_THRESHOLD * rate

    def _build_item(
        self,
        budget: Budget,
        lender: LenderCandidate,
        loan: Loan | None,
        wanted: float,
        now: float,
        *,
        kept_s: float,
    ) -> LoanRequestItem:
        held, returned = NO_SHARE, 0.0
        if loan is not None:
            if SHRINK_THRESHOLD * loan.bucket.rate <= wanted < loan.bucket.rate:
                wanted = loan.bucket.rate
            held, returned = loan.shrink(wanted, now, kept_s=kept_s)
        pending = self._pending.add(budget.workspace, lender, now, rate=wanted)
        if loan is not None and wanted <= 0.0:
            del budget.rate_loans_by_owner[lender.owner]
        return LoanRequestItem(
            pending.number,
            budget.workspace,
            lender.owner,
            lender.share,
            wanted,
            0.0,
            holding=loan.number if loan else 0,
            held=held,
            returned=returned,
        )


def _has_surplus(loan: Loan | None, wanted: float) -> bool:
    return loan is not None and wanted < SHRINK_THRESHOLD * loan.bucket.rate
