"""Borrow rate in rounds and apply the grants of lenders."""

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
    """Ask other holders for rate and tokens on behalf of this instance."""

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
        """Send one message to each lender."""
        newest = self._held_shares.log.newest
        for address, items in items_by_address.items():
            self._counters.events_by_name["loan_requests"] += 1
            request = LoanRequest(self.own_address, newest, tuple(items))
            self._transport.send(address, request)

    def request_tokens(
        self, workspace: str, lender: LenderCandidate, tokens: float, now: float
    ) -> int:
        """Ask a lender for tokens and return the request's number."""
        request = self.pending.open(workspace, lender, now, tokens=tokens)
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
        """Tell lenders which urgent loans are spent, so that their caps grow back."""
        spent = [loan for loan in budget.token_loans if loan.bucket.tokens <= 0.0]
        if spent:
            budget.token_loans = [
                loan for loan in budget.token_loans if loan.bucket.tokens > 0.0
            ]
            self._send_returns(budget.workspace, spent, now)

    def return_token_loans(self, budget: Budget, now: float) -> None:
        """Give the tokens of urgent loans back."""
        returned, budget.token_loans = budget.token_loans, []
        self._send_returns(budget.workspace, returned, now)

    def apply_grant(
        self, grant: LoanGrant, now: float
    ) -> list[tuple[PendingRequest, float]]:
        """Take the granted loans in; return each answered request and its tokens."""
        answered = []
        for item in grant.items:
            request = self.pending.close(item.number, now)
            if request is not None:
                self._apply_item(request, item, now)
                answered.append((request, item.tokens))
        return answered

    def handle_recall(self, recall: LoanRecall, now: float) -> None:
        """Return what this instance does not need of a recalled loan."""
        if not self._held_shares.is_fresh(now):
            return
        if self._held_shares.find_workspace(recall.workspace) is None:
            return
        budget = self._held_shares.budget(recall.workspace, now)
        if recall.origin in budget.rate_loans_by_owner:
            demand = budget.demand.rate_after_silence(now)
            self.send_requests(
                self.planner.plan(budget, demand, now, recalled=recall.origin)
            )

    def _send_returns(self, workspace: str, loans: list[Loan], now: float) -> None:
        items_by_address: dict[Address, list[LoanReturnItem]] = defaultdict(list)
        for loan in loans:
            tokens = loan.bucket.tokens if now < loan.end else 0.0
            items_by_address[loan.lender].append(
                LoanReturnItem(loan.number, workspace, loan.owner, tokens)
            )
        for address, items in items_by_address.items():
            returned = LoanReturn(self._held_shares.log.newest, tuple(items))
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
        end = request.requested_at + (
            TOKEN_LOAN_LEASE_S if request.urgent else RATE_LOAN_LEASE_S
        )
        if now >= end or not self._is_covered(request, item, now):
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
                    end,
                    item.base,
                )
            )
            return
        self._replace_loan(budget, request, item, end, now)

    def _replace_loan(
        self,
        budget: Budget,
        request: PendingRequest,
        item: LoanGrantItem,
        end: float,
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
            request.number, request.owner, request.lender, bucket, end, item.base
        )

    def _is_covered(
        self, request: PendingRequest, item: LoanGrantItem, now: float
    ) -> bool:
        if not self._held_shares.is_fresh(now):
            return False
        log = self._held_shares.log
        passed = log.since(request.newest_sequence)
        if (
            passed is None
            or self._held_shares.find_workspace(request.workspace) is None
        ):
            return False
        states = (*passed, *log.active)
        share = self._held_shares.share_table.least(
            states, request.workspace, request.owner
        )
        return item.base.rate > 0.0 and share.covers(item.base)
