"""Request loans from other instances and apply their grants."""

from __future__ import annotations

from collections import defaultdict

from gentianhitch.addresses import Address
from gentianhitch.decisions.limits.asks import PendingRequests
from gentianhitch.decisions.limits.bucket import TokenBucket
from gentianhitch.decisions.limits.budget import Budget
from gentianhitch.decisions.limits.constants import RATE_LOAN_LEASE_S
from gentianhitch.decisions.limits.constants import TOKEN_LOAN_LEASE_S
from gentianhitch.decisions.limits.counters import LimitCounters
from gentianhitch.decisions.limits.holdings import HeldShares
from gentianhitch.decisions.limits.lenders import LenderCandidate
from gentianhitch.decisions.limits.lenders import LenderSelector
from gentianhitch.decisions.limits.loans import Loan
from gentianhitch.decisions.limits.loans import PendingRequest
from gentianhitch.decisions.limits.messages import LoanGrant
from gentianhitch.decisions.limits.messages import LoanGrantItem
from gentianhitch.decisions.limits.messages import LoanRecall
from gentianhitch.decisions.limits.messages import LoanRequest
from gentianhitch.decisions.limits.messages import LoanRequestItem
from gentianhitch.decisions.limits.messages import LoanReturn
from gentianhitch.decisions.limits.messages import LoanReturnItem
from gentianhitch.decisions.limits.peers import PeerDirectory
from gentianhitch.decisions.limits.planning import RatePlanner
from gentianhitch.instances.transport import Transport


class Borrower:
    """Request rate and token loans, apply grants and return unused tokens."""

    def __init__(
        self,
        held_shares: HeldShares,
        peers: PeerDirectory,
        transport: Transport,
        own_address: Address,
        counters: LimitCounters,
    ) -> None:
        self.own_address = own_address
        self.lenders = LenderSelector(held_shares, peers)
        self.pending = PendingRequests(held_shares, peers)
        self.planner = RatePlanner(self.lenders, self.pending)
        self._held_shares = held_shares
        self._peers = peers
        self._transport = transport
        self._counters = counters

    def send_requests(
        self, items_by_address: dict[Address, list[LoanRequestItem]]
    ) -> None:
        """Send the request items, one message per lender."""
        newest = self._held_shares.log.newest_sequence
        for address, items in items_by_address.items():
            self._counters.events_by_name["loan_requests"] += 1
            request = LoanRequest(self.own_address, newest, tuple(items))
            self._transport.send(address, request)

    def request_tokens(
        self, workspace: str, lender: LenderCandidate, tokens: float, now: float
    ) -> int:
        """Request a token loan from a lender and return the request's number."""
        request = self.pending.add(workspace, lender, now, tokens=tokens)
        item = LoanRequestItem(
            request.number,
            workspace,
            lender.owner,
            lender.share,
            0.0,
            tokens,
            urgent=True,
        )
        self.send_requests({lender.address: [item]})
        return request.number

    def return_spent_loans(self, budget: Budget, now: float) -> None:
        """Return spent token loans, which restores the lenders' bucket capacity."""
        spent = [loan for loan in budget.token_loans if loan.bucket.tokens <= 0.0]
        if spent:
            budget.token_loans = [
                loan for loan in budget.token_loans if loan.bucket.tokens > 0.0
            ]
            self._send_returns(budget.workspace, spent, now)

    def return_token_loans(self, budget: Budget, now: float) -> None:
        """Return all token loans with their unspent tokens."""
        returned, budget.token_loans = budget.token_loans, []
        self._send_returns(budget.workspace, returned, now)

    def apply_grant(
        self, grant: LoanGrant, now: float
    ) -> list[tuple[PendingRequest, float]]:
        """Add the granted loans to budgets; return requests and granted tokens."""
        granted = []
        for item in grant.items:
            request = self.pending.pop(item.number, now)
            if request is not None:
                self._apply_item(request, item, now)
                granted.append((request, item.tokens))
        return granted

    def handle_recall(self, recall: LoanRecall, now: float) -> None:
        """Return the part of a recalled rate loan that exceeds the demand."""
        if not self._held_shares.is_fresh(now):
            return
        if self._held_shares.find_workspace(recall.workspace) is None:
            return
        budget = self._held_shares.budget(recall.workspace, now)
        if recall.origin in budget.rate_loans_by_owner:
            demand = budget.demand.rate_after_idle(now)
            self.send_requests(
                self.planner.plan(budget, demand, now, recalled=recall.origin)
            )

    def _send_returns(self, workspace: str, loans: list[Loan], now: float) -> None:
        items_by_address: dict[Address, list[LoanReturnItem]] = defaultdict(list)
        for loan in loans:
            tokens = loan.bucket.tokens if now < loan.expires_at else 0.0
            items_by_address[loan.lender].append(
                LoanReturnItem(loan.number, workspace, loan.owner, tokens)
            )
        for address, items in items_by_address.items():
            returned = LoanReturn(self._held_shares.log.newest_sequence, tuple(items))
            self._transport.send(address, returned)

    def _apply_item(
        self, request: PendingRequest, item: LoanGrantItem, now: float
    ) -> None:
        if item.base.rate <= 0.0:
            self._peers.remove_holder(request.owner, request.lender)
        if not request.urgent and item.lent.rate < request.rate:
            self.planner.record_partial_grant(
                request.workspace, request.owner, item.lent.rate, now
            )
        expires_at = request.requested_at + (
            TOKEN_LOAN_LEASE_S if request.urgent else RATE_LOAN_LEASE_S
        )
        if now >= expires_at or not self._is_covered(request, item, now):
            return
        budget = self._held_shares.budget(request.workspace, now)
        if request.urgent:
            bucket = TokenBucket(0.0, item.lent.burst, now)
            bucket.add(item.tokens)
            budget.token_loans.append(
                Loan(
                    request.number,
                    request.owner,
                    request.lender,
                    bucket,
                    expires_at,
                    item.base,
                )
            )
            return
        self._replace_loan(budget, request, item, expires_at, now)

    def _replace_loan(
        self,
        budget: Budget,
        request: PendingRequest,
        item: LoanGrantItem,
        expires_at: float,
        now: float,
    ) -> None:
        loan = budget.rate_loans_by_owner.get(request.owner)
        if item.lent.rate <= 0.0:
            return
        bucket = TokenBucket(item.lent.rate, item.lent.burst, now)
        if loan is not None:
            loan.settle(now)
            bucket.add(loan.bucket.tokens)
        bucket.add(item.tokens)
        budget.rate_loans_by_owner[request.owner] = Loan(
            request.number, request.owner, request.lender, bucket, expires_at, item.base
        )

    def _is_covered(
        self, request: PendingRequest, item: LoanGrantItem, now: float
    ) -> bool:
        if not self._held_shares.is_fresh(now):
            return False
        log = self._held_shares.log
        later_states = log.after(request.newest_sequence)
        if (
            later_states is None
            or self._held_shares.find_workspace(request.workspace) is None
        ):
            return False
        states = (*later_states, *log.active)
        share = self._held_shares.share_table.minimum_share(
            states, request.workspace, request.owner
        )
        return item.base.rate > 0.0 and share.covers(item.base)
