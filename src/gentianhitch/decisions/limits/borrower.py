"""Borrow rate in rounds and apply the grants of lenders."""

from __future__ import annotations

from collections import defaultdict

from gentianhitch.addresses import Address
from gentianhitch.decisions.limits.asks import AskBook
from gentianhitch.decisions.limits.bucket import TokenBucket
from gentianhitch.decisions.limits.budget import Budget
from gentianhitch.decisions.limits.constants import LOAN_S
from gentianhitch.decisions.limits.constants import URGENT_LOAN_S
from gentianhitch.decisions.limits.counters import LimitCounters
from gentianhitch.decisions.limits.holdings import Holdings
from gentianhitch.decisions.limits.lenders import Lendable
from gentianhitch.decisions.limits.lenders import Lenders
from gentianhitch.decisions.limits.loans import Ask
from gentianhitch.decisions.limits.loans import Loan
from gentianhitch.decisions.limits.messages import LoanGrant
from gentianhitch.decisions.limits.messages import LoanGranted
from gentianhitch.decisions.limits.messages import LoanRecall
from gentianhitch.decisions.limits.messages import LoanRequest
from gentianhitch.decisions.limits.messages import LoanReturn
from gentianhitch.decisions.limits.messages import LoanWanted
from gentianhitch.decisions.limits.messages import TokensReturned
from gentianhitch.decisions.limits.peers import PeerBook
from gentianhitch.decisions.limits.planning import RatePlanner
from gentianhitch.instances.transport import Transport


class Borrower:
    """Ask other holders for rate and tokens on behalf of this instance."""

    def __init__(
        self,
        holdings: Holdings,
        peers: PeerBook,
        transport: Transport,
        own_address: Address,
        counters: LimitCounters,
    ) -> None:
        self.own_address = own_address
        self.lenders = Lenders(holdings, peers)
        self.asks = AskBook(holdings, peers)
        self.planner = RatePlanner(self.lenders, self.asks)
        self._holdings = holdings
        self._peers = peers
        self._transport = transport
        self._counters = counters

    def send(self, items_by_address: dict[Address, list[LoanWanted]]) -> None:
        """Send one message to each lender."""
        newest = self._holdings.log.newest
        for address, items in items_by_address.items():
            self._counters.events_by_name["loan_requests"] += 1
            request = LoanRequest(self.own_address, newest, tuple(items))
            self._transport.send(address, request)

    def ask_tokens(
        self, workspace: str, lender: Lendable, tokens: float, now: float
    ) -> int:
        """Ask one lender for tokens at once and return the request's number."""
        ask = self.asks.open(workspace, lender, now, tokens=tokens)
        item = LoanWanted(
            ask.number, workspace, lender.origin, lender.share, 0.0, tokens, urgent=True
        )
        self.send({lender.address: [item]})
        return ask.number

    def return_spent(self, budget: Budget, now: float) -> None:
        """Tell lenders which urgent loans are spent, so that their caps grow back."""
        spent = [loan for loan in budget.token_loans if loan.bucket.tokens <= 0.0]
        if spent:
            budget.token_loans = [
                loan for loan in budget.token_loans if loan.bucket.tokens > 0.0
            ]
            self._send_returns(budget.workspace, spent, now)

    def return_all(self, budget: Budget, now: float) -> None:
        """Give the tokens of urgent loans back."""
        returned, budget.token_loans = budget.token_loans, []
        self._send_returns(budget.workspace, returned, now)

    def apply(self, grant: LoanGrant, now: float) -> list[tuple[Ask, float]]:
        """Take the granted loans in; return each answered request and its tokens."""
        answered = []
        for item in grant.items:
            ask = self.asks.close(item.number, now)
            if ask is not None:
                self._apply_one(ask, item, now)
                answered.append((ask, item.tokens))
        return answered

    def return_recalled(self, recall: LoanRecall, now: float) -> None:
        """Return what this instance does not need of a recalled loan."""
        if not self._holdings.is_fresh(now):
            return
        if self._holdings.declared(recall.workspace) is None:
            return
        budget = self._holdings.budget(recall.workspace, now)
        if recall.origin in budget.loans_by_origin:
            demand = budget.demand.rate_after_silence(now)
            self.send(self.planner.plan(budget, demand, now, recalled=recall.origin))

    def _send_returns(self, workspace: str, loans: list[Loan], now: float) -> None:
        items_by_address: dict[Address, list[TokensReturned]] = defaultdict(list)
        for loan in loans:
            tokens = loan.bucket.tokens if now < loan.end else 0.0
            items_by_address[loan.lender].append(
                TokensReturned(loan.number, workspace, loan.origin, tokens)
            )
        for address, items in items_by_address.items():
            returned = LoanReturn(self._holdings.log.newest, tuple(items))
            self._transport.send(address, returned)

    def _apply_one(self, ask: Ask, item: LoanGranted, now: float) -> None:
        if item.base.rate <= 0.0:
            self._peers.forget_holder(ask.origin, ask.lender)
        if not ask.urgent and item.lent.rate < ask.rate:
            self.planner.note_short(ask.workspace, ask.origin, item.lent.rate, now)
        end = ask.asked + (URGENT_LOAN_S if ask.urgent else LOAN_S)
        if now >= end or not self._covers(ask, item, now):
            return
        budget = self._holdings.budget(ask.workspace, now)
        if ask.urgent:
            bucket = TokenBucket(0.0, item.lent.burst, now)
            bucket.add(item.tokens)
            budget.token_loans.append(
                Loan(ask.number, ask.origin, ask.lender, bucket, end, item.base)
            )
            return
        self._replace(budget, ask, item, end, now)

    def _replace(
        self, budget: Budget, ask: Ask, item: LoanGranted, end: float, now: float
    ) -> None:
        loan = budget.loans_by_origin.get(ask.origin)
        if item.lent.rate <= 0.0:
            return
        bucket = TokenBucket(item.lent.rate, item.lent.burst, now)
        if loan is not None:
            loan.settle(now)
            bucket.add(loan.bucket.tokens)
        bucket.add(item.tokens)
        budget.loans_by_origin[ask.origin] = Loan(
            ask.number, ask.origin, ask.lender, bucket, end, item.base
        )

    def _covers(self, ask: Ask, item: LoanGranted, now: float) -> bool:
        if not self._holdings.is_fresh(now):
            return False
        log = self._holdings.log
        passed = log.since(ask.newest)
        if passed is None or self._holdings.declared(ask.workspace) is None:
            return False
        states = (*passed, *log.active)
        share = self._holdings.shares.least(states, ask.workspace, ask.origin)
        return item.base.rate > 0.0 and share.covers(item.base)
